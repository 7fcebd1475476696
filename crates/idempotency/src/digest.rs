//! A 32-byte digest of what a call asks for.

use std::fmt;

use nutmegsail_base::ServiceName;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The SHA-256 of a call's method, path, service and body.
///
/// It shows when a caller uses one key for two different calls; the second call is refused.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Computes the digest of a call.
    ///
    /// ```
    /// use nutmegsail_idempotency::RequestDigest;
    ///
    /// let desk = "spa-desk".into();
    /// let one = RequestDigest::of("POST", "/bookings", &desk, b"room 1");
    /// let two = RequestDigest::of("POST", "/bookings", &desk, b"room 2");
    /// assert_ne!(one, two);
    /// ```
    pub fn of(method: &str, path: &str, service: &ServiceName, body: &[u8]) -> Self {
        let mut sha = Sha256::new();
        for part in [
            method.as_bytes(),
            path.as_bytes(),
            service.as_str().as_bytes(),
            body,
        ] {
            // Each part is prefixed with its length, so that different calls never hash the same
            // bytes.
            sha.update((part.len() as u64).to_be_bytes());
            sha.update(part);
        }
        Self(sha.finalize().into())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({})", hex::encode(&self.0[..4]))
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, hex::FromHexError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
