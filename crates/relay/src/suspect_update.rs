//! What nodes send each other about traits of requests that may crash upstreams.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::SuspectTrait;
use crate::suspect_record::{Strike, SuspectRecord};

/// Which nodes receive an update about a trait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// One node of each failure domain, chosen by hash of the trait, which collects what other
    /// nodes saw.
    Collectors,
    /// All nodes.
    All,
}

/// An update about one trait that nodes send to each other. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    pub(crate) suspect: SuspectTrait,
    pub(crate) strikes: Vec<StrikeUpdate>,
    /// How long ago answers of each service, by hash, showed that the trait does not crash it.
    pub(crate) cleared: Vec<(u32, u32)>,
    /// How many copies the sender has at upstreams.
    pub(crate) trials: u32,
    /// Whether it is sent to all nodes, so that the receiver need not pass it on.
    pub(crate) is_for_all: bool,
}

impl SuspectUpdate {
    /// What a node knows of the trait of `record`, with `trials` copies at upstreams.
    pub(crate) fn of(record: &SuspectRecord, trials: u32, is_for_all: bool, now: Instant) -> Self {
        let strikes = record.strikes();
        let cleared = record.cleared().iter();
        Self {
            suspect: record.suspect(),
            strikes: strikes
                .map(|strike| StrikeUpdate::of(strike, now))
                .collect(),
            cleared: cleared
                .map(|(service, at)| (*service, age_ms(*at, now)))
                .collect(),
            trials,
            is_for_all,
        }
    }

    /// The trait.
    pub fn suspect(&self) -> &SuspectTrait {
        &self.suspect
    }
}

/// An upstream that ended, by hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StrikeUpdate {
    upstream: u64,
    service: u32,
    ended_ms_ago: u32,
    /// How long before its end the last request with the trait was sent there.
    sent_ms_before: u32,
}

impl StrikeUpdate {
    fn of(strike: &Strike, now: Instant) -> Self {
        Self {
            upstream: strike.upstream,
            service: strike.service,
            ended_ms_ago: age_ms(strike.ended, now),
            sent_ms_before: age_ms(strike.sent, strike.ended),
        }
    }

    pub(crate) fn to_strike(self, now: Instant) -> Strike {
        let ended = before(now, self.ended_ms_ago).unwrap_or(now);
        Strike {
            upstream: self.upstream,
            service: self.service,
            sent: before(ended, self.sent_ms_before).unwrap_or(ended),
            ended,
        }
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// The instant `age_ms` before `now`, if there is one.
pub(crate) fn before(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}
