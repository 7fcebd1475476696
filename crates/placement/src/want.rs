//! An adapter that waits for its load.

use std::time::Instant;

use nutmegsail_base::{Class, UpstreamId};

/// A want younger than this is not more pressing for being new.
const NEW_WANT_S: f64 = 0.1;

/// Why an adapter is wanted. The order is that of loading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WantOrigin {
    /// Urgent requests wait.
    Urgent,
    /// Routine requests wait.
    Routine,
    /// An engine lost it by a restart, or it is the new version of an adapter in demand.
    Background,
}

impl WantOrigin {
    pub fn class(self) -> Class {
        match self {
            Self::Urgent => Class::Urgent,
            Self::Routine | Self::Background => Class::Routine,
        }
    }

    pub fn of(class: Class) -> Self {
        match class {
            Class::Urgent => Self::Urgent,
            Class::Routine => Self::Routine,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Want {
    pub origin: WantOrigin,
    pub engine: Option<UpstreamId>,
    pub asked: f64,
    pub first_at: Instant,
    pub last_at: Instant,
    pub attempts: u32,
    pub not_before: Option<Instant>,
    pub avoid: Option<UpstreamId>,
}

impl Want {
    /// How pressing a want is: requests that wait for it, and less the longer they have waited.
    ///
    /// Where more is wanted than the weight store can load, some requests give up. Loading what was
    /// wanted longest ago first comes too late for most of them, and each new want then waits as
    /// long as the last one.
    pub fn pressure(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.first_at).as_secs_f64();
        self.asked.powi(2) / (NEW_WANT_S + age_s).powi(3)
    }
}
