//! What the store keeps of a refused trait.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::SuspectTrait;
use crate::suspect_record::Strike;

/// How long a lifted trait is kept in the store, so that all nodes see it.
const LIFTED_TTL: Duration = Duration::from_secs(600);

/// A refused trait as it is stored, so that nodes which start all at once still refuse it. Times are
/// in milliseconds of Unix time.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::{StoredSuspect, SuspectTrait};
/// let lifted = StoredSuspect::lifted(SuspectTrait::PromptPart(0xbad), Duration::from_secs(9));
/// assert!(lifted.is_lifted());
/// assert_eq!(lifted.key_name(), "part-bad");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    suspect: SuspectTrait,
    strikes: Vec<StoredStrike>,
    /// When an operator lifted it.
    #[serde(default)]
    lifted_ms: Option<u64>,
}

/// An upstream that ended, by hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredStrike {
    upstream: u64,
    service: u32,
    ended_ms: u64,
    /// When the last request with the trait was sent there.
    sent_ms: u64,
}

/// The same moment on two clocks: `now`, and `wall` since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub struct ClockPair {
    /// On the monotonic clock.
    pub now: Instant,
    /// Since the Unix epoch.
    pub wall: Duration,
}

impl ClockPair {
    fn to_wall_ms(self, at: Instant) -> u64 {
        let wall = match at.checked_duration_since(self.now) {
            Some(ahead) => self.wall + ahead,
            None => self.wall.saturating_sub(self.now.duration_since(at)),
        };
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    }

    /// The instant of a stored time; one in the future counts as now.
    fn to_instant(self, wall_ms: u64) -> Option<Instant> {
        let age = self.wall.saturating_sub(Duration::from_millis(wall_ms));
        self.now.checked_sub(age)
    }
}

impl StoredSuspect {
    /// The prefix of the keys of stored traits.
    pub const KEY_PREFIX: &str = "nutmegsail/suspect/";

    /// A trait that an operator lifted at `at`, since the Unix epoch.
    pub fn lifted(suspect: SuspectTrait, at: Duration) -> Self {
        Self {
            suspect,
            strikes: Vec::new(),
            lifted_ms: Some(u64::try_from(at.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    pub(crate) fn of<'a>(
        suspect: SuspectTrait,
        strikes: impl Iterator<Item = &'a Strike>,
        clocks: ClockPair,
    ) -> Self {
        let strikes = strikes.map(|strike| StoredStrike {
            upstream: strike.upstream,
            service: strike.service,
            ended_ms: clocks.to_wall_ms(strike.ended),
            sent_ms: clocks.to_wall_ms(strike.sent),
        });
        Self {
            suspect,
            strikes: strikes.collect(),
            lifted_ms: None,
        }
    }

    /// The trait.
    pub fn suspect(&self) -> &SuspectTrait {
        &self.suspect
    }

    /// Whether an operator lifted it.
    pub fn is_lifted(&self) -> bool {
        self.lifted_ms.is_some()
    }

    /// How many upstreams ended.
    pub fn ends(&self) -> usize {
        self.strikes.len()
    }

    /// When the first and the last upstream ended, in milliseconds of Unix time.
    pub fn ended_ms(&self) -> Option<(u64, u64)> {
        let ended = self.strikes.iter().map(|strike| strike.ended_ms);
        Some((ended.clone().min()?, ended.max()?))
    }

    /// Its key in the store.
    pub fn key(&self) -> String {
        format!("{}{}", Self::KEY_PREFIX, self.key_name())
    }

    /// The part of its key that names the trait.
    pub fn key_name(&self) -> String {
        match self.suspect {
            SuspectTrait::Request(digest) => format!("request-{digest}"),
            SuspectTrait::PromptPart(id) => format!("part-{id:x}"),
        }
    }

    pub(crate) fn lifted_at(&self, clocks: ClockPair) -> Option<Instant> {
        clocks.to_instant(self.lifted_ms?)
    }

    pub(crate) fn to_strikes(&self, clocks: ClockPair) -> impl Iterator<Item = Strike> {
        self.strikes.iter().filter_map(move |strike| {
            Some(Strike {
                upstream: strike.upstream,
                service: strike.service,
                ended: clocks.to_instant(strike.ended_ms)?,
                sent: clocks.to_instant(strike.sent_ms)?,
            })
        })
    }

    /// Whether it was lifted so long ago that every node has seen it.
    fn is_lifted_for_long(&self, clocks: ClockPair) -> bool {
        let lifted = self.lifted_ms.map(Duration::from_millis);
        lifted.is_some_and(|lifted| clocks.wall.saturating_sub(lifted) > LIFTED_TTL)
    }

    /// Whether it has all upstreams of `other`.
    fn covers(&self, other: &Self) -> bool {
        let has = |strike: &StoredStrike| {
            let mut own = self.strikes.iter();
            own.any(|own| own.upstream == strike.upstream)
        };
        other.strikes.iter().all(has)
    }
}

/// What to do with what the store keeps of a trait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// Nothing.
    Keep,
    /// It should be kept like this.
    Write(StoredSuspect),
    /// It is not refused any more.
    Remove,
}

impl StoreChange {
    /// The change if a node knows the trait as `refused`, and the store keeps `stored` of it.
    pub fn of(
        refused: Option<StoredSuspect>,
        stored: Option<&StoredSuspect>,
        clocks: ClockPair,
    ) -> Self {
        match (refused, stored) {
            (Some(refused), Some(stored)) if stored.covers(&refused) => Self::Keep,
            (Some(refused), _) => Self::Write(refused),
            (None, Some(stored)) if stored.is_lifted() && !stored.is_lifted_for_long(clocks) => {
                Self::Keep
            }
            (None, Some(_)) => Self::Remove,
            (None, None) => Self::Keep,
        }
    }
}
