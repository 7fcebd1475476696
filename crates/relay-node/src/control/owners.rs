//! Which nodes there are and which of them owns which engine, agreed through the store.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{ModelRef, NodeRecord, Ownership, Upstream, unowned_to_claim};
use nutmegsail_store::{Change, Expect, Item, KeyValueError, LeaseId, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};

use super::engine::OwnedEngine;
use super::follow_loads::follow_loads;
use super::knowledge::{Knowledge, Owner};
use super::watch::Follower;
use crate::clock::boot_time;
use crate::{OrderAnswer, OrderStep};

/// Keys that nodes write.
const PREFIX: &str = "nutmegsail/";
const NODE_PREFIX: &str = "nutmegsail/node/";
const OWNER_PREFIX: &str = "nutmegsail/owner/";

/// How long keys outlive their node. Shorter costs more renewals, longer leaves engines of a dead
/// node without an owner.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// How often the lease is renewed: two renewals may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// How often a node looks for engines to claim and models to load.
const TICK: Duration = Duration::from_millis(400);

/// How long after its start a node claims nothing: machines start within 0.3 s of each other, and
/// engines are to be spread over all of them.
const FIRST_CLAIM_AFTER: Duration = Duration::from_millis(900);

/// The age at which a confirmation is renewed, well before it ends.
const CONFIRM_AFTER: Duration = Duration::from_millis(1_800);

/// How long after an order more are expected.
const ORDERS_EXPECTED: Duration = Duration::from_secs(5);

/// How long the store is left alone after a confirmation failed.
const CONFIRM_RETRY: Duration = Duration::from_millis(400);

/// Engines that one transaction confirms; the store takes 32 entries.
const CONFIRMS_PER_TXN: usize = 32;

/// Claims that go into one transaction; the store takes 32 entries.
const CLAIMS_PER_TXN: usize = 15;

/// An owner's key as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OwnerRecord {
    node: NodeId,
    /// The lease of the process that wrote it, which tells two processes of a node apart.
    lease: LeaseId,
}

pub(crate) fn owner_key(engine: &UpstreamId) -> String {
    format!("{OWNER_PREFIX}{engine}")
}

/// Takes in nodes and owners.
pub(crate) struct OwnersFollower(pub(crate) Rc<Knowledge>);

impl OwnersFollower {
    fn take(&self, item: &Item) {
        if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
            match serde_json::from_slice::<NodeRecord>(&item.value) {
                Ok(record) => {
                    self.0.nodes.borrow_mut().insert(name.into(), record);
                }
                Err(error) => self.log_unreadable(&item.key, &error),
            }
        } else if let Some(engine) = item.key.strip_prefix(OWNER_PREFIX) {
            match serde_json::from_slice::<OwnerRecord>(&item.value) {
                Ok(record) => self.take_owner(engine.into(), &record, item.revision),
                Err(error) => self.log_unreadable(&item.key, &error),
            }
        }
    }

    fn take_owner(&self, engine: UpstreamId, record: &OwnerRecord, revision: Revision) {
        let mine = self.0.owned(&engine);
        if mine.is_some_and(|owned| owned.ownership.borrow().fence() < revision.0) {
            lose(&self.0, &engine, "another claim was written");
        }
        let owner = Owner {
            node: record.node.clone(),
            revision,
        };
        self.0.owners.borrow_mut().insert(engine, owner);
    }

    fn remove(&self, key: &str) {
        if let Some(name) = key.strip_prefix(NODE_PREFIX) {
            self.0.nodes.borrow_mut().remove(name);
        } else if let Some(engine) = key.strip_prefix(OWNER_PREFIX) {
            let engine = UpstreamId::from(engine);
            self.0.owners.borrow_mut().remove(&engine);
            lose(&self.0, &engine, "the key was removed");
        }
    }

    fn log_unreadable(&self, key: &str, error: &serde_json::Error) {
        log_event!(
            self.0.log, Event::MessageUndecodable,
            "key" => key.to_owned(), "problem" => error.to_string()
        );
    }
}

impl Follower for OwnersFollower {
    fn prefix(&self) -> &str {
        PREFIX
    }

    fn whole(&self, items: &[&Item]) {
        let listed: Vec<&str> = items.iter().map(|item| &*item.key).collect();
        let nodes: Vec<NodeId> = self.0.nodes.borrow().keys().cloned().collect();
        let engines: Vec<UpstreamId> = self.0.owners.borrow().keys().cloned().collect();
        let known = nodes.iter().map(|node| format!("{NODE_PREFIX}{node}"));
        let known = known.chain(engines.iter().map(owner_key));
        for key in known.collect::<Vec<_>>() {
            if !listed.contains(&key.as_str()) {
                self.remove(&key);
            }
        }
        for item in items {
            self.take(item);
        }
    }

    fn changes(&self, changes: &[&Change]) {
        for change in changes {
            match change {
                Change::Put(item) => self.take(item),
                Change::Removed { key, .. } => self.remove(key),
            }
        }
    }
}

/// Gives up an engine without telling the store.
pub(crate) fn lose(knowledge: &Knowledge, engine: &UpstreamId, why: &str) {
    if knowledge.owned.borrow_mut().remove(engine).is_some() {
        log_event!(
            knowledge.log, Event::EngineReleased,
            "upstream" => engine.to_string(), "why" => why.to_owned()
        );
    }
}

/// Confirms at the store that this node still owns its engines: one call for all of them.
///
/// After a failure the store is left alone for a moment. While it is away, each of the loads that
/// wait would otherwise hang on a call of its own, and their callers with them.
pub(crate) async fn confirm(knowledge: &Knowledge) {
    let _one_at_a_time = knowledge.confirming.lock().await;
    let failed = knowledge.confirm_failed.get();
    if failed.is_some_and(|at| at.elapsed() < CONFIRM_RETRY) || !needs_confirmation(knowledge) {
        return;
    }
    let owned: Vec<(UpstreamId, Revision)> = {
        let owned = knowledge.owned.borrow();
        let fence = |engine: &Rc<OwnedEngine>| Revision(engine.ownership.borrow().fence());
        owned
            .iter()
            .map(|(id, engine)| (id.clone(), fence(engine)))
            .collect()
    };
    for owned in owned.chunks(CONFIRMS_PER_TXN) {
        confirm_some(knowledge, owned).await;
    }
}

/// Whether an engine's ownership was confirmed a while ago; another load may just have done it.
fn needs_confirmation(knowledge: &Knowledge) -> bool {
    let owned = knowledge.owned.borrow();
    let now = boot_time();
    let mut ages = owned
        .values()
        .map(|engine| engine.ownership.borrow().confirmation_age(now));
    ages.any(|age| age > CONFIRM_AFTER)
}

/// Confirms ahead of time while loads are ordered, so that orders can go on for some seconds
/// whenever the store goes away.
async fn confirm_ahead(knowledge: &Knowledge) {
    let last_order = knowledge.last_order.get();
    if last_order.is_some_and(|at| at.elapsed() < ORDERS_EXPECTED) {
        confirm(knowledge).await;
    }
}

async fn confirm_some(knowledge: &Knowledge, owned: &[(UpstreamId, Revision)]) {
    let expects = owned.iter().map(|(engine, revision)| Expect {
        key: owner_key(engine).into(),
        revision: *revision,
    });
    let txn = Txn {
        expects: expects.collect(),
        ..Txn::default()
    };
    let asked_at = boot_time();
    match knowledge.store.commit(txn).await {
        Ok(_) => {
            for (engine, _) in owned {
                if let Some(engine) = knowledge.owned(engine) {
                    engine.ownership.borrow_mut().confirm(asked_at);
                }
            }
        }
        Err(KeyValueError::Conflict { current }) => {
            for (engine, revision) in owned {
                let key = owner_key(engine);
                let mut current = current.iter();
                if !current.any(|item| *item.key == *key && item.revision == *revision) {
                    lose(knowledge, engine, "the key is another's or gone");
                }
            }
        }
        Err(_) => knowledge.confirm_failed.set(Some(Instant::now())),
    }
}

/// Keeps the node's lease and claims engines, for ever.
pub(crate) async fn keep(knowledge: Rc<Knowledge>) {
    let started = Instant::now();
    let mut renewed: Option<Instant> = None;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let is_due = renewed.is_none_or(|at| at.elapsed() >= RENEW_INTERVAL);
        if is_due && renew(&knowledge).await {
            renewed = Some(Instant::now());
        }
        if knowledge.lease.get() == LeaseId::default() {
            continue;
        }
        knowledge.note_last_owners();
        commit_all(&knowledge, &own_before(&knowledge)).await;
        if started.elapsed() >= FIRST_CLAIM_AFTER {
            let unowned = unowned(&knowledge).into_iter();
            let claims: Vec<_> = unowned.map(|id| (id, Revision(0))).collect();
            commit_all(&knowledge, &claims).await;
        }
        confirm_ahead(&knowledge).await;
        forget_gone(&knowledge);
        load_models(&knowledge).await;
    }
}

/// Renews the lease, or takes one and registers the node under it.
async fn renew(knowledge: &Knowledge) -> bool {
    let lease = knowledge.lease.get();
    if lease != LeaseId::default() {
        match knowledge.store.keep_lease(lease).await {
            Ok(()) => return true,
            Err(KeyValueError::LeaseGone) => {
                knowledge.lease.set(LeaseId::default());
                let owned: Vec<UpstreamId> = knowledge.owned.borrow().keys().cloned().collect();
                for engine in owned {
                    lose(knowledge, &engine, "the lease has ended");
                }
            }
            Err(_) => return false,
        }
    }
    register(knowledge).await.is_ok()
}

async fn register(knowledge: &Knowledge) -> Result<(), KeyValueError> {
    let granted = knowledge.store.grant_lease(LEASE_TTL).await?;
    let settings = &knowledge.settings;
    let record = NodeRecord {
        node: settings.node.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.nodes_address,
    };
    let put = Put {
        key: format!("{NODE_PREFIX}{}", settings.node).into(),
        value: to_json(&record),
        lease: granted.lease,
    };
    let txn = Txn {
        puts: vec![put],
        ..Txn::default()
    };
    knowledge.store.commit(txn).await?;
    knowledge.lease.set(granted.lease);
    Ok(())
}

fn to_json(value: &impl Serialize) -> Bytes {
    // Names, numbers and addresses always serialise.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Writes claims.
async fn commit_all(knowledge: &Knowledge, claims: &[(UpstreamId, Revision)]) {
    for claims in claims.chunks(CLAIMS_PER_TXN) {
        if commit_claims(knowledge, claims).await.is_err() && claims.len() > 1 {
            // One claim that another node took first fails all; the others are tried alone.
            for one in claims.chunks(1) {
                let _ = commit_claims(knowledge, one).await;
            }
        }
    }
}

/// Engines that an earlier process of this node owned. Nobody else may have them, so they are
/// claimed at once after a restart.
fn own_before(knowledge: &Knowledge) -> Vec<(UpstreamId, Revision)> {
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

fn unowned(knowledge: &Knowledge) -> Vec<UpstreamId> {
    let upstreams = knowledge.upstreams.borrow();
    let engines: Vec<&Upstream> = upstreams
        .values()
        .map(|upstream| &**upstream)
        .filter(|upstream| upstream.takes_work())
        .filter(|upstream| knowledge.engine_room(&upstream.service).is_some())
        .collect();
    let nodes: Vec<NodeRecord> = knowledge.nodes.borrow().values().cloned().collect();
    let owners = knowledge.owners.borrow();
    let owners: HashMap<UpstreamId, NodeId> = owners
        .iter()
        .filter(|(engine, _)| engines.iter().any(|known| known.id == **engine))
        .map(|(engine, owner)| (engine.clone(), owner.node.clone()))
        .collect();
    let me = &knowledge.settings.node;
    // The next process of an engine goes to the owner of the one before, if that still lives: it
    // may order at once, where any other node would have to wait until its orders have arrived.
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

fn has_living_last_owner(
    knowledge: &Knowledge,
    engine: &Upstream,
    owners: &HashMap<UpstreamId, NodeId>,
) -> bool {
    let last = knowledge.last_owner(&engine.address);
    let is_living = |node: NodeId| knowledge.nodes.borrow().contains_key(&node);
    !owners.contains_key(&engine.id) && last.is_some_and(is_living)
}

async fn commit_claims(
    knowledge: &Knowledge,
    claims: &[(UpstreamId, Revision)],
) -> Result<(), KeyValueError> {
    let lease = knowledge.lease.get();
    let record = OwnerRecord {
        node: knowledge.settings.node.clone(),
        lease,
    };
    let mut txn = Txn::default();
    for (engine, revision) in claims {
        let key: Arc<str> = owner_key(engine).into();
        txn.expects.push(Expect {
            key: Arc::clone(&key),
            revision: *revision,
        });
        txn.puts.push(Put {
            key,
            value: to_json(&record),
            lease,
        });
    }
    let asked_at = boot_time();
    match knowledge.store.commit(txn).await {
        Ok(fence) => {
            for (engine, before) in claims {
                note_taken(knowledge, engine, fence, *before, asked_at);
            }
            Ok(())
        }
        Err(error) => {
            if error == KeyValueError::Ambiguous {
                log_event!(knowledge.log, Event::WriteAmbiguous, "claims" => claims.len());
            }
            // What was written in spite of the error shows up in the watch as a claim of an
            // earlier process of this node, and is claimed anew.
            Err(error)
        }
    }
}

fn note_taken(
    knowledge: &Knowledge,
    engine: &UpstreamId,
    fence: Revision,
    before: Revision,
    asked_at: Duration,
) {
    let is_own_before = before != Revision(0)
        || knowledge.is_first_claim()
        || has_no_other_owner(knowledge, engine);
    let rules = knowledge.ownership_rules();
    let now = boot_time();
    let ownership = Ownership::taken(fence.0, is_own_before, rules, asked_at, now);
    let owned = Rc::new(OwnedEngine::new(engine.clone(), ownership));
    knowledge.owned.borrow_mut().insert(engine.clone(), owned);
    let owner = Owner {
        node: knowledge.settings.node.clone(),
        revision: fence,
    };
    knowledge.owners.borrow_mut().insert(engine.clone(), owner);
    log_event!(
        knowledge.log, Event::EngineOwned,
        "upstream" => engine.to_string(), "fence" => fence.0, "was_ours" => is_own_before
    );
}

/// Whether no other node can have orders on their way to the engine: this node owned the one at its
/// address last, or nobody did for as long as orders may be on their way.
fn has_no_other_owner(knowledge: &Knowledge, engine: &UpstreamId) -> bool {
    let Some(upstream) = knowledge.upstream(engine) else {
        return false;
    };
    match knowledge.last_owner(&upstream.address) {
        Some(node) => node == knowledge.settings.node,
        None => knowledge.knows_last_owners(),
    }
}

/// Drops engines that left the list; their keys go with the lease.
fn forget_gone(knowledge: &Knowledge) {
    let upstreams = knowledge.upstreams.borrow();
    let mut owned = knowledge.owned.borrow_mut();
    owned.retain(|engine, _| upstreams.contains_key(engine));
}

/// Has base models loaded by engines of ours that hold none.
async fn load_models(knowledge: &Rc<Knowledge>) {
    let owned: Vec<Rc<OwnedEngine>> = knowledge.owned.borrow().values().cloned().collect();
    for engine in owned {
        let Some(upstream) = knowledge.upstream(&engine.id) else {
            continue;
        };
        // An engine whose count of orders is in doubt, or that waits for an adapter to go, is offered
        // no loads, and only loads would read its report otherwise.
        if engine.order_seq().is_none() || engine.leaving_count() > 0 {
            knowledge.read_report(&engine).await;
        }
        if upstream.takes_work() && engine.change() > 0 && engine.holdings().models.is_empty() {
            load_model(knowledge, &engine, &upstream).await;
            follow_loads(Rc::clone(knowledge), Rc::clone(&engine));
        }
    }
}

async fn load_model(knowledge: &Knowledge, engine: &OwnedEngine, upstream: &Upstream) {
    let Some(room) = knowledge.engine_room(&upstream.service) else {
        return;
    };
    let Some(model) = room.models.first() else {
        return;
    };
    let _orders = engine.orders.lock().await;
    // The list of upstreams lags; the engine itself knows whether it is empty.
    let Some(report) = knowledge.read_report(engine).await else {
        return;
    };
    if report.is_busy || !report.holdings.models.is_empty() || engine.coming_count() > 0 {
        return;
    }
    let Some(fence) = knowledge.permit(engine).await else {
        return;
    };
    let wanted = ModelRef {
        model: Arc::clone(&model.name),
        adapter: None,
    };
    let step = OrderStep::Load(wanted.clone(), None);
    let answer = knowledge.order(engine, upstream, step, fence).await;
    if answer == Some(OrderAnswer::Accepted) {
        engine.ordered(Some((wanted, None)));
    }
}

/// Ends the lease, so that the others take over at once.
pub(crate) async fn give_back(knowledge: &Knowledge) {
    let lease = knowledge.lease.replace(LeaseId::default());
    knowledge.owned.borrow_mut().clear();
    if lease != LeaseId::default() {
        // If the call is lost, the keys go when the lease ends by itself.
        let _ = knowledge.store.end_lease(lease).await;
    }
}
