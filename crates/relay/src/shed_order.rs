//! The order in which waiting requests get scarce capacity.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// The priority whose requests never wait behind those of another.
pub(crate) const URGENT: u8 = 0;

/// Lower bound on a request's work, so that value per unit of work is finite.
const MIN_WORK_MS: f64 = 1e-3;

/// One request that waits for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingWork {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latest start with which the answer is on time.
    pub latest_start: Instant,
    /// When its caller gives up.
    pub expires_at: Instant,
    /// Time it needs of the scarce resource.
    pub work_ms: f64,
    /// Value of a late answer as a fraction of one on time, 0 to 1.
    pub late_worth: f64,
    /// When it was queued.
    pub waits_since: Instant,
}

impl WaitingWork {
    /// Whether an answer to it can no longer be on time.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use nutmegsail_relay::WaitingWork;
    /// let now = Instant::now();
    /// let work = WaitingWork {
    ///     priority: 1,
    ///     latest_start: now + Duration::from_millis(100),
    ///     expires_at: now + Duration::from_secs(3),
    ///     work_ms: 20.0,
    ///     late_worth: 0.5,
    ///     waits_since: now,
    /// };
    /// assert!(!work.is_late(now));
    /// assert!(work.is_late(now + Duration::from_millis(101)));
    /// ```
    pub fn is_late(&self, now: Instant) -> bool {
        self.latest_start < now
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.priority == URGENT
    }

    /// What its work is worth per ms if it goes next rather than later.
    ///
    /// A request that can be on time loses the difference to a late answer when it has to wait; one
    /// that is late loses all that is left.
    fn value_per_ms(&self, now: Instant) -> f64 {
        match self.is_late(now) {
            true => self.late_value_per_ms(),
            false => (1.0 - self.late_worth.clamp(0.0, 1.0)) / self.work_ms.max(MIN_WORK_MS),
        }
    }

    /// What its work is worth per ms if the answer is late.
    pub(crate) fn late_value_per_ms(&self) -> f64 {
        self.late_worth.clamp(0.0, 1.0) / self.work_ms.max(MIN_WORK_MS)
    }

    /// Latest start in ms from `now` with which it is on time.
    pub(crate) fn on_time_ms(&self, now: Instant) -> f64 {
        ms_until(self.latest_start, now)
    }

    /// Latest start in ms from `now` with which its work is done before its caller gives up.
    pub(crate) fn expiry_ms(&self, now: Instant, rate: f64) -> f64 {
        ms_until(self.expires_at, now) - self.work_ms / rate
    }

    /// The group in which it is served: urgent requests first, then routine ones that can be on
    /// time, then late ones, each by priority.
    pub(crate) fn group(&self, now: Instant) -> (bool, bool, u8) {
        (!self.is_urgent(), self.is_late(now), self.priority)
    }
}

fn ms_until(at: Instant, now: Instant) -> f64 {
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    match at >= now {
        true => ms(at - now),
        false => -ms(now - at),
    }
}

/// Compares two waiting requests by what it costs callers to delay them; the lesser goes first.
///
/// Urgent requests go before all others, and requests that can be on time before late ones. Among
/// equals, the more urgent goes first, then the one with more value per unit of work, then the one
/// with the earlier deadline, then the one that has waited longer.
///
/// ```
/// use std::cmp::Ordering;
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{WaitingWork, shed_order};
/// let now = Instant::now();
/// let short = WaitingWork {
///     priority: 1,
///     latest_start: now + Duration::from_millis(100),
///     expires_at: now + Duration::from_secs(3),
///     work_ms: 20.0,
///     late_worth: 0.5,
///     waits_since: now,
/// };
/// let long = WaitingWork { work_ms: 180.0, ..short };
/// let urgent = WaitingWork { priority: 0, ..long };
/// assert_eq!(shed_order(&short, &long, now), Ordering::Less);
/// assert_eq!(shed_order(&urgent, &short, now), Ordering::Less);
/// ```
pub fn shed_order(a: &WaitingWork, b: &WaitingWork, now: Instant) -> Ordering {
    let deadline = |work: &WaitingWork| match work.is_late(now) {
        true => work.expires_at,
        false => work.latest_start,
    };
    let groups = a.group(now).cmp(&b.group(now));
    groups
        .then_with(|| b.value_per_ms(now).total_cmp(&a.value_per_ms(now)))
        .then_with(|| deadline(a).cmp(&deadline(b)))
        .then_with(|| a.waits_since.cmp(&b.waits_since))
}
