//! Identifies requests with the same content.

use std::fmt;

use nutmegsail_base::TeamName;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of hash bytes that are kept.
const DIGEST_BYTES: usize = 16;

/// The parts of a request that identify a repeat of it. Headers are left out, because each repeat
/// has its own request id and deadline.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, without the port.
    pub host: &'a str,
    /// The path, including the query.
    pub path: &'a str,
    /// The caller's team, if known.
    pub team: Option<&'a TeamName>,
    /// The body.
    pub body: &'a [u8],
}

/// A hash of a request's content, used between nodes and in logs. The content cannot be recovered
/// from it.
///
/// ```
/// use nutmegsail_relay::{RequestContent, RequestDigest};
/// let content = RequestContent { method: "POST", host: "spa", path: "/notes/1", team: None, body: b"guest" };
/// let digest = RequestDigest::of(&content);
/// assert_eq!(digest, RequestDigest::of(&content.clone()));
/// assert_ne!(digest, RequestDigest::of(&RequestContent { body: b"other", ..content }));
/// assert_eq!(digest.to_string().len(), 32);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of `content`.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let team = content.team.map_or("", |team| team.as_str());
        let mut hash = Sha256::new();
        for part in [content.method, content.host, content.path, team] {
            // Each part is preceded by its length, so that parts cannot run into each other.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(content.body);
        let hash: [u8; 32] = hash.finalize().into();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(digest)
    }

    /// The digest as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
