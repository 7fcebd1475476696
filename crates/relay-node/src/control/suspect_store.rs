//! Keeps the refused traits of requests in the store, for nodes that start all at once.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use nutmegsail_relay::{ClockPair, StoreChange, StoredSuspect, SuspectTrait, collectors_of};
use nutmegsail_store::{Condition, Item, KeyValueError, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use super::owners::to_json;

/// What the store keeps, with the revisions of the keys.
pub(crate) type StoredSuspects = RefCell<HashMap<SuspectTrait, (StoredSuspect, Revision)>>;

fn clocks() -> ClockPair {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    ClockPair {
        now: Instant::now(),
        // A clock before 1970 makes every stored trait look new, so that it stays refused.
        wall: wall.unwrap_or_default(),
    }
}

impl ControlState {
    /// Applies a trait that the store keeps.
    pub(crate) fn apply_stored_suspect(&self, item: &Item) {
        let stored = match serde_json::from_slice::<StoredSuspect>(&item.value) {
            Ok(stored) if stored.key() == *item.key => stored,
            Ok(_) => return self.log_bad_suspect(item, "it is kept under the key of another"),
            Err(error) => return self.log_bad_suspect(item, &error.to_string()),
        };
        self.shared.suspects().take_stored(&stored, clocks());
        let suspect = *stored.suspect();
        let mut known = self.stored_suspects.borrow_mut();
        known.insert(suspect, (stored, item.revision));
    }

    fn log_bad_suspect(&self, item: &Item, problem: &str) {
        log_event!(
            self.log, Event::MessageUndecodable,
            "key" => item.key.to_string(), "problem" => problem.to_owned()
        );
    }

    /// Applies the removal of a key.
    pub(crate) fn remove_stored_suspect(&self, key: &str) {
        let mut known = self.stored_suspects.borrow_mut();
        known.retain(|_, (stored, _)| stored.key() != key);
    }

    /// The keys of all known traits.
    pub(crate) fn stored_suspect_keys(&self) -> Vec<String> {
        let known = self.stored_suspects.borrow();
        known.values().map(|(stored, _)| stored.key()).collect()
    }

    /// The changes that this node makes as a collector of the traits concerned.
    fn due_suspect_changes(&self) -> Vec<(SuspectTrait, StoreChange, Revision)> {
        let (suspects, clocks) = (self.shared.suspects(), clocks());
        let stored = self.stored_suspects.borrow();
        let refused = suspects.to_stored(clocks).into_iter();
        let mut refused: BTreeMap<SuspectTrait, StoredSuspect> = refused
            .map(|refused| (*refused.suspect(), refused))
            .collect();
        drop(suspects);
        let concerned: BTreeSet<SuspectTrait> =
            refused.keys().chain(stored.keys()).copied().collect();
        let changes = concerned.into_iter().map(|suspect| {
            let known = stored.get(&suspect);
            let revision = known.map_or(Revision::NONE, |(_, revision)| *revision);
            let known = known.map(|(stored, _)| stored);
            let change = StoreChange::of(refused.remove(&suspect), known, clocks);
            (suspect, change, revision)
        });
        changes
            .filter(|(suspect, change, _)| {
                *change != StoreChange::Keep && self.is_collector_of(suspect)
            })
            .collect()
    }

    fn is_collector_of(&self, suspect: &SuspectTrait) -> bool {
        let nodes = self.nodes.borrow();
        let collectors = collectors_of(suspect, nodes.values());
        let mut collectors = collectors.into_iter();
        collectors.any(|collector| collector.node == self.settings.node)
    }
}

/// Writes the refused traits that the store lacks, and removes those that are not refused any more.
pub(crate) async fn write_suspects(control: &ControlState) {
    for (suspect, change, revision) in control.due_suspect_changes() {
        let (txn, written) = match change {
            StoreChange::Keep => continue,
            StoreChange::Write(stored) => {
                let txn = Txn::compare_and_swap(stored.key(), revision, to_json(&stored));
                (txn, Some(stored))
            }
            StoreChange::Remove => {
                let key = control.stored_key(&suspect);
                let key: Arc<str> = key.unwrap_or_default().into();
                let expected = Condition {
                    key: Arc::clone(&key),
                    revision,
                };
                let txn = Txn {
                    expects: vec![expected],
                    removes: vec![key],
                    ..Txn::default()
                };
                (txn, None)
            }
        };
        match control.store.commit(txn).await {
            Ok(revision) => control.record_stored_suspect(suspect, written, revision),
            Err(KeyValueError::Conflict { current }) => {
                let current = current.iter();
                current.for_each(|item| control.apply_stored_suspect(item));
            }
            // Another collector writes it, or this one at the next turn.
            Err(_) => return,
        }
    }
}

impl ControlState {
    fn stored_key(&self, suspect: &SuspectTrait) -> Option<String> {
        let known = self.stored_suspects.borrow();
        known.get(suspect).map(|(stored, _)| stored.key())
    }

    fn record_stored_suspect(
        &self,
        suspect: SuspectTrait,
        written: Option<StoredSuspect>,
        revision: Revision,
    ) {
        log_event!(
            self.log, Event::SuspectStored,
            "suspect" => suspect.to_string(),
            "ends" => written.as_ref().map(StoredSuspect::ends)
        );
        let mut known = self.stored_suspects.borrow_mut();
        match written {
            Some(stored) => known.insert(suspect, (stored, revision)),
            None => known.remove(&suspect),
        };
    }
}
