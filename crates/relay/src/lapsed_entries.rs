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
/// missing then may be such a one, so its upstream is kept for a while, counted from the store's
/// return. One that was written after the return did not expire: if it is missing later, it was
/// removed.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LapsedEntries;
/// let seconds = Duration::from_secs;
/// let (lapsed, removed) = ("plain-1".into(), "plain-2".into());
/// let mut entries = LapsedEntries::default();
/// entries.record_failure(seconds(20));
/// assert!(entries.may_have_lapsed(&lapsed, seconds(20)));
/// entries.record_read(seconds(20));
/// entries.record_written(&removed, seconds(20));
/// assert!(!entries.may_have_lapsed(&removed, seconds(21)));
/// assert_eq!(entries.take_expired(seconds(22)), []);
/// assert_eq!(entries.take_expired(seconds(23)), [lapsed]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LapsedEntries {
    /// When the last call failed, until a read succeeds.
    failed_at: Option<Duration>,
    /// Until when entries that expired during the last interruption may return.
    return_until: Duration,
    /// The upstreams whose entries were written since the first read after it, until `return_until`.
    written: HashSet<UpstreamId>,
    /// The upstreams that are kept.
    kept: HashSet<UpstreamId>,
}

impl LapsedEntries {
    /// Records that the store did not answer.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
        self.written.clear();
    }

    /// Records that a read was applied as a whole. Returns whether calls had failed before it.
    pub fn record_read(&mut self, now: Duration) -> bool {
        let Some(failed_at) = self.failed_at.take() else {
            return false;
        };
        let by_failure = (failed_at + MAX_TIME_AFTER_FAILURE).max(now + MIN_TIME_AFTER_READ);
        self.return_until = by_failure.min(now + RETURN_TIME);
        true
    }

    /// Records that a read shows a write of an upstream's entry. The first read after a failure is no
    /// evidence, as the write may be older than the interruption.
    pub fn record_written(&mut self, id: &UpstreamId, now: Duration) {
        if self.awaits_write(id, now) {
            self.written.insert(id.clone());
        }
    }

    /// Whether a write of an upstream's entry would show that it did not expire.
    pub fn awaits_write(&self, id: &UpstreamId, now: Duration) -> bool {
        self.failed_at.is_none() && now < self.return_until && !self.written.contains(id)
    }

    /// Whether the missing entry of an upstream may have expired while the store could not be read.
    /// The upstream is then kept until [`Self::take_expired`] returns it.
    pub fn may_have_lapsed(&mut self, id: &UpstreamId, now: Duration) -> bool {
        if self.failed_at.is_some() || self.awaits_write(id, now) {
            self.kept.insert(id.clone());
        }
        self.kept.contains(id)
    }

    /// Records that an upstream is listed.
    pub fn record_listed(&mut self, id: &UpstreamId) {
        self.kept.remove(id);
    }

    /// Whether an upstream is kept although it is not listed.
    pub fn is_kept(&self, id: &UpstreamId) -> bool {
        self.kept.contains(id)
    }

    /// How much longer entries may return; `None` while the store does not answer.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        let is_read = self.failed_at.is_none();
        is_read.then(|| self.return_until.saturating_sub(now))
    }

    /// Returns the upstreams whose entries have not returned in time.
    pub fn take_expired(&mut self, now: Duration) -> Vec<UpstreamId> {
        match self.time_left(now) {
            Some(Duration::ZERO) => {
                self.written.clear();
                self.kept.drain().collect()
            }
            _ => Vec::new(),
        }
    }
}
