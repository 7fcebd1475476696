//! Bytes whose shape another crate owns.

use std::fmt;

use bytes::Bytes;
use derive_more::{Deref, From, Into};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes whose shape another crate owns, carried as they are.
///
/// The visitor is written by hand: the derived one reads a byte at a time, which counts at a piece
/// of a quarter of a megabyte.
///
/// ```
/// let payload = nutmegsail_wire::Payload::from(vec![1, 2, 3]);
/// assert_eq!(payload.len(), 3);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Deref, From, Into)]
pub struct Payload(pub Bytes);

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Bytes::from(bytes))
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(PayloadVisitor)
    }
}

struct PayloadVisitor;

impl<'de> Visitor<'de> for PayloadVisitor {
    type Value = Payload;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Payload, E> {
        Ok(Payload(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Payload, E> {
        Ok(Payload::from(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Payload, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Payload::from(bytes))
    }
}
