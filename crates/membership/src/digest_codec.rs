//! Serializes a hexadecimal SHA-256 digest as its 32 raw bytes, since every heartbeat carries one.
//!
//! A tag in the first byte tells whether raw bytes or other text, unchanged, follow.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

const HEX_TAG: u8 = b'x';
const TEXT_TAG: u8 = b't';

pub(crate) fn serialize<S: Serializer>(digest: &str, serializer: S) -> Result<S::Ok, S::Error> {
    let is_hex = digest
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let mut bytes = Vec::with_capacity(33);
    match hex::decode(digest) {
        Ok(raw) if is_hex => {
            bytes.push(HEX_TAG);
            bytes.extend_from_slice(&raw);
        }
        _ => {
            bytes.push(TEXT_TAG);
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
            Some((&HEX_TAG, raw)) => Ok(hex::encode(raw).into()),
            Some((&TEXT_TAG, text)) => {
                let text = std::str::from_utf8(text).map_err(E::custom)?;
                Ok(text.into())
            }
            _ => Err(E::custom("a digest must start with the tag x or t")),
        }
    }
}
