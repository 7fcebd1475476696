//! What requests may have in common.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmegsail_base::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::{RequestDigest, SuspectTrait};

/// The traits of a request that may crash the upstream that runs it: its whole content, and the
/// parts of its prompt that other requests share.
///
/// ```
/// use nutmegsail_relay::{RequestContent, RequestDigest, RequestTraits};
/// let content = RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
/// let digest = RequestDigest::of(&content);
/// let traits = RequestTraits::new(&"engines".into(), digest, [10, 2, 10]);
/// assert_eq!(traits.shared_parts(), [2, 10]);
/// assert_eq!(traits.parts_to_string(), "2,a");
/// assert_eq!(traits.iter().count(), 3);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTraits {
    service: u32,
    digest: RequestDigest,
    parts: Arc<[u64]>,
}

impl RequestTraits {
    /// The traits of a request to `service` with this digest, whose prompt shares the parts with
    /// these ids with other requests.
    pub fn new(
        service: &ServiceName,
        digest: RequestDigest,
        shared_parts: impl IntoIterator<Item = u64>,
    ) -> Self {
        let parts: BTreeSet<u64> = shared_parts.into_iter().collect();
        Self {
            service: xxh3_64(service.as_bytes()) as u32,
            digest,
            parts: parts.into_iter().collect(),
        }
    }

    /// The digest of the whole content.
    pub fn digest(&self) -> &RequestDigest {
        &self.digest
    }

    /// The ids of the parts that other requests may share, in ascending order and each once.
    pub fn shared_parts(&self) -> &[u64] {
        &self.parts
    }

    /// The ids of the shared parts in hexadecimal, as callers list them, separated by commas.
    pub fn parts_to_string(&self) -> String {
        let ids = self.parts.iter().map(|id| format!("{id:x}"));
        ids.collect::<Vec<_>>().join(",")
    }

    /// All traits.
    pub fn iter(&self) -> impl Iterator<Item = SuspectTrait> {
        std::iter::once(SuspectTrait::Request(self.digest)).chain(self.part_traits())
    }

    /// The shared parts as traits.
    pub(crate) fn part_traits(&self) -> impl Iterator<Item = SuspectTrait> {
        self.parts.iter().map(|id| SuspectTrait::PromptPart(*id))
    }

    /// Whether the request has the trait.
    pub(crate) fn contains(&self, suspect: &SuspectTrait) -> bool {
        match suspect {
            SuspectTrait::Request(digest) => self.digest == *digest,
            SuspectTrait::PromptPart(id) => self.parts.binary_search(id).is_ok(),
        }
    }

    /// A hash of the service that the request is routed to.
    pub(crate) fn service(&self) -> u32 {
        self.service
    }
}
