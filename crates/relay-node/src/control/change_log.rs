//! The latest changes in the store, kept for the nodes that this node reads the store for.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegsail_store::{Change, Changes, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::boot_time;

/// The number of changes that are kept. A reader passes them on within a second; with 140 engines
/// there are some 70 relevant ones a second.
const MAX_CHANGES: usize = 2_048;

/// The maximum age of the store's last answer for it to be passed on. While nothing changes, a
/// reader's watch ends every 1.1 s. A leaving upstream must get no new requests after 2 s, and a
/// node that finds its reader behind needs one call of its own within that time.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_400);

/// A reader's answer to another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReaderAnswer {
    /// The changes, oldest first.
    pub(crate) changes: Vec<Change>,
    /// The revision up to which the changes are complete.
    pub(crate) revision: Revision,
    /// How long ago the store answered, in milliseconds.
    pub(crate) answered_ms: u32,
    /// How long ago the store was asked, in milliseconds.
    pub(crate) asked_ms: u32,
    /// How long the reader held the request, in milliseconds.
    pub(crate) held_ms: u32,
}

/// When the store was last read, by the clock that also counts while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadAt {
    /// When the store was asked. Its answer was true at some time after this.
    pub(crate) asked: Duration,
    /// When its answer arrived.
    pub(crate) answered: Duration,
}

impl ReadAt {
    /// A read that was started at `asked` and answered just now.
    pub(crate) fn since(asked: Duration) -> Self {
        Self {
            asked,
            answered: boot_time(),
        }
    }
}

/// Why a reader cannot serve the changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReaderError {
    /// The store has not answered the reader lately.
    Behind,
    /// Some changes after the requested revision were already dropped.
    Dropped,
}

/// The latest changes in the store.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    state: RefCell<State>,
    /// Notified when a call to the store has succeeded or failed.
    pub(crate) call_ended: Notify,
}

#[derive(Debug, Default)]
struct State {
    changes: VecDeque<Change>,
    /// All changes after this revision are kept.
    floor: Revision,
    revision: Revision,
    /// When the store was last read; `None` while it does not answer.
    read_at: Option<ReadAt>,
}

impl ChangeLog {
    /// Starts over after all keys were read at `revision`.
    pub(crate) fn restart(&self, revision: Revision, read_at: ReadAt) {
        *self.state.borrow_mut() = State {
            floor: revision,
            revision,
            read_at: Some(read_at),
            ..State::default()
        };
    }

    /// Appends the changes up to `changes.revision`, read at `read_at`.
    pub(crate) fn push(&self, changes: &Changes, read_at: ReadAt) {
        let mut state = self.state.borrow_mut();
        state.changes.extend(changes.changes.iter().cloned());
        while state.changes.len() > MAX_CHANGES {
            if let Some(oldest) = state.changes.pop_front() {
                state.floor = state.floor.max(oldest.revision());
            }
        }
        state.revision = state.revision.max(changes.revision);
        state.read_at = Some(read_at);
        drop(state);
        self.call_ended.notify_waiters();
    }

    /// Records that the store did not answer.
    pub(crate) fn mark_lost(&self) {
        self.state.borrow_mut().read_at = None;
        self.call_ended.notify_waiters();
    }

    /// How much longer the store's last answer may be passed on; `None` if it is too old.
    pub(crate) fn fresh_for(&self) -> Option<Duration> {
        let read_at = self.state.borrow().read_at?;
        let age = boot_time().saturating_sub(read_at.answered);
        MAX_ANSWER_AGE.checked_sub(age)
    }

    /// The changes after `after`, for a request that arrived at `received_at`.
    pub(crate) fn after(
        &self,
        after: Revision,
        received_at: Duration,
    ) -> Result<ReaderAnswer, ReaderError> {
        self.fresh_for().ok_or(ReaderError::Behind)?;
        let state = self.state.borrow();
        let read_at = state.read_at.ok_or(ReaderError::Behind)?;
        if after < state.floor {
            return Err(ReaderError::Dropped);
        }
        let is_new = |change: &&Change| change.revision() > after;
        Ok(ReaderAnswer {
            changes: state.changes.iter().filter(is_new).cloned().collect(),
            revision: state.revision,
            answered_ms: age_ms(read_at.answered),
            asked_ms: age_ms(read_at.asked),
            held_ms: age_ms(received_at),
        })
    }
}

fn age_ms(at: Duration) -> u32 {
    let age = boot_time().saturating_sub(at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
