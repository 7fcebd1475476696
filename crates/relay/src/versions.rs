//! Which version of an adapter a request may run on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ModelRef;

/// The versions that a request may begin on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// No version was named; any will do.
    Any,
    /// This version is preferred; one older may still be begun on.
    Prefer(u64),
    /// Nothing older than this version.
    AtLeast(u64),
}

impl VersionRule {
    /// Whether a request may begin on `version`.
    ///
    /// ```
    /// use nutmegsail_relay::VersionRule;
    /// assert!(VersionRule::Prefer(3).allows(2));
    /// assert!(!VersionRule::AtLeast(3).allows(2));
    /// ```
    pub fn allows(self, version: u64) -> bool {
        match self {
            Self::Any | Self::Prefer(_) => true,
            Self::AtLeast(least) => version >= least,
        }
    }

    /// Whether `version` is what new requests are meant to begin on.
    pub fn prefers(self, version: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Prefer(wanted) | Self::AtLeast(wanted) => version >= wanted,
        }
    }

    /// The version to load; none for the newest.
    pub fn wanted(self) -> Option<u64> {
        match self {
            Self::Any => None,
            Self::Prefer(wanted) | Self::AtLeast(wanted) => Some(wanted),
        }
    }
}

/// The versions that were named, each with the time it became known.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    named: HashMap<ModelRef, Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    since: Instant,
}

impl Versions {
    /// Takes in that `version` of `model` was named. Versions only rise: an older one comes late.
    pub fn name(&mut self, model: ModelRef, version: u64, now: Instant) {
        let named = self.named.entry(model).or_insert(Named {
            version,
            since: now,
        });
        if version > named.version {
            *named = Named {
                version,
                since: now,
            };
        }
    }

    /// What a request for `model` may begin on, if the older version may be used for `overlap`
    /// after the newer one became known.
    pub fn rule(&self, model: &ModelRef, overlap: Duration, now: Instant) -> VersionRule {
        match self.named.get(model) {
            None => VersionRule::Any,
            Some(named) if now.duration_since(named.since) < overlap => {
                VersionRule::Prefer(named.version)
            }
            Some(named) => VersionRule::AtLeast(named.version),
        }
    }

    /// The models that a version was named of.
    pub fn models(&self) -> impl Iterator<Item = (&ModelRef, u64)> {
        self.named
            .iter()
            .map(|(model, named)| (model, named.version))
    }
}
