//! Keeps the history of engine owners complete across gaps in reading the store.

use std::time::Duration;

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{OtherOwner, OwnerChange};
use nutmegsail_store::{Change, Item, Revision};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use super::owner_record::OwnerRecord;
use super::owners::OWNER_PREFIX;
use crate::clock::boot_time;

/// How long a read of past changes waits for further ones.
const PAST_CHANGES_WAIT: Duration = Duration::from_millis(1);

/// How long an engine's last owner is remembered, unless the hand-over takes longer.
const LAST_OWNER_LIFETIME: Duration = Duration::from_secs(20);

impl ControlState {
    /// Records the changes of owner keys since the last recorded one, after all keys were read at
    /// `revision`. If the store no longer has them, owners may have come and gone unseen, and
    /// engines whose owner is unknown are waited for as if another node had owned them.
    pub(crate) async fn resume_owner_history(&self, items: &[Item], revision: Revision) {
        if self.read_past_owners().await {
            return;
        }
        let is_first_read = !self.has_read_owners();
        let has_no_past = is_first_read && self.is_first_claim();
        if !is_first_read {
            log_event!(
                self.log, Event::OwnerHistoryIncomplete, "revision" => revision.to_string()
            );
        }
        let unknown_until = (!has_no_past).then(boot_time);
        let listed = items.iter().filter_map(|item| self.listed_owner(item));
        let listed: Vec<OwnerChange> = listed.collect();
        let owned = self.owned.borrow();
        self.owner_history.borrow_mut().restart(
            listed,
            *revision,
            unknown_until,
            |engine, revision| {
                let owned = owned.get(engine);
                owned.is_some_and(|owned| owned.ownership.borrow().claim() == revision)
            },
        );
    }

    /// Whether the owner keys were read since this node started.
    pub(crate) fn has_read_owners(&self) -> bool {
        self.owner_history.borrow().revision().is_some()
    }

    /// Reads the changes of owner keys since the last recorded one. Returns whether the history is
    /// complete.
    pub(crate) async fn read_past_owners(&self) -> bool {
        let Some(recorded) = self.owner_history.borrow().revision() else {
            return false;
        };
        let read = self
            .store
            .watch(OWNER_PREFIX, recorded.into(), PAST_CHANGES_WAIT)
            .await;
        self.check_era();
        let Ok(read) = read else {
            return false;
        };
        self.record_owner_changes(&read.changes, read.revision);
        true
    }

    /// Records the changes of owner keys among `changes`, which are all up to `revision`.
    pub(crate) fn record_owner_changes(&self, changes: &[Change], revision: Revision) {
        let now = boot_time();
        let mut history = self.owner_history.borrow_mut();
        for change in changes {
            let recorded = match change {
                Change::Put(item) => self.listed_owner(item),
                Change::Removed { key, revision } => {
                    key.strip_prefix(OWNER_PREFIX).map(|engine| OwnerChange {
                        engine: engine.into(),
                        revision: **revision,
                        owner: None,
                        address: None,
                    })
                }
            };
            if let Some(recorded) = recorded {
                history.record(recorded, now);
            }
        }
        history.advance(*revision);
    }

    fn listed_owner(&self, item: &Item) -> Option<OwnerChange> {
        let engine = UpstreamId::from(item.key.strip_prefix(OWNER_PREFIX)?);
        let record: OwnerRecord = serde_json::from_slice(&item.value).ok()?;
        Some(OwnerChange {
            address: self.upstream(&engine).map(|upstream| upstream.address),
            engine,
            revision: *item.revision,
            owner: Some(record.node),
        })
    }

    /// Whether another node owned `engine`.
    pub(crate) fn other_owner(&self, engine: &UpstreamId) -> OtherOwner {
        let address = self.upstream(engine).map(|upstream| upstream.address);
        self.owner_history.borrow().other_owner(engine, address)
    }

    /// Drops engines from the history that have had no owner for long.
    pub(crate) fn prune_owner_history(&self) {
        let lifetime = LAST_OWNER_LIFETIME.max(self.ownership_rules().wait() * 2);
        self.owner_history.borrow_mut().prune(lifetime, boot_time());
    }
}
