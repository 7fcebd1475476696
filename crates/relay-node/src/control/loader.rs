//! Brings adapters into engines, here or through the engine's owner.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{
    EngineContents, HeldAdapter, Holdings, LoadPlace, LoadPlan, LoadStep, ModelRef, Room, Upstream,
    plan_load,
};
use nutmegsail_telemetry::{Event, log_event};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use xxhash_rust::xxh3::xxh3_64;

use super::engine::{LoadKind, OwnedEngine};
use super::exchange::FULL_EXCHANGE_NODES;
use super::follow_loads::{LOAD_LIMIT, follow_loads};
use super::knowledge::{Knowledge, Owner};
use super::load_failure::LoadFailure;
use super::peers::LoadAsk;
use crate::shared::{LoadPurpose, Loaded, Want, Wanted};
use crate::{OrderAnswer, OrderStep};

/// Adapters that an engine takes at once. Loads are ordered one after the other nevertheless: all
/// engines together get eight at full speed, and beyond that every load takes longer in proportion.
/// Of 40 at once each takes 1.3 s; in turn the median takes 0.6 s. One for each of 12 engines keeps
/// near the eight without asking anyone.
const TRANSFERS_LIMIT: usize = 4;

/// How often a load looks whether it may begin: other owners tell of theirs every 100 ms.
const ROOM_INTERVAL: Duration = Duration::from_millis(30);

/// Loads that may wait at one engine. The fourth would come after a second, too late for any
/// latency objective.
const QUEUE_LIMIT: usize = 4;

/// Engines whose expected waits differ by less than this take an adapter equally well: a little more
/// than the time of one load. A finer step would have nodes with different news choose different
/// engines, and load one adapter twice.
const ABOUT_AS_SOON_MS: f64 = 300.0;

/// Engines that are asked for one adapter.
const ENGINES_TRIED: usize = 4;

/// How long an owner that does not answer the exchange counts as reachable: five exchanges, so a
/// few lost datagrams don't matter, and an owner behind a partition soon gets no more asks.
const HEARD_SPAN: Duration = Duration::from_millis(500);

/// How long an owner may take to answer an ask: longer than a load may take there. Given up
/// earlier, the load would go on all the same, and another engine would load it too.
const ASK_LIMIT: Duration = Duration::from_millis(3_200);

/// The time between two copies of one adapter. A copy takes 250 ms, and its effect on the queues
/// shows some time after.
const COPY_INTERVAL: Duration = Duration::from_millis(600);

/// How often orders for one load are tried that come back without an answer.
const ORDERS_TRIED: usize = 3;

type Waiting = HashMap<Wanted, Vec<oneshot::Sender<Loaded>>>;

/// Brings adapters into engines.
pub(crate) struct Loader {
    pub(crate) knowledge: Rc<Knowledge>,
    waiting: RefCell<Waiting>,
    /// When copies of each adapter were last begun.
    last_copies: RefCell<HashMap<ModelRef, Instant>>,
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
            last_copies: RefCell::default(),
        }
    }

    /// Starts to bring what is wanted, or joins those who wait for the same.
    fn take(self: &Rc<Self>, want: Want) {
        if want.copies > 1 || want.ready.is_closed() {
            return self.bring_copies(want);
        }
        let key = want.wanted.clone();
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&key) {
            waiting.push(want.ready);
            return;
        }
        self.waiting
            .borrow_mut()
            .insert(key.clone(), vec![want.ready]);
        let this = Rc::clone(self);
        spawn_local(async move {
            let loaded = this.bring(&want.wanted, want.engines).await;
            let waiting = this.waiting.borrow_mut().remove(&key);
            for ready in waiting.into_iter().flatten() {
                // Whoever gave up meanwhile needs no answer.
                let _ = ready.send(loaded.clone());
            }
        });
    }

    /// Starts to bring copies that nobody waits for.
    fn bring_copies(self: &Rc<Self>, want: Want) {
        let mut last_copies = self.last_copies.borrow_mut();
        last_copies.retain(|_, at| at.elapsed() < COPY_INTERVAL);
        let wanted = want.wanted;
        if last_copies.contains_key(&wanted.model) {
            return;
        }
        last_copies.insert(wanted.model.clone(), Instant::now());
        let ranked = self.ranked(&wanted.model, want.engines);
        for place in ranked.into_iter().take(want.copies) {
            let (this, wanted) = (Rc::clone(self), wanted.clone());
            spawn_local(async move { this.bring(&wanted, vec![place]).await });
        }
    }

    async fn bring(&self, wanted: &Wanted, engines: Vec<LoadPlace>) -> Loaded {
        let ranked = self.ranked(&wanted.model, engines);
        for place in ranked.into_iter().take(ENGINES_TRIED) {
            let engine = &place.engine;
            let loaded = match self.knowledge.owned(engine) {
                Some(owned) => self.load_here(&owned, wanted, place.is_recent).await,
                None => self.ask_owner(&place, wanted).await,
            };
            match loaded {
                Ok(holdings) => return Some((place.engine, holdings)),
                Err(failure) => {
                    self.knowledge.shared.metrics.load(failure.to_string());
                    log_event!(
                        self.knowledge.log, Event::LoadFailed,
                        "upstream" => engine.to_string(), "model" => wanted.model.to_string(),
                        "version" => wanted.version, "why" => failure.to_string()
                    );
                }
            }
        }
        None
    }

    /// Engines with an owner, the one that is to take `model` in front.
    ///
    /// Two nodes may miss one adapter at the same time, long before either hears of the other's
    /// load. Among engines that would answer about as soon, the order comes from a hash that is the
    /// same everywhere, so both ask one owner, who loads it once.
    fn ranked(&self, model: &ModelRef, mut engines: Vec<LoadPlace>) -> Vec<LoadPlace> {
        engines.retain(|place| self.is_reachable(&place.engine));
        let least_ms = engines.iter().map(|place| place.wait_ms);
        let least_ms = least_ms.fold(f64::INFINITY, f64::min);
        engines.sort_by_cached_key(|place| {
            let steps = ((place.wait_ms - least_ms) / ABOUT_AS_SOON_MS) as u64;
            let hash = xxh3_64(format!("{model} {}", place.engine).as_bytes());
            (steps, hash)
        });
        engines
    }

    /// Whether the engine's owner is known.
    fn is_reachable(&self, engine: &UpstreamId) -> bool {
        let owners = self.knowledge.owners.borrow();
        let nodes = self.knowledge.nodes.borrow();
        let heard = self.knowledge.heard.borrow();
        // In a large fleet only owners of engines in use are heard; the others may still answer.
        let tells_all = nodes.len() <= FULL_EXCHANGE_NODES;
        let is_heard = |node: &NodeId| heard.get(node).is_some_and(|at| at.elapsed() < HEARD_SPAN);
        let is_known = |owner: &Owner| {
            nodes.contains_key(&owner.node) && (!tells_all || is_heard(&owner.node))
        };
        self.knowledge.owned(engine).is_some() || owners.get(engine).is_some_and(is_known)
    }

    async fn ask_owner(&self, place: &LoadPlace, wanted: &Wanted) -> Result<Holdings, LoadFailure> {
        let address = self.owner_address(&place.engine);
        let address = address.ok_or(LoadFailure::NoOwnerAnswer)?;
        let ask = LoadAsk {
            engine: place.engine.clone(),
            wanted: wanted.clone(),
            is_recent: place.is_recent,
        };
        ask.send(&self.knowledge, address, ASK_LIMIT).await
    }

    fn owner_address(&self, engine: &UpstreamId) -> Option<SocketAddr> {
        let owner = self.knowledge.owners.borrow().get(engine)?.node.clone();
        Some(self.knowledge.nodes.borrow().get(&owner)?.address)
    }

    /// Brings an adapter into an engine that this node owns; returns once it is there.
    ///
    /// A load that took its usual time is taken as finished before a report shows it: reports lag by
    /// up to a third of the shortest latency objective, and an engine that needs longer turns the
    /// request away unrun.
    pub(crate) async fn load_here(
        &self,
        engine: &Rc<OwnedEngine>,
        wanted: &Wanted,
        is_recent: bool,
    ) -> Result<Holdings, LoadFailure> {
        let (model, version) = (&wanted.model, wanted.version);
        let limit = tokio::time::Instant::now() + LOAD_LIMIT;
        if !engine.holds(model, version) && !engine.awaits(model, version) {
            let load = LoadKind::of(is_recent);
            self.begin_load(engine, wanted, load, limit).await?;
        }
        follow_loads(Rc::clone(&self.knowledge), Rc::clone(engine));
        while !engine.holds(model, version) {
            let load = engine.load_of(model).ok_or(LoadFailure::Unfinished)?;
            let finished = self.knowledge.expected_at(&load);
            if !wanted.was_turned_away && Instant::now() >= finished {
                return presumed(engine, wanted);
            }
            let until = if wanted.was_turned_away {
                limit
            } else {
                limit.min(finished.into())
            };
            let changed = tokio::time::timeout_at(until, engine.changed.notified());
            if changed.await.is_err() && tokio::time::Instant::now() >= limit {
                return Err(LoadFailure::Unfinished);
            }
        }
        Ok(engine.holdings())
    }

    /// Orders a load in its turn. Those from the weight store go one after the other; what the
    /// engine brings back from its own memory passes them by.
    async fn begin_load(
        &self,
        engine: &OwnedEngine,
        wanted: &Wanted,
        load: LoadKind,
        limit: tokio::time::Instant,
    ) -> Result<(), LoadFailure> {
        if engine.is_changing_model() {
            // Its base models come and go; it takes no other orders meanwhile.
            return Err(LoadFailure::Blocked);
        }
        self.check_purpose(wanted, load)?;
        let (model, version) = (&wanted.model, wanted.version);
        let _place = engine
            .queue(model, QUEUE_LIMIT)
            .ok_or(LoadFailure::QueueFull)?;
        let _turn = match load {
            LoadKind::FromStore => {
                let turn = engine.turn.lock().await;
                self.wait_for_transfer(engine, limit).await?;
                self.check_purpose(wanted, load)?;
                Some(turn)
            }
            LoadKind::Recent => None,
        };
        let _orders = engine.orders.lock().await;
        if engine.holds(model, version) || engine.awaits(model, version) {
            return Ok(());
        }
        self.order_load(engine, model, version, load).await
    }

    /// Refuses a copy while the weight store is busy.
    fn check_purpose(&self, wanted: &Wanted, load: LoadKind) -> Result<(), LoadFailure> {
        let is_store_copy = wanted.purpose == LoadPurpose::Copy && load == LoadKind::FromStore;
        let times = self.knowledge.load_times.get();
        if is_store_copy && !times.has_room_for_copy(self.knowledge.loads_under_way()) {
            return Err(LoadFailure::LeftToMisses);
        }
        Ok(())
    }

    /// Waits until `engine` may begin another load from the weight store.
    async fn wait_for_transfer(
        &self,
        engine: &OwnedEngine,
        limit: tokio::time::Instant,
    ) -> Result<(), LoadFailure> {
        while !self.has_room(engine) {
            let until = limit.min(tokio::time::Instant::now() + ROOM_INTERVAL);
            let changed = tokio::time::timeout_at(until, engine.changed.notified());
            if changed.await.is_err() && tokio::time::Instant::now() >= limit {
                return Err(LoadFailure::Unfinished);
            }
        }
        Ok(())
    }

    fn has_room(&self, engine: &OwnedEngine) -> bool {
        let times = self.knowledge.load_times.get();
        let under_way = self.knowledge.transfers_at(engine);
        engine.count_transfers(|_| true) < TRANSFERS_LIMIT
            && times.has_room(under_way, self.knowledge.loads_under_way())
    }

    /// Orders a load, with the eviction that it needs.
    async fn order_load(
        &self,
        engine: &OwnedEngine,
        model: &ModelRef,
        version: Option<u64>,
        load: LoadKind,
    ) -> Result<(), LoadFailure> {
        let upstream = self.knowledge.upstream(&engine.id);
        let upstream = upstream.ok_or(LoadFailure::EngineGone)?;
        if engine.is_blocked() {
            return Err(LoadFailure::Blocked);
        }
        if self.knowledge.is_in_use(engine, model) {
            // A version that is replaced waits for its requests, and with it all further orders.
            return Err(LoadFailure::OlderInUse);
        }
        for _ in 0..ORDERS_TRIED {
            let fence = self.ready_for_orders(engine).await?;
            let plan = self.plan(engine, &upstream, model, version)?;
            match self.carry_out(engine, &upstream, plan, load, fence).await {
                Err(LoadFailure::NoAnswer) => {}
                done => return done,
            }
        }
        Err(LoadFailure::NoAnswer)
    }

    /// Makes sure that `engine` may be given orders and that its count of orders is known.
    async fn ready_for_orders(&self, engine: &OwnedEngine) -> Result<u64, LoadFailure> {
        let fence = self.knowledge.permit(engine).await;
        let fence = fence.ok_or(LoadFailure::NotPermitted)?;
        let is_known = engine.order_seq().is_some() && !engine.holdings().models.is_empty();
        if !is_known || engine.leaving_count() > 0 {
            let report = self.knowledge.read_report(engine).await;
            report.ok_or(LoadFailure::NoReport)?;
        }
        match engine.leaving_count() {
            0 => Ok(fence),
            // It takes no other order until an adapter in use has gone.
            _ => Err(LoadFailure::Blocked),
        }
    }

    async fn carry_out(
        &self,
        engine: &OwnedEngine,
        upstream: &Upstream,
        plan: LoadPlan,
        load: LoadKind,
        fence: u64,
    ) -> Result<(), LoadFailure> {
        for step in plan.steps {
            let order = match &step {
                LoadStep::Unload(victim) => OrderStep::Unload(victim.clone()),
                LoadStep::Load(model, version) => OrderStep::Load(model.clone(), *version),
            };
            let answer = self.knowledge.order(engine, upstream, order, fence).await;
            match (answer.ok_or(LoadFailure::NoAnswer)?, step) {
                (OrderAnswer::Accepted, LoadStep::Load(model, version)) => {
                    let under_way = self.knowledge.loads_under_way() + 1.0;
                    engine.load_ordered(model, version, load, under_way);
                }
                (OrderAnswer::Done, LoadStep::Load(..)) => engine.doubt(),
                (OrderAnswer::Done, LoadStep::Unload(victim)) => engine.unloaded(&victim, true),
                (OrderAnswer::Accepted, LoadStep::Unload(victim)) => {
                    // Another node uses it: it goes later, so its room is not free yet.
                    engine.unloaded(&victim, false);
                    return Err(LoadFailure::Blocked);
                }
                (OrderAnswer::Conflict, _) => {
                    engine.block();
                    return Err(LoadFailure::Blocked);
                }
                (OrderAnswer::Fenced | OrderAnswer::Refused, _) => {
                    return Err(LoadFailure::Refused);
                }
            }
        }
        Ok(())
    }

    fn plan(
        &self,
        engine: &OwnedEngine,
        upstream: &Upstream,
        model: &ModelRef,
        version: Option<u64>,
    ) -> Result<LoadPlan, LoadFailure> {
        let knowledge = &self.knowledge;
        let holdings = engine.holdings();
        let service = knowledge.service(&upstream.service);
        let spec = service.as_ref().and_then(|service| service.engine.as_ref());
        let spec = spec.ok_or(LoadFailure::EngineGone)?;
        let room = Room {
            adapter_slots: spec.adapters_beside(&holdings),
            transfers: TRANSFERS_LIMIT,
        };
        let is_in_use = |adapter: &ModelRef| self.knowledge.is_in_use(engine, adapter);
        let demand = knowledge.demand.borrow();
        let coming = engine.coming();
        let contents = EngineContents {
            holdings: &holdings,
            coming: &coming,
            transfers: engine.count_transfers(|_| true),
            room,
            demand: &demand,
            is_in_use: &is_in_use,
        };
        let plan = plan_load(model, version, &contents, Instant::now());
        Ok(plan?)
    }
}

/// What `engine` holds, with an adapter that is taken to be there.
fn presumed(engine: &OwnedEngine, wanted: &Wanted) -> Result<Holdings, LoadFailure> {
    let mut holdings = engine.holdings();
    let mut models = holdings.models.iter_mut();
    let model = models.find(|held| held.name == wanted.model.model);
    let model = model.ok_or(LoadFailure::Unfinished)?;
    if let Some(name) = wanted.model.adapter.clone() {
        let version = wanted.version.unwrap_or(HeldAdapter::UNSTATED_VERSION);
        model.adapters.push(HeldAdapter { name, version });
    }
    Ok(holdings)
}
