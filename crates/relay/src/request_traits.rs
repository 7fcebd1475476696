//! What requests may have in common.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::{PromptPart, RequestDigest};

/// What of a request may crash the upstream that runs it: its whole content, or a part of its
/// prompt that other requests share.
///
/// ```
/// use nutmegsail_relay::{PromptPart, RequestContent, RequestDigest, RequestTraits};
/// let content = RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
/// let part = |id| PromptPart { id, tokens: 100 };
/// let traits = RequestTraits::new(RequestDigest::of(&content), &[part(10), part(2), part(10), part(7)]);
/// assert_eq!(traits.shared_parts(), [2, 10]);
/// assert_eq!(traits.parts_to_string(), "2,a");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTraits {
    digest: RequestDigest,
    parts: Arc<[u64]>,
}

impl RequestTraits {
    /// The traits of a request with this digest and prompt. The last part of a prompt is specific to
    /// the request or its session, so it is left out.
    pub fn new(digest: RequestDigest, prompt: &[PromptPart]) -> Self {
        let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let parts: BTreeSet<u64> = shared.iter().map(|part| part.id).collect();
        Self {
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
        PartIds(&self.parts).to_string()
    }
}

/// Writes ids of parts as callers list them.
struct PartIds<'a>(&'a [u64]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, id) in self.0.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(f, "{comma}{id:x}")?;
        }
        Ok(())
    }
}
