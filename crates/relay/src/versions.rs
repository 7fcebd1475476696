//! Which versions of a model or adapter a request may start on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ModelRef;

/// The versions that a request may start on.
///
/// ```
/// use nutmegsail_relay::VersionRule;
/// let rule = VersionRule { preferred: 3, oldest: 2 };
/// assert!(rule.allows(2) && !rule.prefers(2));
/// assert!(!rule.allows(1));
/// assert!(VersionRule::ANY.prefers(1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// The version that new requests should start on; 0 if none was announced.
    pub preferred: u64,
    /// The oldest version that they may start on.
    pub oldest: u64,
}

impl VersionRule {
    /// No version was announced; any version may be used.
    pub const ANY: Self = Self {
        preferred: 0,
        oldest: 0,
    };

    /// Whether a request may start on `version`.
    pub fn allows(self, version: u64) -> bool {
        version >= self.oldest
    }

    /// Whether new requests should start on `version`.
    pub fn prefers(self, version: u64) -> bool {
        version >= self.preferred
    }

    /// The version to load; `None` for the newest.
    pub fn to_load(self) -> Option<u64> {
        (self.preferred > 0).then_some(self.preferred)
    }
}

/// The announced versions, each with the time of its announcement.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Versions of each model in ascending order.
    announced: HashMap<ModelRef, Vec<Announced>>,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    since: Instant,
}

/// Versions to keep for one model. Only those within one overlap period matter.
const MAX_VERSIONS: usize = 8;

impl Versions {
    /// Records that `version` of `model` was announced, and returns the newest announced version.
    /// Versions only increase, so an older one is a late message and is ignored.
    pub fn name(&mut self, model: ModelRef, version: u64, now: Instant) -> u64 {
        let announced = self.announced.entry(model).or_default();
        if let Some(last) = announced.last().filter(|last| version <= last.version) {
            return last.version;
        }
        if announced.len() >= MAX_VERSIONS {
            announced.remove(0);
        }
        announced.push(Announced {
            version,
            since: now,
        });
        version
    }

    /// The newest announced version of each model.
    pub fn latest(&self) -> impl Iterator<Item = (&ModelRef, u64)> {
        let announced = self.announced.iter();
        announced.filter_map(|(model, announced)| Some((model, announced.last()?.version)))
    }

    /// The versions that a request for `model` may start on, if older versions may be used for
    /// `overlap` after a newer one was announced.
    ///
    /// The overlap of each version counts from its own announcement. If it counted from the latest
    /// one, several announcements in quick succession would allow versions whose overlap ended long
    /// ago.
    pub fn rule(&self, model: &ModelRef, overlap: Duration, now: Instant) -> VersionRule {
        let Some(announced) = self.announced.get(model) else {
            return VersionRule::ANY;
        };
        let is_overlap_over =
            |announced: &&Announced| now.duration_since(announced.since) >= overlap;
        let past_overlap = announced.iter().rev().find(is_overlap_over);
        VersionRule {
            preferred: announced.last().map_or(0, |last| last.version),
            oldest: past_overlap.map_or(0, |past_overlap| past_overlap.version),
        }
    }
}
