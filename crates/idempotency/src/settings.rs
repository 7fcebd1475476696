//! Settings of the claims.

use std::time::Duration;

/// How claims are kept and written.
///
/// ```
/// use nutmegsail_idempotency::ClaimSettings;
/// let settings = ClaimSettings::default();
/// assert!(settings.commit_interval < settings.claim_wait);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// How old a key may be, by the operators' text. [`ClaimSettings::accepted_age`] bounds it.
    pub retention: Duration,
    /// How long after a bucket's end its records are removed. The same on every node.
    ///
    /// Not taken from the operators' text: were the retention raised there, keys would be accepted
    /// again whose claims are gone.
    pub kept: Duration,
    /// How far a caller's or a node's clock may be from the true time.
    pub skew: Duration,
    /// How long a call waits for its claim before it is refused as not run.
    pub claim_wait: Duration,
    /// How long the shard's writer may take before a node writes the claim itself.
    pub ask_timeout: Duration,
    /// How long the shard's writer may take to record an outcome before a node does it itself.
    pub outcome_timeout: Duration,
    /// The shortest time between two writes for one shard.
    pub commit_interval: Duration,
    /// How long an outcome waits for others to share its write.
    pub outcome_delay: Duration,
    /// How long a store call may take before its result counts as unknown.
    pub store_timeout: Duration,
    /// The pause after a failed store call; it doubles with each further failure.
    pub store_backoff: Duration,
    /// The longest pause after failed store calls.
    pub store_backoff_max: Duration,
    /// The size at which a record is closed for new claims, in bytes.
    pub record_bytes: usize,
    /// The largest answer that is kept, headers and body, in bytes.
    pub answer_bytes: usize,
    /// How many ticket calls this incarnation remembers before it refuses more.
    pub max_tickets: usize,
    /// How many operations one shard's queue holds before claims are refused.
    pub max_queued: usize,
    /// How old a key may be for its call to count as in progress when its claimant is a node of
    /// which nothing is known.
    pub in_progress_for: Duration,
    /// When a caller that is told "in progress" or "unavailable" should come back.
    pub retry_after: Duration,
    /// How often records past their retention are looked for.
    pub collect_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            kept: Duration::from_secs(25 * 3600),
            skew: Duration::from_secs(30),
            claim_wait: Duration::from_secs(2),
            ask_timeout: Duration::from_millis(250),
            outcome_timeout: Duration::from_secs(5),
            commit_interval: Duration::from_millis(16),
            outcome_delay: Duration::from_millis(500),
            store_timeout: Duration::from_secs(2),
            store_backoff: Duration::from_millis(100),
            store_backoff_max: Duration::from_secs(5),
            record_bytes: 8 * 1024,
            answer_bytes: 1024,
            max_tickets: 100_000,
            max_queued: 4096,
            in_progress_for: Duration::from_secs(600),
            retry_after: Duration::from_secs(1),
            collect_interval: Duration::from_secs(10),
        }
    }
}

impl ClaimSettings {
    /// How old a key may be: the retention, but never so old that its claim may have been removed
    /// by a node whose clock differs by twice the skew.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_idempotency::ClaimSettings;
    ///
    /// let week = Duration::from_secs(7 * 24 * 3600);
    /// let settings = ClaimSettings { retention: week, ..ClaimSettings::default() };
    /// assert_eq!(settings.accepted_age(), settings.kept - settings.skew * 2);
    /// ```
    pub fn accepted_age(&self) -> Duration {
        self.retention.min(self.kept.saturating_sub(self.skew * 2))
    }
}
