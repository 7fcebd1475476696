//! A load that waits for its permit.

use std::time::Instant;

use nutmegsail_base::{Class, UpstreamId};

/// Added to the age of a pending load, in seconds, so that a new one does not outrank all others
/// because its age is near zero.
const AGE_OFFSET_S: f64 = 0.1;

/// Why an adapter is to be loaded, in the order in which loads are permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoadPriority {
    /// Urgent requests wait.
    Urgent,
    /// Routine requests wait.
    Routine,
    /// An engine lost it by a restart, or it is the new version of an adapter in demand.
    Background,
}

impl LoadPriority {
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
pub(crate) struct PendingLoad {
    pub priority: LoadPriority,
    /// The engine on which to load it, if routing prefers one.
    pub engine: Option<UpstreamId>,
    /// The number of requests for it, or the request rate for a background load.
    pub weight: f64,
    pub first_at: Instant,
    pub last_at: Instant,
    pub attempts: u32,
    /// It is not retried before this time.
    pub not_before: Option<Instant>,
    /// The engine on which the last attempt failed.
    pub avoid: Option<UpstreamId>,
}

impl PendingLoad {
    /// The rank among pending loads of the same priority: higher with more waiting requests, lower
    /// with age.
    ///
    /// When more loads are requested than the weight store can serve, some requests time out.
    /// Serving the oldest load first would be too late for most of its requests, and each new load
    /// would then wait as long as the last one.
    pub fn score(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.first_at).as_secs_f64();
        self.weight.powi(2) / (AGE_OFFSET_S + age_s).powi(3)
    }
}
