//! The lasting records of the last claim on each engine.
//!
//! An owner key is removed with its owner's lease. The record of the last claim outlives it, so that a
//! node that takes the engine later learns of an owner that came and went unseen.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{StoreNumber, UpstreamId};
use nutmegsail_relay::{EngineClaim, Predecessor, UnusedClaim, Upstream};
use nutmegsail_store::{Condition, Item, LeaseId, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};
use serde::{Deserialize, Serialize};

use super::control_state::ControlState;
use super::owner_record::{OwnerRecord, predecessor_of_own};
use super::owners::{owner_key, to_json};
use crate::clock::boot_time;

/// The prefix of the records; the engine's name follows.
pub(super) const LAST_CLAIM_PREFIX: &str = "nutmegsail/claim/";

/// How long the last claim on an engine is kept after its end, unless the hand-over takes longer.
const LAST_CLAIM_LIFETIME: Duration = Duration::from_secs(20);

/// Unused claims that one transaction removes. Each takes up to four entries, for its record and its
/// owner key, and the store accepts 32.
const REMOVALS_PER_TXN: usize = 8;

/// The stored value of the last claim on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LastClaimRecord {
    /// The process that was claimed. The record's key has its name, which later processes share.
    pub(super) engine: UpstreamId,
    pub(super) address: Option<SocketAddr>,
    #[serde(flatten)]
    pub(super) owner: OwnerRecord,
}

impl LastClaimRecord {
    /// Adds to `txn` that this record replaces the one that this node has read.
    pub(super) fn replace_in(&self, control: &ControlState, txn: &mut Txn) {
        let name = Upstream::name_of(&self.engine);
        let history = control.owner_history.borrow();
        let known = history.stored_revision(name);
        let key: Arc<str> = last_claim_key(name).into();
        txn.expects.push(Condition {
            key: Arc::clone(&key),
            revision: known.map_or(Revision::NONE, Revision::from),
        });
        txn.puts.push(Put {
            key,
            value: to_json(self),
            lease: LeaseId::default(),
        });
    }
}

fn last_claim_key(name: &str) -> String {
    format!("{LAST_CLAIM_PREFIX}{name}")
}

impl ControlState {
    /// Applies a record of the last claim on `name` from the store.
    pub(super) fn apply_last_claim(&self, name: &str, item: &Item) {
        let stored = *item.revision;
        self.owner_history.borrow_mut().record_stored(name, stored);
        match serde_json::from_slice::<LastClaimRecord>(&item.value) {
            Ok(record) => self.record_engine_claim(&record, stored),
            Err(error) => log_event!(
                self.log, Event::MessageUndecodable,
                "key" => item.key.to_string(), "problem" => error.to_string()
            ),
        }
    }

    /// Records a claim on an engine, of which the store shows the owner key or the last claim.
    pub(super) fn record_engine_claim(&self, record: &LastClaimRecord, revision: StoreNumber) {
        let owner = &record.owner;
        let predecessor = match owner.node == self.settings.node {
            true => predecessor_of_own(self, owner.waits.as_ref()),
            false => Predecessor::None,
        };
        let claim = EngineClaim {
            engine: record.engine.clone(),
            address: record.address,
            node: owner.node.clone(),
            revision,
            predecessor,
        };
        let mut history = self.owner_history.borrow_mut();
        history.record_claim(claim, boot_time());
    }

    /// The keys of all known records of last claims.
    pub(super) fn last_claim_keys(&self) -> Vec<String> {
        let history = self.owner_history.borrow();
        history.stored_names().map(last_claim_key).collect()
    }

    /// Whose orders may be in flight to `engine`.
    pub(super) fn predecessor(&self, engine: &UpstreamId) -> Predecessor {
        let address = self.upstream(engine).map(|upstream| upstream.address);
        let history = self.owner_history.borrow();
        history.predecessor(engine, address, boot_time())
    }

    /// Removes keys that have these revisions. Returns whether that succeeded.
    pub(super) async fn remove_keys(
        &self,
        keys: impl IntoIterator<Item = (String, Revision)>,
    ) -> bool {
        let mut txn = Txn::default();
        for (key, revision) in keys {
            let key: Arc<str> = key.into();
            txn.expects.push(Condition {
                key: Arc::clone(&key),
                revision,
            });
            txn.removes.push(key);
        }
        self.store.commit(txn).await.is_ok()
    }

    /// Whether this node removes an unused claim: one of its own, or, if it is the first of all nodes, one
    /// of a node that is gone.
    fn removes(&self, unused: &UnusedClaim) -> bool {
        let nodes = self.nodes.borrow();
        let own_node = &self.settings.node;
        let claimant = unused.claim.as_ref().map(|claim| &claim.node);
        match claimant.filter(|claimant| nodes.contains_key(*claimant)) {
            Some(claimant) => claimant == own_node,
            None => nodes.keys().min() == Some(own_node),
        }
    }
}

/// Removes the last claims that nobody needs any more.
pub(super) async fn remove_unused_claims(control: &ControlState) {
    let lifetime = LAST_CLAIM_LIFETIME.max(control.ownership_rules().wait() * 2);
    let unused: Vec<UnusedClaim> = {
        let upstreams = control.upstreams.borrow();
        let is_listed = |engine: &UpstreamId| upstreams.contains_key(engine);
        let mut history = control.owner_history.borrow_mut();
        history.take_unused(is_listed, lifetime, boot_time())
    };
    let unused: Vec<UnusedClaim> = unused
        .into_iter()
        .filter(|unused| control.removes(unused))
        .collect();
    for unused in unused.chunks(REMOVALS_PER_TXN) {
        let removals = unused.iter().flat_map(keys_of);
        if control.remove_keys(removals).await {
            let mut history = control.owner_history.borrow_mut();
            for claim in unused {
                history.record_unstored(&claim.name);
            }
        }
    }
}

/// The keys of an unused claim, with their revisions.
fn keys_of(unused: &UnusedClaim) -> Vec<(String, Revision)> {
    let mut keys = vec![(last_claim_key(&unused.name), unused.revision.into())];
    if let Some(claim) = unused.claim.as_ref().filter(|_| unused.is_owned) {
        keys.push((owner_key(&claim.engine), claim.revision.into()));
    }
    keys
}
