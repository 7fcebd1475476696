//! Upstreams whose entries may have expired while the store could not be read.

use std::collections::HashSet;
use std::time::Duration;

use nutmegsail_base::UpstreamId;

/// How long entries that expired take to return after the store does.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// How long after the last failed call an upstream is kept. The store returned after that call, and a
/// node that has reached it for 3 s may send nothing to an upstream that is gone.
const MAX_TIME_AFTER_FAILURE: Duration = Duration::from_millis(2_900);

/// How long an upstream is kept in any case after the first read, as the store may have returned
/// just before it.
const MIN_TIME_AFTER_READ: Duration = Duration::from_millis(1_000);

/// Upstreams whose entries may have expired while the store could not be read.
///
/// Entries expire while the store is unavailable and return soon after it does. An entry that is
/// missing from the first read after a failed call may be such a one, so its upstream is kept for a
/// while. One that a read showed and a later one does not was removed.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LapsedEntries;
/// let seconds = Duration::from_secs;
/// let (gone, there) = ("plain-1".into(), "plain-2".into());
/// let mut entries = LapsedEntries::default();
/// entries.record_failure(seconds(20));
/// assert!(entries.may_have_lapsed(&gone));
/// entries.record_read(seconds(20));
/// assert!(!entries.may_have_lapsed(&there));
/// assert_eq!(entries.take_expired(seconds(22)), []);
/// assert_eq!(entries.take_expired(seconds(23)), [gone]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LapsedEntries {
    /// When the last call failed, until a read succeeds.
    failed_at: Option<Duration>,
    /// The upstreams that are kept.
    kept: HashSet<UpstreamId>,
    /// Until when they are kept, counted from the last interruption.
    kept_until: Duration,
}

impl LapsedEntries {
    /// Records that the store did not answer.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Records that a read was applied as a whole. Returns whether calls had failed before it.
    pub fn record_read(&mut self, now: Duration) -> bool {
        let Some(failed_at) = self.failed_at.take() else {
            return false;
        };
        let by_failure = (failed_at + MAX_TIME_AFTER_FAILURE).max(now + MIN_TIME_AFTER_READ);
        self.kept_until = by_failure.min(now + RETURN_TIME);
        true
    }

    /// Whether the missing entry of an upstream may have expired while the store could not be read.
    /// The upstream is then kept until [`Self::take_expired`] returns it.
    pub fn may_have_lapsed(&mut self, id: &UpstreamId) -> bool {
        if self.failed_at.is_some() {
            self.kept.insert(id.clone());
        }
        self.is_kept(id)
    }

    /// Records that an upstream is listed.
    pub fn record_listed(&mut self, id: &UpstreamId) {
        self.kept.remove(id);
    }

    /// Whether an upstream is kept although it is not listed.
    pub fn is_kept(&self, id: &UpstreamId) -> bool {
        self.kept.contains(id)
    }

    /// How much longer upstreams are kept; `None` if there are none, or if the store does not answer,
    /// so that no entry can return.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        let can_expire = self.failed_at.is_none() && !self.kept.is_empty();
        can_expire.then(|| self.kept_until.saturating_sub(now))
    }

    /// Returns the upstreams whose entries have not returned in time.
    pub fn take_expired(&mut self, now: Duration) -> Vec<UpstreamId> {
        match self.time_left(now) {
            Some(Duration::ZERO) => self.kept.drain().collect(),
            _ => Vec::new(),
        }
    }
}
