//! A token bucket for request rates.

use std::time::{Duration, Instant};

/// For how long unused requests of a rate add up.
const BURST_PERIOD: Duration = Duration::from_secs(1);

/// A token bucket that holds the requests that may be sent now and refills at a rate.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::RateBucket;
/// let now = Instant::now();
/// let mut bucket = RateBucket::new(2.0, now);
/// assert!(!bucket.take(now), "it begins empty");
/// assert_eq!(bucket.wait(0, now), Duration::from_millis(500));
/// assert!(bucket.take(now + Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct RateBucket {
    /// Refill rate in requests per second.
    per_s: f64,
    /// Requests that may be sent now.
    available: f64,
    last_refill: Instant,
}

impl RateBucket {
    /// Creates an empty bucket, so that requests sent before the rate was known count against its
    /// first second.
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            available: 0.0,
            last_refill: now,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.refill(now);
        self.per_s = per_s;
        self.available = self.available.min(self.capacity());
    }

    /// Whether a request may be sent now.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.available >= 1.0
    }

    /// Takes one request out of the bucket. Returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.available -= 1.0;
        }
        has_token
    }

    /// How long a request has to wait if `ahead` others go first.
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let passed_s = now
            .saturating_duration_since(self.last_refill)
            .as_secs_f64();
        let missing = (ahead + 1) as f64 - self.available - passed_s * self.per_s;
        let wait_s = missing.max(0.0) / self.per_s;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Time between two requests at this rate.
    pub(crate) fn interval(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.per_s).unwrap_or(Duration::MAX)
    }

    fn capacity(&self) -> f64 {
        (self.per_s * BURST_PERIOD.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        let filled = self.available + passed.as_secs_f64() * self.per_s;
        self.available = filled.min(self.capacity());
    }
}
