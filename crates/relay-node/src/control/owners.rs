//! Watches the store's keys of nodes, engine owners, lenders and suspects.

use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{NodeRecord, StoredSuspect};
use nutmegsail_store::{Change, Item, Revision};
use nutmegsail_telemetry::{Event, log_event};
use serde::Serialize;

use super::control_state::{ControlState, Owner};
use super::eras::SETTLED_ERA_KEY;
use super::last_claims::{LAST_CLAIM_PREFIX, LastClaimRecord};
use super::lending::LENDER_PREFIX;
use super::owner_record::OwnerRecord;
use super::served_software::SERVED_PREFIX;
use super::watch::Watcher;
use crate::clock::boot_time;

/// The prefix of all keys that nodes write.
const PREFIX: &str = "nutmegsail/";
pub(crate) const NODE_PREFIX: &str = "nutmegsail/node/";
pub(super) const OWNER_PREFIX: &str = "nutmegsail/owner/";

pub(crate) fn owner_key(engine: &UpstreamId) -> String {
    format!("{OWNER_PREFIX}{engine}")
}

pub(crate) fn to_json(value: &impl Serialize) -> Bytes {
    // Structs of names, numbers and addresses always serialize.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Applies changes of node, owner, lender, suspect and era keys.
pub(crate) struct OwnersWatcher(pub(crate) Rc<ControlState>);

impl OwnersWatcher {
    fn apply(&self, item: &Item) {
        if *item.key == *SETTLED_ERA_KEY {
            self.0.apply_settled_era(item);
        } else if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
            match serde_json::from_slice::<NodeRecord>(&item.value) {
                Ok(record) => {
                    let returning = &self.0.returning_nodes;
                    returning.borrow_mut().record_listed(&name.into());
                    self.0.nodes.borrow_mut().insert(name.into(), record);
                }
                Err(error) => self.log_unreadable(&item.key, &error),
            }
        } else if let Some(engine) = item.key.strip_prefix(OWNER_PREFIX) {
            match serde_json::from_slice::<OwnerRecord>(&item.value) {
                Ok(record) => self.apply_owner(engine.into(), &record, item.revision),
                Err(error) => self.log_unreadable(&item.key, &error),
            }
        } else if let Some(name) = item.key.strip_prefix(LAST_CLAIM_PREFIX) {
            self.0.apply_last_claim(name, item);
        } else if item.key.starts_with(StoredSuspect::KEY_PREFIX) {
            self.0.apply_stored_suspect(item);
        } else if let Some(service) = item.key.strip_prefix(SERVED_PREFIX) {
            self.0.apply_served(service, item);
        } else if let Some(domain) = item.key.strip_prefix(LENDER_PREFIX) {
            match serde_json::from_slice::<OwnerRecord>(&item.value) {
                Ok(record) => self.0.apply_lender_key(domain, &record, item.revision),
                Err(error) => self.log_unreadable(&item.key, &error),
            }
        }
    }

    fn apply_owner(&self, engine: UpstreamId, record: &OwnerRecord, revision: Revision) {
        if let Some(owned) = self.0.owned(&engine) {
            let claim = owned.ownership.borrow().claim();
            if claim < *revision {
                disown(&self.0, &engine, "another claim was written");
            } else if claim == *revision {
                owned.is_key_seen.set(true);
            }
        }
        if record.node != self.0.settings.node {
            self.0
                .drop_lost_claim(&engine, "another node has claimed it");
        }
        let claim = LastClaimRecord {
            address: self.0.upstream(&engine).map(|upstream| upstream.address),
            engine: engine.clone(),
            owner: record.clone(),
        };
        self.0.record_engine_claim(&claim, *revision);
        let owner = Owner::new(record.clone(), revision);
        self.0.owners.borrow_mut().insert(engine, owner);
    }

    fn remove(&self, key: &str) {
        if let Some(name) = key.strip_prefix(NODE_PREFIX) {
            let node = NodeId::from(name);
            let mut returning = self.0.returning_nodes.borrow_mut();
            if !returning.record_missing(&node, boot_time()) {
                self.0.nodes.borrow_mut().remove(&node);
            }
        } else if let Some(engine) = key.strip_prefix(OWNER_PREFIX) {
            let engine = UpstreamId::from(engine);
            self.0.owners.borrow_mut().remove(&engine);
            let mut history = self.0.owner_history.borrow_mut();
            history.record_end(&engine, boot_time());
            drop(history);
            disown(&self.0, &engine, "the key was removed");
        } else if let Some(name) = key.strip_prefix(LAST_CLAIM_PREFIX) {
            self.0.owner_history.borrow_mut().record_unstored(name);
        } else if key.starts_with(StoredSuspect::KEY_PREFIX) {
            self.0.remove_stored_suspect(key);
        } else if let Some(service) = key.strip_prefix(SERVED_PREFIX) {
            self.0.remove_served(service);
        } else if let Some(domain) = key.strip_prefix(LENDER_PREFIX) {
            self.0.remove_lender_key(domain);
        }
    }

    fn log_unreadable(&self, key: &str, error: &serde_json::Error) {
        log_event!(
            self.0.log, Event::MessageUndecodable,
            "key" => key.to_owned(), "problem" => error.to_string()
        );
    }
}

impl Watcher for OwnersWatcher {
    fn prefix(&self) -> &str {
        PREFIX
    }

    fn on_snapshot(&self, items: &[&Item]) {
        self.0.eras.begin_snapshot();
        self.0.lending.record_all_read();
        let listed: HashSet<&str> = items.iter().map(|item| &*item.key).collect();
        let nodes: Vec<NodeId> = self.0.nodes.borrow().keys().cloned().collect();
        let engines: Vec<UpstreamId> = self.0.owners.borrow().keys().cloned().collect();
        let known = nodes.iter().map(|node| format!("{NODE_PREFIX}{node}"));
        let known = known.chain(engines.iter().map(owner_key));
        let known = known.chain(self.0.last_claim_keys());
        let known = known.chain(self.0.lender_keys());
        let known = known.chain(self.0.stored_suspect_keys());
        let known = known.chain(self.0.served.keys());
        for key in known.collect::<Vec<_>>() {
            if !listed.contains(&key.as_str()) {
                self.remove(&key);
            }
        }
        for item in items {
            self.apply(item);
        }
        let is_listed = |engine: &UpstreamId| listed.contains(&*owner_key(engine));
        let mut history = self.0.owner_history.borrow_mut();
        history.record_all_read(is_listed, boot_time());
    }

    fn on_unavailable(&self) {
        self.0.served.record_unavailable();
        self.0.shared.record_store_failed();
    }

    fn on_changes(&self, changes: &[&Change]) {
        for change in changes {
            match change {
                Change::Put(item) => {
                    if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
                        let mut returning = self.0.returning_nodes.borrow_mut();
                        returning.record_registered(name.into());
                    }
                    self.apply(item);
                }
                Change::Removed { key, .. } => self.remove(key),
            }
        }
    }
}

/// Stops owning an engine, without a call to the store.
pub(crate) fn disown(control: &ControlState, engine: &UpstreamId, why: &str) {
    // If the store was restored from an older copy, this moves the engine to those that are claimed
    // again.
    control.check_era();
    if control.owned.borrow_mut().remove(engine).is_some() {
        log_event!(
            control.log, Event::EngineReleased,
            "upstream" => engine.to_string(), "why" => why.to_owned()
        );
    }
}
