//! Claims engines in the store, by compare-and-swap.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{
    NodeRecord, OrderPermit, Ownership, Predecessor, Upstream, unowned_to_claim,
};
use nutmegsail_store::{Condition, KeyValueError, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::{ControlState, Owner};
use super::engine::OwnedEngine;
use super::last_claims::LastClaimRecord;
use super::owner_record::{OwnerRecord, OwnerWait};
use super::owners::{owner_key, to_json};
use crate::clock::boot_time;

/// Claims per transaction. Each takes four entries, and the store accepts 32.
const CLAIMS_PER_TXN: usize = 8;

/// Owner keys that one transaction removes. Each takes two entries.
const REMOVALS_PER_TXN: usize = 16;

/// Writes claims to the store.
pub(crate) async fn claim(control: &ControlState, claims: &[(UpstreamId, Revision)]) {
    for claims in claims.chunks(CLAIMS_PER_TXN) {
        if commit_claims(control, claims).await.is_err() && claims.len() > 1 {
            // One claim that another node won fails the whole transaction, so retry each claim
            // alone.
            for one in claims.chunks(1) {
                let _ = commit_claims(control, one).await;
            }
        }
    }
}

/// Engines that an earlier process of this node owned. No other node may claim them, so this node
/// claims them again right after a restart.
pub(crate) fn owned_by_earlier_process(control: &ControlState) -> Vec<(UpstreamId, Revision)> {
    let node = &control.settings.node;
    let owners = control.owners.borrow();
    let is_of_earlier_process =
        |engine: &UpstreamId, owner: &Owner| owner.node == *node && control.owned(engine).is_none();
    owners
        .iter()
        .filter(|(engine, owner)| {
            is_of_earlier_process(engine, owner)
                && control.upstream(engine).is_some()
                && !control.is_out_of_reach(engine)
        })
        .map(|(engine, owner)| (engine.clone(), owner.revision))
        .collect()
}

pub(crate) fn unowned_engines(control: &ControlState) -> Vec<UpstreamId> {
    let engines = serving_engines(control);
    let engines: Vec<&Upstream> = engines.iter().map(|engine| &**engine).collect();
    let nodes: Vec<NodeRecord> = control.nodes.borrow().values().cloned().collect();
    let owners = owners_of(control, &engines);
    let own_node = &control.settings.node;
    // If an engine restarts, the owner of its previous process claims it again, if that owner is
    // alive. It may send orders at once; any other node would first have to wait until the owner's
    // orders have arrived.
    let (restarted, engines): (Vec<&Upstream>, Vec<&Upstream>) = engines
        .into_iter()
        .partition(|engine| has_living_last_owner(control, engine, &owners));
    let restarted = restarted
        .into_iter()
        .filter(|engine| control.last_owner(engine.address).as_ref() == Some(own_node));
    let restarted: Vec<UpstreamId> = restarted.map(|engine| engine.id.clone()).collect();
    let mut claims = unowned_to_claim(own_node, &nodes, &engines, &owners);
    claims.extend(restarted);
    claims.retain(|engine| !control.is_out_of_reach(engine));
    claims
}

/// The engines that accept requests.
pub(super) fn serving_engines(control: &ControlState) -> Vec<Arc<Upstream>> {
    let has_engines = |name| {
        let service = control.service(name);
        service.is_some_and(|service| service.engine.is_some())
    };
    let upstreams = control.upstreams.borrow();
    upstreams
        .values()
        .filter(|upstream| upstream.takes_work() && has_engines(&upstream.service))
        .cloned()
        .collect()
}

/// The owners of those of `engines` that have one.
pub(super) fn owners_of(
    control: &ControlState,
    engines: &[&Upstream],
) -> HashMap<UpstreamId, NodeId> {
    let owners = control.owners.borrow();
    let engines = engines.iter().map(|engine| &engine.id);
    let owned = engines.filter_map(|engine| Some((engine, owners.get(engine)?)));
    owned
        .map(|(engine, owner)| (engine.clone(), owner.node.clone()))
        .collect()
}

fn has_living_last_owner(
    control: &ControlState,
    engine: &Upstream,
    owners: &HashMap<UpstreamId, NodeId>,
) -> bool {
    if owners.contains_key(&engine.id) {
        return false;
    }
    let last = control.last_owner(engine.address);
    let is_living = |node: NodeId| {
        let nodes = control.nodes.borrow();
        let record = nodes.get(&node);
        record.is_some_and(|record| record.reaches(&engine.service))
    };
    last.is_some_and(is_living)
}

/// A claim that replaces the owner key at revision `before`.
struct Claim<'a> {
    engine: &'a UpstreamId,
    before: Revision,
    predecessor: Predecessor,
    record: LastClaimRecord,
}

impl<'a> Claim<'a> {
    fn new(control: &ControlState, engine: &'a UpstreamId, before: Revision) -> Self {
        let predecessor = match control.eras.is_settled() {
            true => control.predecessor(engine),
            false => Predecessor::Another,
        };
        let rules = control.ownership_rules();
        Self {
            engine,
            before,
            predecessor,
            record: LastClaimRecord {
                engine: engine.clone(),
                address: control.upstream(engine).map(|upstream| upstream.address),
                owner: OwnerRecord {
                    node: control.settings.node.clone(),
                    lease: control.lease.get(),
                    waits: OwnerWait::for_successor(control, predecessor, rules),
                },
            },
        }
    }

    /// Adds the claim to `txn`.
    fn write_in(&self, control: &ControlState, txn: &mut Txn) {
        let key: Arc<str> = owner_key(self.engine).into();
        txn.expects.push(Condition {
            key: Arc::clone(&key),
            revision: self.before,
        });
        txn.puts.push(Put {
            key,
            value: to_json(&self.record.owner),
            lease: self.record.owner.lease,
        });
        self.record.replace_in(control, txn);
    }
}

async fn commit_claims(
    control: &ControlState,
    claims: &[(UpstreamId, Revision)],
) -> Result<(), KeyValueError> {
    let claims = claims
        .iter()
        .map(|(engine, before)| Claim::new(control, engine, *before));
    let claims: Vec<Claim> = claims.collect();
    let mut txn = Txn::default();
    for claim in &claims {
        claim.write_in(control, &mut txn);
    }
    let asked_at = boot_time();
    match control.store.commit(txn).await {
        Ok(revision) => {
            for claim in claims {
                record_claim(control, claim, revision, asked_at);
            }
            Ok(())
        }
        Err(error) => {
            if error == KeyValueError::Ambiguous {
                log_event!(control.log, Event::WriteAmbiguous, "claims" => claims.len());
            }
            // If the claim was written despite the error, the watch shows it as one of an earlier
            // process of this node, and it is made again.
            Err(error)
        }
    }
}

fn record_claim(control: &ControlState, claim: Claim, revision: Revision, asked_at: Duration) {
    let Claim {
        engine,
        predecessor,
        record,
        ..
    } = claim;
    control.record_engine_claim(&record, *revision);
    let mut history = control.owner_history.borrow_mut();
    history.record_stored(Upstream::name_of(engine), *revision);
    drop(history);
    let rules = control.ownership_rules();
    let now = boot_time();
    let taken = Ownership::claimed(*revision, predecessor, rules, asked_at, now);
    let previous = control.eras.lost_claims.borrow_mut().remove(engine);
    let owned = match previous {
        Some(owned) => {
            let ownership = *owned.ownership.borrow();
            let reclaimed = match predecessor {
                Predecessor::Another => ownership.reclaimed(*revision, rules, asked_at, now),
                _ => taken,
            };
            owned.ownership.replace(reclaimed);
            owned.is_key_seen.set(false);
            owned
        }
        None => Rc::new(OwnedEngine::new(engine.clone(), taken)),
    };
    let may_order = matches!(
        owned.ownership.borrow().permit(now),
        OrderPermit::Granted { .. }
    );
    let waits = owned.ownership.borrow().may_order_from();
    let waits = waits.saturating_sub(now);
    control.owned.borrow_mut().insert(engine.clone(), owned);
    let owner = Owner::new(record.owner, revision);
    control.owners.borrow_mut().insert(engine.clone(), owner);
    log_event!(
        control.log, Event::EngineOwned,
        "upstream" => engine.to_string(), "fence" => revision.fencing_token(),
        "may_order" => may_order, "waits_ms" => waits.as_millis()
    );
}

/// Removes this node's owner keys of engines that have restarted, as no order is sent to their
/// earlier process. Another node that takes the engine would wait for this one as long as the key is
/// there.
pub(crate) async fn release_replaced(control: &ControlState) {
    let is_replaced = |engine: &UpstreamId| {
        let upstreams = control.upstreams.borrow();
        let name = Upstream::name_of(engine);
        !upstreams.contains_key(engine) && upstreams.values().any(|listed| *listed.name == *name)
    };
    let replaced: Vec<(UpstreamId, Revision)> = {
        let owners = control.owners.borrow();
        let own = owners
            .iter()
            .filter(|(_, owner)| owner.lease == control.lease.get());
        let replaced = own.filter(|(engine, _)| is_replaced(engine));
        replaced
            .map(|(engine, owner)| (engine.clone(), owner.revision))
            .collect()
    };
    for replaced in replaced.chunks(REMOVALS_PER_TXN) {
        remove_owner_keys(control, replaced).await;
    }
}

/// Removes this node's owner keys of `engines`, at these revisions. If that fails, they are removed at
/// the next check.
pub(super) async fn remove_owner_keys(control: &ControlState, engines: &[(UpstreamId, Revision)]) {
    let keys = engines
        .iter()
        .map(|(engine, revision)| (owner_key(engine), *revision));
    if control.remove_keys(keys).await {
        let mut owners = control.owners.borrow_mut();
        for (engine, _) in engines {
            owners.remove(engine);
        }
    }
}

/// Drops engines that are no longer listed. Their owner keys expire with the lease.
pub(crate) fn drop_unlisted(control: &ControlState) {
    let upstreams = control.upstreams.borrow();
    let mut owned = control.owned.borrow_mut();
    owned.retain(|engine, _| upstreams.contains_key(engine));
    let mut lost_claims = control.eras.lost_claims.borrow_mut();
    lost_claims.retain(|engine, _| upstreams.contains_key(engine));
    let mut reported = control.owner_reported_at.borrow_mut();
    reported.retain(|engine, _| upstreams.contains_key(engine));
    control.drop_host_reports(|engine| upstreams.contains_key(engine));
}
