//! The traits of requests that may crash upstreams.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestDigest;

/// One trait of a request that may crash the upstream that runs it.
///
/// ```
/// use nutmegsail_relay::SuspectTrait;
/// assert_eq!(SuspectTrait::PromptPart(0x5c1e).to_string(), "prompt part 5c1e");
/// ```
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum SuspectTrait {
    /// The whole content. Another request with the same content is a repeat of it.
    #[display("request {_0}")]
    Request(RequestDigest),
    /// A part of the prompt that other requests share, by the id that callers give it.
    #[display("prompt part {_0:x}")]
    PromptPart(u64),
}

impl SuspectTrait {
    /// In how many rounds upstreams must have ended before the trait is refused. A round ends with
    /// the first upstream that ends under a copy sent in it; the next one begins with a copy that is
    /// sent after that.
    ///
    /// A part that many requests share is at several upstreams at any time, so that a crash of many
    /// upstreams at once, for another reason, proves nothing. Copies of one request are rarely sent
    /// at the same time.
    pub(crate) fn rounds_needed(self) -> usize {
        match self {
            Self::Request(_) => 1,
            Self::PromptPart(_) => 2,
        }
    }

    /// How long after the last strike the trait is refused. Before that, nodes that saw answers to
    /// other requests with it can say so.
    pub(crate) fn settling_time(self) -> Duration {
        match self {
            Self::Request(_) => Duration::ZERO,
            Self::PromptPart(_) => Duration::from_millis(200),
        }
    }

    /// A hash that is the same at every node.
    pub(crate) fn to_hash(self) -> u64 {
        match self {
            Self::Request(digest) => xxh3_64(digest.as_bytes()),
            Self::PromptPart(id) => xxh3_64(&id.to_le_bytes()),
        }
    }
}
