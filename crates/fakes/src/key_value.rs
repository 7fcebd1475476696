//! The stand-in for the platform's key-value service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use nutmegsail_base::Clock;
use nutmegsail_store::{
    Changes, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId, Page, Revision, Txn,
};
use tokio::sync::Notify;

use crate::key_value_state::{KeyValueState, WriteFate};
use crate::{CallCounts, KeyValueLimits, Knobs};

/// How long a caller in memory waits on a silent service before it gives up.
const GIVES_UP_AFTER: Duration = Duration::from_secs(5);
/// How often a waiting watch looks for leases that ended and late writes that are due.
const WATCH_TICK: Duration = Duration::from_millis(20);

/// A key-value service with compare-and-swap, leases, watches, limits and failures on demand.
///
/// ```
/// use nutmegsail_fakes::FakeKeyValue;
/// use nutmegsail_store::{KeyValue, Revision, Txn};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let store = FakeKeyValue::default();
/// let first = store.commit(Txn::compare_and_swap("head", Revision::NONE, "1")).await?;
/// assert!(store.commit(Txn::compare_and_swap("head", Revision::NONE, "2")).await.is_err());
/// store.commit(Txn::compare_and_swap("head", first, "2")).await?;
/// # Ok::<(), nutmegsail_store::KeyValueError>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct FakeKeyValue {
    clock: Arc<dyn Clock>,
    state: Mutex<KeyValueState>,
    changed: Notify,
}

impl Default for FakeKeyValue {
    fn default() -> Self {
        let clock = Arc::new(nutmegsail_base::SystemClock);
        Self::new(clock, KeyValueLimits::default(), 0)
    }
}

impl FakeKeyValue {
    /// An empty store. `seed` fixes which calls the shares of [`Knobs`] hit.
    pub fn new(clock: Arc<dyn Clock>, limits: KeyValueLimits, seed: u64) -> Self {
        let state = Mutex::new(KeyValueState::new(limits, seed, clock.now()));
        Self {
            clock,
            state,
            changed: Notify::new(),
        }
    }

    /// Replaces the failures to show.
    pub fn set_knobs(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
        self.changed.notify_waiters();
    }

    /// The failures being shown.
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs.clone()
    }

    /// Calls that arrived so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Ends the leases and carries out the late writes that are due now.
    pub fn settle(&self) {
        self.lock().settle(self.clock.now());
        self.changed.notify_waiters();
    }

    /// Forgets the history, so that watches from before now get [`KeyValueError::Compacted`].
    pub fn forget_history(&self) {
        self.lock().forget_history();
        self.changed.notify_waiters();
    }

    /// Takes the copy that stale reads and [`FakeKeyValue::restore_copy`] use.
    pub fn take_copy(&self) {
        self.lock().take_copy();
    }

    /// Goes back to the copy last taken, revisions included. Without one the store is empty.
    pub fn restore_copy(&self) {
        self.lock().restore_copy();
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, KeyValueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Shows the failures that hit a call before it arrives. No answer to a read is ambiguous too.
    async fn travel(&self) -> Result<(), KeyValueError> {
        let (is_silent, delay) = {
            let state = self.lock();
            (state.knobs.silent, state.knobs.delay())
        };
        if is_silent {
            tokio::time::sleep(GIVES_UP_AFTER).await;
            return Err(KeyValueError::Ambiguous);
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }
}

#[async_trait]
impl KeyValue for FakeKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        self.lock().counts.gets += 1;
        self.travel().await?;
        let mut state = self.lock();
        state.admit_read(self.clock.now())?;
        Ok(state.get(key))
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError> {
        self.lock().counts.ranges += 1;
        self.travel().await?;
        let mut state = self.lock();
        state.admit_read(self.clock.now())?;
        Ok(state.range(prefix, after))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError> {
        self.lock().counts.watches += 1;
        self.travel().await?;
        self.lock().admit_read(self.clock.now())?;
        let gives_up_at = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let changes = {
                let mut state = self.lock();
                state.settle(self.clock.now());
                if state.knobs.outage {
                    return Err(KeyValueError::Unavailable);
                }
                state.changes(prefix, after.number())?
            };
            let now = tokio::time::Instant::now();
            if !changes.changes.is_empty() || now >= gives_up_at {
                return Ok(changes);
            }
            let wakes_at = gives_up_at.min(now + WATCH_TICK);
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(wakes_at) => {}
            }
        }
    }

    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError> {
        self.lock().counts.txns += 1;
        self.travel().await?;
        let fate = {
            let mut state = self.lock();
            let now = self.clock.now();
            state.admit_write(now)?;
            state.commit(txn, now)
        };
        self.changed.notify_waiters();
        match fate {
            WriteFate::Answered(answer) => answer,
            WriteFate::AnswerLost => Err(KeyValueError::Ambiguous),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError> {
        self.lock().counts.leases += 1;
        self.travel().await?;
        let mut state = self.lock();
        let now = self.clock.now();
        state.admit_write(now)?;
        Ok(state.grant_lease(ttl, now))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.lock().counts.leases += 1;
        self.travel().await?;
        let mut state = self.lock();
        let now = self.clock.now();
        state.admit_write(now)?;
        state.renew_lease(lease.number(), now)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.lock().counts.leases += 1;
        self.travel().await?;
        {
            let mut state = self.lock();
            state.admit_write(self.clock.now())?;
            state.remove_lease(lease.number());
        }
        self.changed.notify_waiters();
        Ok(())
    }
}
