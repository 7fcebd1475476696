//! A SHA-256 in hexadecimal as 32 bytes on the wire: heartbeats carry one each.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

const HEX: u8 = b'x';
const TEXT: u8 = b't';

pub(crate) fn serialize<S: Serializer>(digest: &str, serializer: S) -> Result<S::Ok, S::Error> {
    let is_hex = digest
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let mut bytes = Vec::with_capacity(33);
    match hex::decode(digest) {
        Ok(raw) if is_hex => {
            bytes.push(HEX);
            bytes.extend_from_slice(&raw);
        }
        _ => {
            bytes.push(TEXT);
            bytes.extend_from_slice(digest.as_bytes());
        }
    }
    serializer.serialize_bytes(&bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<str>, D::Error> {
    deserializer.deserialize_bytes(DigestVisitor)
}

struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Arc<str>, E> {
        match bytes.split_first() {
            Some((&HEX, raw)) => Ok(hex::encode(raw).into()),
            Some((&TEXT, text)) => {
                let text = std::str::from_utf8(text).map_err(E::custom)?;
                Ok(text.into())
            }
            _ => Err(E::custom("a digest starts with x or t")),
        }
    }
}
