//! The last changes of the store, kept for the nodes that this node reads them for.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegsail_store::{Change, Changes, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::boot_time;

/// Changes that are kept. A reader passes them on within a second; some 70 a second are news with
/// 140 engines.
const CHANGES_LIMIT: usize = 2_048;

/// How old the store's last answer may be. While nothing changes, a reader's watches end every 1.1 s; a
/// leaving upstream must get nothing new after 2 s, of which a node that finds its reader behind
/// needs one call.
const FRESH_FOR: Duration = Duration::from_millis(1_400);

/// What a reader tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReadChanges {
    /// The changes, oldest first.
    pub(crate) changes: Vec<Change>,
    /// The revision that they reach to.
    pub(crate) revision: Revision,
    /// How long ago the store answered, in milliseconds.
    pub(crate) answered_ms: u32,
    /// How long ago it was asked, in milliseconds.
    pub(crate) asked_ms: u32,
    /// How long the reader held the ask, in milliseconds.
    pub(crate) held_ms: u32,
}

/// When the store was read last, by the clock that counts suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadAt {
    /// When it was asked. What it told was true at some time since.
    pub(crate) asked: Duration,
    /// When its answer came.
    pub(crate) answered: Duration,
}

impl ReadAt {
    /// A read that was asked for at `asked` and answered just now.
    pub(crate) fn since(asked: Duration) -> Self {
        Self {
            asked,
            answered: boot_time(),
        }
    }
}

/// Why a reader has no changes to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRead {
    /// The store did not answer it lately.
    Behind,
    /// Changes after the revision that was asked for are not kept any more.
    Forgotten,
}

/// The last changes of the store.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    state: RefCell<State>,
    /// Told when the store has answered, or failed to.
    pub(crate) answered: Notify,
}

#[derive(Debug, Default)]
struct State {
    changes: VecDeque<Change>,
    /// All changes after this one are kept.
    floor: Revision,
    revision: Revision,
    /// When the store was read last; nothing while it is lost.
    read_at: Option<ReadAt>,
}

impl ChangeLog {
    /// Begins anew after a read of everything at `revision`.
    pub(crate) fn restart(&self, revision: Revision, read_at: ReadAt) {
        *self.state.borrow_mut() = State {
            floor: revision,
            revision,
            read_at: Some(read_at),
            ..State::default()
        };
    }

    /// Takes in the changes up to `changes.revision`, read at `read_at`.
    pub(crate) fn push(&self, changes: &Changes, read_at: ReadAt) {
        let mut state = self.state.borrow_mut();
        state.changes.extend(changes.changes.iter().cloned());
        while state.changes.len() > CHANGES_LIMIT {
            if let Some(oldest) = state.changes.pop_front() {
                state.floor = state.floor.max(oldest.revision());
            }
        }
        state.revision = state.revision.max(changes.revision);
        state.read_at = Some(read_at);
        drop(state);
        self.answered.notify_waiters();
    }

    /// Takes in that the store did not answer.
    pub(crate) fn lost(&self) {
        self.state.borrow_mut().read_at = None;
        self.answered.notify_waiters();
    }

    /// How long the store's last answer is fresh yet; nothing if it is not.
    pub(crate) fn fresh_for(&self) -> Option<Duration> {
        let read_at = self.state.borrow().read_at?;
        let age = boot_time().saturating_sub(read_at.answered);
        FRESH_FOR.checked_sub(age)
    }

    /// The changes after `after`, for an ask that came at `came`.
    pub(crate) fn after(&self, after: Revision, came: Duration) -> Result<ReadChanges, NotRead> {
        self.fresh_for().ok_or(NotRead::Behind)?;
        let state = self.state.borrow();
        let read_at = state.read_at.ok_or(NotRead::Behind)?;
        if after < state.floor {
            return Err(NotRead::Forgotten);
        }
        let is_new = |change: &&Change| change.revision() > after;
        Ok(ReadChanges {
            changes: state.changes.iter().filter(is_new).cloned().collect(),
            revision: state.revision,
            answered_ms: age_ms(read_at.answered),
            asked_ms: age_ms(read_at.asked),
            held_ms: age_ms(came),
        })
    }
}

fn age_ms(at: Duration) -> u32 {
    let age = boot_time().saturating_sub(at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
