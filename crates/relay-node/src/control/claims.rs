//! Claims engines in the store, by compare-and-swap.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{
    NodeRecord, OrderPermit, Ownership, Predecessor, Upstream, unowned_to_claim,
};
use nutmegsail_store::{Expect, KeyValueError, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};

use super::engine::OwnedEngine;
use super::knowledge::{Knowledge, Owner};
use super::owner_record::{OwnerRecord, OwnerWait, predecessor_of_own};
use super::owners::{owner_key, to_json};
use crate::clock::boot_time;

/// Claims per transaction. Each takes two entries, and the store accepts 32.
const CLAIMS_PER_TXN: usize = 15;

/// Writes claims to the store.
pub(crate) async fn claim(knowledge: &Knowledge, claims: &[(UpstreamId, Revision)]) {
    for claims in claims.chunks(CLAIMS_PER_TXN) {
        if commit_claims(knowledge, claims).await.is_err() && claims.len() > 1 {
            // One claim that another node won fails the whole transaction, so retry each claim
            // alone.
            for one in claims.chunks(1) {
                let _ = commit_claims(knowledge, one).await;
            }
        }
    }
}

/// Engines that an earlier process of this node owned. No other node may claim them, so this node
/// claims them again right after a restart.
pub(crate) fn own_before(knowledge: &Knowledge) -> Vec<(UpstreamId, Revision)> {
    let node = &knowledge.settings.node;
    let owners = knowledge.owners.borrow();
    let is_before = |engine: &UpstreamId, owner: &Owner| {
        owner.node == *node && knowledge.owned(engine).is_none()
    };
    owners
        .iter()
        .filter(|(engine, owner)| is_before(engine, owner) && knowledge.upstream(engine).is_some())
        .map(|(engine, owner)| (engine.clone(), owner.revision))
        .collect()
}

pub(crate) fn unowned(knowledge: &Knowledge) -> Vec<UpstreamId> {
    let engines = engines_in_use(knowledge);
    let engines: Vec<&Upstream> = engines.iter().map(|engine| &**engine).collect();
    let nodes: Vec<NodeRecord> = knowledge.nodes.borrow().values().cloned().collect();
    let owners = owners_of(knowledge, &engines);
    let me = &knowledge.settings.node;
    // If an engine restarts, the owner of its previous process claims it again, if that owner is
    // alive. It may send orders at once; any other node would first have to wait until the owner's
    // orders have arrived.
    let (again, engines): (Vec<&Upstream>, Vec<&Upstream>) = engines
        .into_iter()
        .partition(|engine| has_living_last_owner(knowledge, engine, &owners));
    let again = again
        .into_iter()
        .filter(|engine| knowledge.last_owner(&engine.address).as_ref() == Some(me));
    let again: Vec<UpstreamId> = again.map(|engine| engine.id.clone()).collect();
    let mut claims = unowned_to_claim(me, &nodes, &engines, &owners);
    claims.extend(again);
    claims
}

/// The engines that accept requests.
pub(super) fn engines_in_use(knowledge: &Knowledge) -> Vec<Arc<Upstream>> {
    let has_engines = |name| {
        let service = knowledge.service(name);
        service.is_some_and(|service| service.engine.is_some())
    };
    let upstreams = knowledge.upstreams.borrow();
    upstreams
        .values()
        .filter(|upstream| upstream.takes_work() && has_engines(&upstream.service))
        .cloned()
        .collect()
}

/// The owners of those of `engines` that have one.
pub(super) fn owners_of(
    knowledge: &Knowledge,
    engines: &[&Upstream],
) -> HashMap<UpstreamId, NodeId> {
    let owners = knowledge.owners.borrow();
    let engines = engines.iter().map(|engine| &engine.id);
    let owned = engines.filter_map(|engine| Some((engine, owners.get(engine)?)));
    owned
        .map(|(engine, owner)| (engine.clone(), owner.node.clone()))
        .collect()
}

fn has_living_last_owner(
    knowledge: &Knowledge,
    engine: &Upstream,
    owners: &HashMap<UpstreamId, NodeId>,
) -> bool {
    let last = knowledge.last_owner(&engine.address);
    let is_living = |node: NodeId| knowledge.nodes.borrow().contains_key(&node);
    !owners.contains_key(&engine.id) && last.is_some_and(is_living)
}

/// A claim that replaces the owner key at revision `before`.
struct Claim<'a> {
    engine: &'a UpstreamId,
    before: Revision,
    predecessor: Predecessor,
    record: OwnerRecord,
}

impl<'a> Claim<'a> {
    fn new(knowledge: &Knowledge, engine: &'a UpstreamId, before: Revision) -> Self {
        let predecessor = predecessor(knowledge, engine, before);
        let rules = knowledge.ownership_rules();
        Self {
            engine,
            before,
            predecessor,
            record: OwnerRecord {
                node: knowledge.settings.node.clone(),
                lease: knowledge.lease.get(),
                waits: OwnerWait::for_next(knowledge, predecessor, rules),
            },
        }
    }
}

async fn commit_claims(
    knowledge: &Knowledge,
    claims: &[(UpstreamId, Revision)],
) -> Result<(), KeyValueError> {
    let claims = claims
        .iter()
        .map(|(engine, before)| Claim::new(knowledge, engine, *before));
    let claims: Vec<Claim> = claims.collect();
    let mut txn = Txn::default();
    for claim in &claims {
        let key: Arc<str> = owner_key(claim.engine).into();
        txn.expects.push(Expect {
            key: Arc::clone(&key),
            revision: claim.before,
        });
        txn.puts.push(Put {
            key,
            value: to_json(&claim.record),
            lease: claim.record.lease,
        });
    }
    let asked_at = boot_time();
    match knowledge.store.commit(txn).await {
        Ok(revision) => {
            for claim in claims {
                note_taken(knowledge, claim, revision, asked_at);
            }
            Ok(())
        }
        Err(error) => {
            if error == KeyValueError::Ambiguous {
                log_event!(knowledge.log, Event::WriteAmbiguous, "claims" => claims.len());
            }
            // If the claim was written despite the error, the watch shows it as one of an earlier
            // process of this node, and it is made again.
            Err(error)
        }
    }
}

fn note_taken(knowledge: &Knowledge, claim: Claim, revision: Revision, asked_at: Duration) {
    let Claim {
        engine,
        predecessor,
        record,
        ..
    } = claim;
    let rules = knowledge.ownership_rules();
    let now = boot_time();
    let taken = Ownership::taken(*revision, predecessor, rules, asked_at, now);
    let lapsed = knowledge.eras.lapsed.borrow_mut().remove(engine);
    let owned = match lapsed {
        Some(owned) => {
            let lapsed = *owned.ownership.borrow();
            let retaken = match predecessor {
                Predecessor::Another => lapsed.retaken(*revision, rules, asked_at, now),
                _ => taken,
            };
            owned.ownership.replace(retaken);
            owned.is_watched.set(false);
            owned
        }
        None => Rc::new(OwnedEngine::new(engine.clone(), taken)),
    };
    let may_order = matches!(
        owned.ownership.borrow().permit(now),
        OrderPermit::Granted { .. }
    );
    knowledge.owned.borrow_mut().insert(engine.clone(), owned);
    let owner = Owner {
        node: record.node,
        revision,
        waits: record.waits,
    };
    knowledge.owners.borrow_mut().insert(engine.clone(), owner);
    log_event!(
        knowledge.log, Event::EngineOwned,
        "upstream" => engine.to_string(), "fence" => revision.fence(), "may_order" => may_order
    );
}

/// Who may still have orders in transit to an engine whose owner key at revision `before` is
/// replaced.
fn predecessor(knowledge: &Knowledge, engine: &UpstreamId, before: Revision) -> Predecessor {
    if !knowledge.eras.is_settled() {
        return Predecessor::Another;
    }
    if before != Revision::NONE {
        let owners = knowledge.owners.borrow();
        let waits = owners.get(engine).and_then(|owner| owner.waits.as_ref());
        return predecessor_of_own(knowledge, waits);
    }
    match knowledge.is_first_claim() || has_no_other_owner(knowledge, engine) {
        true => Predecessor::None,
        false => Predecessor::Another,
    }
}

/// Whether no other node can have orders in transit to the engine: this node was the last owner at
/// its address, or there was no owner for as long as orders may be in transit.
fn has_no_other_owner(knowledge: &Knowledge, engine: &UpstreamId) -> bool {
    let Some(upstream) = knowledge.upstream(engine) else {
        return false;
    };
    match knowledge.last_owner(&upstream.address) {
        Some(node) => node == knowledge.settings.node,
        None => knowledge.knows_last_owners(),
    }
}

/// Drops engines that are no longer listed. Their owner keys expire with the lease.
pub(crate) fn forget_gone(knowledge: &Knowledge) {
    let upstreams = knowledge.upstreams.borrow();
    let mut owned = knowledge.owned.borrow_mut();
    owned.retain(|engine, _| upstreams.contains_key(engine));
    let mut lapsed = knowledge.eras.lapsed.borrow_mut();
    lapsed.retain(|engine, _| upstreams.contains_key(engine));
    let mut told = knowledge.told_by_owner.borrow_mut();
    told.retain(|engine, _| upstreams.contains_key(engine));
    knowledge.forget_hosted(|engine| upstreams.contains_key(engine));
}
