//! Which version of an adapter a request may run on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ModelRef;

/// The versions that a request may begin on.
///
/// ```
/// use nutmegsail_relay::VersionRule;
/// let rule = VersionRule { wanted: 3, least: 2 };
/// assert!(rule.allows(2) && !rule.prefers(2));
/// assert!(!rule.allows(1));
/// assert!(VersionRule::ANY.prefers(1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// The version that new requests are meant to begin on; 0 if none was named.
    pub wanted: u64,
    /// The oldest that they may begin on.
    pub least: u64,
}

impl VersionRule {
    /// No version was named; any will do.
    pub const ANY: Self = Self {
        wanted: 0,
        least: 0,
    };

    /// Whether a request may begin on `version`.
    pub fn allows(self, version: u64) -> bool {
        version >= self.least
    }

    /// Whether `version` is what new requests are meant to begin on.
    pub fn prefers(self, version: u64) -> bool {
        version >= self.wanted
    }

    /// The version to load; none for the newest.
    pub fn to_load(self) -> Option<u64> {
        (self.wanted > 0).then_some(self.wanted)
    }
}

/// The versions that were named, each with the time it became known.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// By model, rising.
    named: HashMap<ModelRef, Vec<Named>>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    since: Instant,
}

/// Versions of one model that are remembered. Only those within one overlap matter.
const NAMED_LIMIT: usize = 8;

impl Versions {
    /// Takes in that `version` of `model` was named. Versions only rise: an older one comes late. Returns the
    /// newest one.
    pub fn name(&mut self, model: ModelRef, version: u64, now: Instant) -> u64 {
        let named = self.named.entry(model).or_default();
        if let Some(last) = named.last().filter(|last| version <= last.version) {
            return last.version;
        }
        if named.len() >= NAMED_LIMIT {
            named.remove(0);
        }
        named.push(Named {
            version,
            since: now,
        });
        version
    }

    /// The version of each model that was named last.
    pub fn latest(&self) -> impl Iterator<Item = (&ModelRef, u64)> {
        let named = self.named.iter();
        named.filter_map(|(model, named)| Some((model, named.last()?.version)))
    }

    /// What a request for `model` may begin on, if an older version may be used for `overlap` after
    /// a newer one became known.
    ///
    /// Each version counts from its own naming. Counted from the last one's, a quick succession
    /// would bring back versions that were over long ago.
    pub fn rule(&self, model: &ModelRef, overlap: Duration, now: Instant) -> VersionRule {
        let Some(named) = self.named.get(model) else {
            return VersionRule::ANY;
        };
        let is_over = |named: &&Named| now.duration_since(named.since) >= overlap;
        let settled = named.iter().rev().find(is_over);
        VersionRule {
            wanted: named.last().map_or(0, |last| last.version),
            least: settled.map_or(0, |settled| settled.version),
        }
    }
}
