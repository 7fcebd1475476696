//! Brings adapters into engines, here or through the engine's owner.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{Holdings, LoadPlan, LoadStep, ModelRef, Room, plan_load};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::engine::OwnedEngine;
use super::knowledge::{Knowledge, Owner};
use super::peers::LoadAsk;
use crate::shared::{Loaded, Want};
use crate::{OrderAnswer, OrderStep};

/// Adapters that may be on their way to one engine at once.
const TRANSFERS_LIMIT: usize = 4;

/// How long a load takes at least; its end is not asked for earlier.
const LEAST_LOAD: Duration = Duration::from_millis(240);

/// The time between two reports while loads are under way.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(40);

/// How long a load may take, with others under way everywhere.
const LOAD_LIMIT: Duration = Duration::from_millis(3_000);

/// Engines whose expected waits differ by less than this take an adapter equally well: the time in
/// which one prompt is read.
const ABOUT_AS_SOON_MS: f64 = 80.0;

/// Engines that are asked for one adapter.
const ENGINES_TRIED: usize = 3;

/// The time between two copies of one adapter. A copy takes 250 ms, and its effect on the queues
/// shows some time after.
const COPY_INTERVAL: Duration = Duration::from_millis(600);

/// Victims that are tried for one load: an adapter in use by another node goes only later.
const VICTIMS_TRIED: usize = 3;

type Waiting = HashMap<(ModelRef, Option<u64>), Vec<oneshot::Sender<Loaded>>>;

/// Brings adapters into engines.
pub(crate) struct Loader {
    pub(crate) knowledge: Rc<Knowledge>,
    waiting: RefCell<Waiting>,
    last_load: RefCell<HashMap<ModelRef, Instant>>,
}

/// Serves asks of the traffic thread for ever.
pub(crate) async fn serve(loader: Rc<Loader>, mut wants: mpsc::Receiver<Want>) {
    while let Some(want) = wants.recv().await {
        loader.take(want);
    }
}

impl Loader {
    pub(crate) fn new(knowledge: Rc<Knowledge>) -> Self {
        Self {
            knowledge,
            waiting: RefCell::default(),
            last_load: RefCell::default(),
        }
    }

    /// Starts to bring what is wanted, or joins those who wait for the same.
    fn take(self: &Rc<Self>, want: Want) {
        let key = (want.model.clone(), want.version);
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&key) {
            waiting.push(want.ready);
            return;
        }
        let is_copy = want.ready.is_closed();
        if is_copy && self.is_recent(&want.model) {
            return;
        }
        let mut last_load = self.last_load.borrow_mut();
        last_load.retain(|_, at| at.elapsed() < COPY_INTERVAL);
        last_load.insert(want.model.clone(), Instant::now());
        drop(last_load);
        self.waiting.borrow_mut().insert(key.clone(), vec![want.ready]);
        let this = Rc::clone(self);
        spawn_local(async move {
            let loaded = this.bring(&want.model, want.version, want.engines).await;
            let waiting = this.waiting.borrow_mut().remove(&key);
            for ready in waiting.into_iter().flatten() {
                // Whoever gave up meanwhile needs no answer.
                let _ = ready.send(loaded.clone());
            }
        });
    }

    fn is_recent(&self, model: &ModelRef) -> bool {
        let last_load = self.last_load.borrow();
        last_load.get(model).is_some_and(|at| at.elapsed() < COPY_INTERVAL)
    }

    async fn bring(
        &self,
        model: &ModelRef,
        version: Option<u64>,
        engines: Vec<(UpstreamId, f64)>,
    ) -> Loaded {
        for engine in self.ranked(model, engines).into_iter().take(ENGINES_TRIED) {
            let holdings = match self.knowledge.owned(&engine) {
                Some(owned) => self.load_here(&owned, model, version).await,
                None => self.ask_owner(&engine, model, version).await,
            };
            if let Some(holdings) = holdings {
                self.knowledge.note_holdings(&engine, &holdings);
                return Some((engine, holdings));
            }
        }
        None
    }

    /// Engines with an owner, the one that is to take `model` in front.
    ///
    /// Two nodes may miss one adapter at the same time, long before either hears of the other's
    /// load. Among engines that would answer about as soon, the order comes from a hash that is the
    /// same everywhere, so both ask one owner, who loads it once.
    fn ranked(&self, model: &ModelRef, engines: Vec<(UpstreamId, f64)>) -> Vec<UpstreamId> {
        let reachable = engines.into_iter().filter(|(id, _)| self.is_reachable(id));
        let mut ranked: Vec<(UpstreamId, f64)> = reachable.collect();
        let least_ms = ranked.iter().map(|(_, ms)| *ms).fold(f64::INFINITY, f64::min);
        ranked.sort_by_cached_key(|(id, expected_ms)| {
            let steps = ((expected_ms - least_ms) / ABOUT_AS_SOON_MS) as u64;
            (steps, xxh3_64(format!("{model} {id}").as_bytes()))
        });
        ranked.into_iter().map(|(id, _)| id).collect()
    }

    /// Whether the engine's owner is known.
    fn is_reachable(&self, engine: &UpstreamId) -> bool {
        let owners = self.knowledge.owners.borrow();
        let nodes = self.knowledge.nodes.borrow();
        let is_known = |owner: &Owner| nodes.contains_key(&owner.node);
        self.knowledge.owned(engine).is_some() || owners.get(engine).is_some_and(is_known)
    }

    async fn ask_owner(
        &self,
        engine: &UpstreamId,
        model: &ModelRef,
        version: Option<u64>,
    ) -> Option<Holdings> {
        let owner = self.knowledge.owners.borrow().get(engine)?.node.clone();
        let address = self.knowledge.nodes.borrow().get(&owner)?.address;
        let ask = LoadAsk {
            engine: engine.clone(),
            model: model.clone(),
            version,
        };
        ask.send(&self.knowledge, address, LOAD_LIMIT).await
    }

    /// Brings an adapter into an engine that this node owns; returns once it is there.
    pub(crate) async fn load_here(
        &self,
        engine: &Rc<OwnedEngine>,
        model: &ModelRef,
        version: Option<u64>,
    ) -> Option<Holdings> {
        let limit = tokio::time::Instant::now() + LOAD_LIMIT;
        if !engine.holds(model, version) && !engine.awaits(model, version) {
            let _orders = engine.orders.lock().await;
            if !engine.holds(model, version) && !engine.awaits(model, version) {
                self.order_load(engine, model, version).await?;
            }
        }
        self.follow(engine);
        while !engine.holds(model, version) {
            if !engine.awaits(model, version) {
                return None;
            }
            let changed = engine.changed.notified();
            tokio::time::timeout_at(limit, changed).await.ok()?;
        }
        engine.holdings()
    }

    /// Orders a load, with the eviction that it needs.
    async fn order_load(
        &self,
        engine: &OwnedEngine,
        model: &ModelRef,
        version: Option<u64>,
    ) -> Option<()> {
        let knowledge = &self.knowledge;
        let upstream = knowledge.upstream(&engine.id)?;
        for _ in 0..VICTIMS_TRIED {
            let fence = knowledge.permit(engine).await?;
            if engine.holdings().is_none() || engine.leaving_count() > 0 {
                knowledge.read_report(engine).await?;
            }
            if engine.leaving_count() > 0 {
                // It takes no other order until an adapter in use has gone.
                return None;
            }
            let plan = self.plan(engine, &upstream, model, version)?;
            let mut is_done = true;
            for step in plan.steps {
                let (step, load) = match step {
                    LoadStep::Unload(victim) => (OrderStep::Unload(victim), None),
                    LoadStep::Load(model, version) => {
                        let load = Some((model.clone(), version));
                        (OrderStep::Load(model, version), load)
                    }
                };
                let answer = knowledge.order(engine, &upstream, step.clone(), fence).await;
                match (answer, step) {
                    (Some(OrderAnswer::Accepted), OrderStep::Load(..)) => engine.ordered(load),
                    (Some(OrderAnswer::Done), OrderStep::Load(..)) => engine.doubt(),
                    (Some(OrderAnswer::Done), OrderStep::Unload(victim)) => {
                        engine.unloaded(&victim, true);
                    }
                    (Some(OrderAnswer::Accepted), OrderStep::Unload(victim)) => {
                        // In use by another node: it goes later, so its room is not free yet.
                        engine.unloaded(&victim, false);
                        is_done = false;
                        break;
                    }
                    _ => {
                        is_done = false;
                        break;
                    }
                }
            }
            if is_done {
                return Some(());
            }
        }
        None
    }

    fn plan(
        &self,
        engine: &OwnedEngine,
        upstream: &nutmegsail_relay::Upstream,
        model: &ModelRef,
        version: Option<u64>,
    ) -> Option<LoadPlan> {
        let knowledge = &self.knowledge;
        let holdings = engine.holdings()?;
        let room = knowledge.engine_room(&upstream.service)?;
        let adapters = room.adapters_beside(&holdings);
        let room = Room {
            adapter_slots: adapters.saturating_sub(engine.leaving_count()),
            transfers: TRANSFERS_LIMIT,
        };
        let is_in_use = |adapter: &ModelRef| {
            knowledge.shared.uses.holds(&engine.id, adapter)
                || engine.is_used_elsewhere(adapter)
                || engine.is_leaving(adapter)
        };
        let demand = knowledge.demand.borrow();
        let coming = engine.coming();
        plan_load(
            model,
            version,
            &holdings,
            &coming,
            room,
            &demand,
            &is_in_use,
            Instant::now(),
        )
        .ok()
    }

    /// Reads reports until nothing is on its way to `engine`.
    fn follow(&self, engine: &Rc<OwnedEngine>) {
        if engine.is_followed.replace(true) {
            return;
        }
        let knowledge = Rc::clone(&self.knowledge);
        let engine = Rc::clone(engine);
        spawn_local(async move {
            while let Some(oldest) = engine.oldest_coming() {
                let age = oldest.elapsed();
                sleep(LEAST_LOAD.saturating_sub(age).max(FOLLOW_INTERVAL)).await;
                // An engine that does not answer is asked again; its waiters have limits of their own.
                let report = timeout(LOAD_LIMIT, knowledge.read_report(&engine)).await;
                if age > LOAD_LIMIT && !matches!(report, Ok(Some(_))) {
                    engine.doubt();
                    break;
                }
            }
            engine.is_followed.set(false);
            engine.changed.notify_waiters();
        });
    }
}
