//! Which connections a request may take.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// What an answer echoes of its request, so that it can be told from the answers to others.
///
/// ```
/// use nutmegsail_http_pool::AnswerId;
/// assert_eq!(AnswerId::of(b"9c41d07b"), AnswerId::of(b"9c41d07b"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerId(u64);

impl AnswerId {
    /// The id of answers that echo `text`.
    pub fn of(text: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Limits on the kept connections that a request may take. It opens one if none fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendOptions {
    /// How long ago the connection may have been used. The other end may drop an idle one unseen,
    /// and what is sent on it is lost.
    pub max_idle: Duration,
    /// What the answer echoes. A connection that has carried a request with the same echo is not
    /// taken: a second answer to that one would pass for the answer to this one.
    pub answer_id: Option<AnswerId>,
}

impl Default for SendOptions {
    fn default() -> Self {
        Self {
            max_idle: Duration::MAX,
            answer_id: None,
        }
    }
}
