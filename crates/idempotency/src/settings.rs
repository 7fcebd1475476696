//! Settings of the claims.

use std::time::Duration;

/// How claims are written, and how long they are stored.
///
/// ```
/// use nutmegsail_idempotency::ClaimSettings;
/// let settings = ClaimSettings::default();
/// assert!(settings.commit_interval < settings.claim_timeout);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// How old a key may be, from the operators' configuration text.
    /// [`ClaimSettings::accepted_age`] limits it further.
    pub retention: Duration,
    /// How long a bucket's records are stored after the end of the bucket. The same on every node.
    ///
    /// It is not configurable: if operators raised it, nodes would accept keys again whose claims
    /// have already been deleted.
    pub record_retention: Duration,
    /// How far a caller's or a node's clock may be off the true time.
    pub skew: Duration,
    /// How long a call waits for its claim to be stored before it is refused as not run.
    pub claim_timeout: Duration,
    /// How long to wait for the shard's writer before this node writes the claim itself.
    pub writer_timeout: Duration,
    /// How long to wait for the shard's writer before this node writes an outcome itself.
    pub outcome_timeout: Duration,
    /// The shortest time between two writes for one shard.
    pub commit_interval: Duration,
    /// How long an outcome is held back, so that it is written together with others.
    pub outcome_delay: Duration,
    /// How long a store call may take before its result counts as unknown.
    pub store_timeout: Duration,
    /// The backoff after a failed store call; it doubles with each further failure.
    pub store_backoff: Duration,
    /// The longest backoff after failed store calls.
    pub store_backoff_max: Duration,
    /// The size at which a record is sealed, in bytes.
    pub record_bytes: usize,
    /// The largest answer (headers and body) that is stored in full, in bytes.
    pub answer_bytes: usize,
    /// The number of calls with tickets in memory at which new ones are refused.
    pub max_tickets: usize,
    /// The number of queued operations of one shard at which new claims are refused.
    pub max_queued: usize,
    /// The key age up to which a call counts as in progress when its claimant is not a node that
    /// this node considers live.
    pub in_progress_max_age: Duration,
    /// How long a caller should wait before it tries again after "in progress" or "unavailable".
    pub retry_after: Duration,
    /// How often records past their retention are searched for.
    pub collect_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            record_retention: Duration::from_secs(25 * 3600),
            skew: Duration::from_secs(30),
            claim_timeout: Duration::from_secs(2),
            writer_timeout: Duration::from_millis(250),
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
            in_progress_max_age: Duration::from_secs(600),
            retry_after: Duration::from_secs(1),
            collect_interval: Duration::from_secs(10),
        }
    }
}

impl ClaimSettings {
    /// How old a key may be: the retention, but at most [`ClaimSettings::record_retention`] less
    /// twice the skew, since the clock of a node that deletes records may be ahead by that much.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_idempotency::ClaimSettings;
    ///
    /// let week = Duration::from_secs(7 * 24 * 3600);
    /// let settings = ClaimSettings { retention: week, ..ClaimSettings::default() };
    /// assert_eq!(settings.accepted_age(), settings.record_retention - settings.skew * 2);
    /// ```
    pub fn accepted_age(&self) -> Duration {
        self.retention
            .min(self.record_retention.saturating_sub(self.skew * 2))
    }
}
