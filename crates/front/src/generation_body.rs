//! What the JSON body of a generation says to the node. The rest of it is the engine's.

use std::fmt;

use nutmegsail_base::{AdapterRef, ResultCode};
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use xxhash_rust::xxh3::xxh3_64;

use crate::request_fault::RequestFault;

/// How much of a prompt is hashed. It is short, so that prompts which share a system prompt or a
/// contract's first page share the hash, whatever follows.
const PREFIX_BYTES: usize = 256;

/// What the node reads from the body of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GenerationBody {
    pub adapter: AdapterRef,
    pub is_stream: bool,
    pub prefix: Option<u64>,
}

impl GenerationBody {
    /// Reads a whole body. All of it must be JSON, also the parts that the node does not need.
    pub fn read(body: &[u8]) -> Result<Self, RequestFault> {
        let malformed = |fault: String| RequestFault::new(ResultCode::MalformedBody, fault);
        // The JSON library checks no UTF-8 in the parts that it skips.
        let text = std::str::from_utf8(body).map_err(|fault| malformed(fault.to_string()))?;
        let fields: Fields =
            serde_json::from_str(text).map_err(|fault| malformed(fault.to_string()))?;
        let adapter = fields.model.parse().map_err(|fault| {
            let detail = format!("{fault}");
            RequestFault::new(ResultCode::BadModelName, detail)
        })?;
        Ok(Self {
            adapter,
            is_stream: fields.is_stream,
            prefix: fields.prompt.hash(),
        })
    }
}

struct Fields {
    model: String,
    is_stream: bool,
    prompt: PromptStart,
}

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object with `model`")
    }

    /// A key that stands twice is refused: the engine might read the other one, and so answer by
    /// another adapter than the node checked.
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
        use serde::de::Error;
        let mut model = None;
        let mut stream: Option<Option<bool>> = None;
        let mut prompt = None;
        while let Some(key) = map.next_key::<Key>()? {
            let is_first = match key {
                Key::Model => model.replace(map.next_value::<String>()?).is_none(),
                Key::Stream => stream.replace(map.next_value()?).is_none(),
                Key::Prompt => prompt.replace(map.next_value()?).is_none(),
                Key::Other => map.next_value::<IgnoredAny>().map(|_| true)?,
            };
            if !is_first {
                return Err(A::Error::custom(format!("`{}` stands twice", key.name())));
            }
        }
        Ok(Fields {
            model: model.ok_or_else(|| A::Error::missing_field("model"))?,
            is_stream: stream.flatten().unwrap_or(false),
            prompt: prompt.unwrap_or_default(),
        })
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Key {
    Model,
    Stream,
    /// `prompt`, or `messages` of a chat.
    Prompt,
    Other,
}

impl Key {
    fn name(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Stream => "stream",
            Self::Prompt => "prompt` or `messages",
            Self::Other => "",
        }
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct KeyVisitor;
        impl Visitor<'_> for KeyVisitor {
            type Value = Key;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a key")
            }

            fn visit_str<E>(self, key: &str) -> Result<Key, E> {
                Ok(match key {
                    "model" => Key::Model,
                    "stream" => Key::Stream,
                    "prompt" | "messages" => Key::Prompt,
                    _ => Key::Other,
                })
            }
        }
        deserializer.deserialize_str(KeyVisitor)
    }
}

/// The first bytes of all text in a prompt: a string, token numbers, or messages of a chat.
#[derive(Default)]
struct PromptStart {
    bytes: Vec<u8>,
}

impl PromptStart {
    fn of_number(number: u64) -> Self {
        Self {
            bytes: number.to_le_bytes().to_vec(),
        }
    }

    fn hash(&self) -> Option<u64> {
        (!self.bytes.is_empty()).then(|| xxh3_64(&self.bytes))
    }

    fn push(&mut self, more: &[u8]) {
        let room = PREFIX_BYTES - self.bytes.len();
        self.bytes.extend_from_slice(&more[..more.len().min(room)]);
    }
}

impl<'de> Deserialize<'de> for PromptStart {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptVisitor)
    }
}

struct PromptVisitor;

impl<'de> Visitor<'de> for PromptVisitor {
    type Value = PromptStart;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a prompt or messages")
    }

    fn visit_str<E>(self, text: &str) -> Result<PromptStart, E> {
        let mut start = PromptStart::default();
        start.push(text.as_bytes());
        Ok(start)
    }

    fn visit_u64<E>(self, token: u64) -> Result<PromptStart, E> {
        Ok(PromptStart::of_number(token))
    }

    fn visit_i64<E>(self, token: i64) -> Result<PromptStart, E> {
        Ok(PromptStart::of_number(token.cast_unsigned()))
    }

    fn visit_f64<E>(self, number: f64) -> Result<PromptStart, E> {
        Ok(PromptStart::of_number(number.to_bits()))
    }

    fn visit_bool<E>(self, flag: bool) -> Result<PromptStart, E> {
        Ok(PromptStart::of_number(u64::from(flag)))
    }

    fn visit_unit<E>(self) -> Result<PromptStart, E> {
        Ok(PromptStart::default())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<PromptStart, A::Error> {
        let mut start = PromptStart::default();
        while start.bytes.len() < PREFIX_BYTES {
            let Some(part) = parts.next_element::<PromptStart>()? else {
                return Ok(start);
            };
            start.push(&part.bytes);
        }
        while parts.next_element::<IgnoredAny>()?.is_some() {}
        Ok(start)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut message: A) -> Result<PromptStart, A::Error> {
        let mut start = PromptStart::default();
        while message.next_key::<IgnoredAny>()?.is_some() {
            let part = message.next_value::<PromptStart>()?;
            start.push(&part.bytes);
        }
        Ok(start)
    }
}
