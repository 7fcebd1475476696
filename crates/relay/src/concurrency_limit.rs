//! How many requests an upstream that must not refuse any is given at once.

use std::time::{Duration, Instant};

/// The fraction of the slots that is used at first. Requests that were sent before may still run.
const FIRST_SHARE: f64 = 0.5;

/// The fraction of the slots by which the limit rises per second while nothing was refused.
const RISE_SHARE_PER_S: f64 = 0.2;

/// The same once the upstream has refused a request, which shows that its slots are not all there.
const CAUTIOUS_RISE_SHARE_PER_S: f64 = 0.02;

/// The factor by which a refusal lowers the limit.
const REDUCTION: f64 = 0.8;

/// Refusals within this time count once, as they were sent under the same limit.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(150);

/// Limits the requests at an upstream by what it refuses: it lowers the limit with each refusal and
/// raises it slowly.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::ConcurrencyLimit;
/// let start = Instant::now();
/// let mut limit = ConcurrencyLimit::new(start);
/// assert_eq!(limit.requests(10, start), 5);
/// let later = start + Duration::from_secs(3);
/// assert_eq!(limit.requests(10, later), 10);
/// limit.record_refused(10, 10, later);
/// assert_eq!(limit.requests(10, later), 8);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    /// The fraction of the slots that may be used.
    share: f64,
    updated_at: Instant,
    refused_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// The limit of an upstream that was not limited before.
    pub fn new(now: Instant) -> Self {
        Self {
            share: FIRST_SHARE,
            updated_at: now,
            refused_at: None,
        }
    }

    /// How many requests an upstream with `slots` may be given at once.
    pub fn requests(&mut self, slots: u32, now: Instant) -> usize {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let rise_per_s = match self.refused_at {
            None => RISE_SHARE_PER_S,
            Some(_) => CAUTIOUS_RISE_SHARE_PER_S,
        };
        self.share = (self.share + rise_per_s * elapsed_s).min(1.0);
        self.updated_at = self.updated_at.max(now);
        ((f64::from(slots) * self.share) as usize).max(1)
    }

    /// Records that the upstream runs `running` requests that were granted elsewhere.
    pub fn record_running(&mut self, slots: u32, running: usize) {
        let running_share = running as f64 / f64::from(slots.max(1));
        self.share = self.share.max(running_share.min(1.0));
    }

    /// Records that the upstream refused a request while it was given `granted`.
    pub fn record_refused(&mut self, slots: u32, granted: usize, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < REDUCTION_INTERVAL;
        if self.refused_at.is_some_and(is_recent) {
            return;
        }
        self.refused_at = Some(now);
        let granted_share = granted as f64 / f64::from(slots.max(1));
        self.share = self.share.min(granted_share) * REDUCTION;
    }
}
