//! Loads adapters into engines that this node owns.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_relay::{
    EngineContents, HeldAdapter, Holdings, LoadKind, LoadPlan, LoadStep, LoadTicket, LoadTurn,
    Room, StoreUse, WaitingLoad,
};

use super::engine::{OwnedEngine, QueuePlace, Reliance};
use super::follow_loads::{LOAD_LIMIT, follow_loads};
use super::knowledge::Knowledge;
use super::load_failure::LoadFailure;
use crate::shared::Wanted;
use crate::{OrderAnswer, OrderStep};

/// Adapter loads from the weight store that an engine accepts at once. Fewer are ordered at a time;
/// the remainder covers loads that have finished but are not yet reported.
const TRANSFERS_LIMIT: usize = 4;

/// How often a queued load checks whether it may start, in addition to each change at its engine.
/// Other nodes report their requests every 100 ms.
const TURN_INTERVAL: Duration = Duration::from_millis(30);

/// How many orders are sent for one load if they get no answer.
const ORDERS_TRIED: usize = 3;

/// Loads an adapter into an engine that this node owns; returns once it is loaded.
///
/// A load is assumed to be finished after its usual time, before a report confirms it: reports lag
/// by up to a third of the shortest latency objective. An engine that needs longer returns the
/// request without running it.
pub(crate) async fn load_here(
    knowledge: &Rc<Knowledge>,
    engine: &Rc<OwnedEngine>,
    wanted: &Wanted,
    is_recent: bool,
) -> Result<Holdings, LoadFailure> {
    let (model, version) = (&wanted.model, wanted.version);
    let limit = tokio::time::Instant::now() + LOAD_LIMIT;
    if !engine.holds_or_awaits(model, version) {
        let waiting = WaitingLoad {
            model: model.clone(),
            version,
            kind: LoadKind::of(is_recent),
            purpose: wanted.purpose,
            priority: wanted.priority,
        };
        let waits = WaitingOrder {
            knowledge,
            engine,
            limit,
        };
        waits.begin(&waiting).await?;
    }
    if wanted.was_turned_away {
        knowledge.note_reliance(engine, model, Reliance::TooEarly);
    }
    follow_loads(Rc::clone(knowledge), Rc::clone(engine));
    while !engine.holds(model, version) {
        let load = engine.load_of(model).ok_or(LoadFailure::Unfinished)?;
        let finished = knowledge.expected_at(&load);
        if !wanted.was_turned_away && Instant::now() >= finished {
            knowledge.note_reliance(engine, model, Reliance::Relied);
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

/// Orders one load at an owned engine when its turn comes.
struct WaitingOrder<'a> {
    knowledge: &'a Knowledge,
    engine: &'a OwnedEngine,
    limit: tokio::time::Instant,
}

impl WaitingOrder<'_> {
    /// Queues `load` and orders it in its turn.
    async fn begin(&self, load: &WaitingLoad) -> Result<(), LoadFailure> {
        if self.engine.is_changing_model() {
            // The engine takes no other orders while its base models change.
            return Err(LoadFailure::Blocked);
        }
        let place = self.engine.queue(load.clone())?;
        let mut tries = ORDERS_TRIED;
        while tries > 0 {
            self.wait_for_turn(&place).await?;
            let _orders = self.engine.orders.lock().await;
            if self.engine.holds_or_awaits(&load.model, load.version) {
                return Ok(());
            }
            let fence = self.ready_for_orders(load).await?;
            // Decide again, as the engine's state may have changed while this task waited for the
            // lock.
            let plan = match self.turn(place.ticket)? {
                LoadTurn::Order(plan) => plan,
                LoadTurn::NotNeeded => return Ok(()),
                LoadTurn::Wait => continue,
                LoadTurn::Refuse(why) => return Err(why.into()),
            };
            match self.carry_out(plan, load.kind, fence).await {
                Err(LoadFailure::NoAnswer) => tries -= 1,
                done => return done,
            }
        }
        Err(LoadFailure::NoAnswer)
    }

    /// Waits until the load may be ordered.
    async fn wait_for_turn(&self, place: &QueuePlace<'_>) -> Result<(), LoadFailure> {
        loop {
            match self.turn(place.ticket)? {
                LoadTurn::Order(_) | LoadTurn::NotNeeded => return Ok(()),
                LoadTurn::Refuse(why) => return Err(why.into()),
                LoadTurn::Wait => {}
            }
            let until = self.limit.min(tokio::time::Instant::now() + TURN_INTERVAL);
            let changed = tokio::time::timeout_at(until, self.engine.changed.notified());
            if changed.await.is_err() && tokio::time::Instant::now() >= self.limit {
                return Err(LoadFailure::Unfinished);
            }
        }
    }

    /// Decides what the load does next, by the current state.
    fn turn(&self, ticket: LoadTicket) -> Result<LoadTurn, LoadFailure> {
        let (knowledge, engine) = (self.knowledge, self.engine);
        let upstream = knowledge.upstream(&engine.id);
        let upstream = upstream.ok_or(LoadFailure::EngineGone)?;
        let service = knowledge.service(&upstream.service);
        let spec = service.as_ref().and_then(|service| service.engine.as_ref());
        let spec = spec.ok_or(LoadFailure::EngineGone)?;
        let holdings = engine.holdings();
        let coming = engine.coming();
        let is_in_use = |adapter: &_| knowledge.is_in_use(engine, adapter);
        let demand = knowledge.demand.borrow();
        let contents = EngineContents {
            holdings: &holdings,
            coming: &coming,
            transfers: engine.count_transfers(|_| true),
            room: Room {
                adapter_slots: spec.adapters_beside(&holdings),
                transfers: TRANSFERS_LIMIT,
            },
            demand: &demand,
            is_in_use: &is_in_use,
        };
        let store = StoreUse {
            times: knowledge.load_times.get(),
            at_engine: knowledge.transfers_at(engine),
            over_all: knowledge.loads_under_way(),
        };
        Ok(engine.turn(ticket, &contents, &store))
    }

    /// Checks that the engine may be given orders and that its order sequence number is known;
    /// returns the fencing token.
    async fn ready_for_orders(&self, load: &WaitingLoad) -> Result<u64, LoadFailure> {
        let (knowledge, engine) = (self.knowledge, self.engine);
        if engine.is_blocked() {
            return Err(LoadFailure::Blocked);
        }
        if knowledge.is_in_use(engine, &load.model) {
            // Replacing a version in use blocks all further orders until its requests have ended.
            return Err(LoadFailure::OlderInUse);
        }
        let fence = knowledge.permit(engine).await;
        let fence = fence.ok_or(LoadFailure::NotPermitted)?;
        let is_known = engine.order_seq().is_some() && !engine.holdings().models.is_empty();
        if !is_known || engine.leaving_count() > 0 {
            let report = knowledge.read_report(engine).await;
            report.ok_or(LoadFailure::NoReport)?;
        }
        match engine.leaving_count() {
            0 => Ok(fence),
            // The engine takes no other order until the adapter's requests have ended and it is
            // unloaded.
            _ => Err(LoadFailure::Blocked),
        }
    }

    async fn carry_out(
        &self,
        plan: LoadPlan,
        kind: LoadKind,
        fence: u64,
    ) -> Result<(), LoadFailure> {
        let (knowledge, engine) = (self.knowledge, self.engine);
        let upstream = knowledge.upstream(&engine.id);
        let upstream = upstream.ok_or(LoadFailure::EngineGone)?;
        for step in plan.steps {
            let order = match &step {
                LoadStep::Unload(victim) => OrderStep::Unload(victim.clone()),
                LoadStep::Load(model, version) => OrderStep::Load(model.clone(), *version),
            };
            let answer = knowledge.order(engine, &upstream, order, fence).await;
            match (answer.ok_or(LoadFailure::NoAnswer)?, step) {
                (OrderAnswer::Accepted, LoadStep::Load(model, version)) => {
                    let under_way = knowledge.loads_under_way() + 1.0;
                    engine.load_ordered(model, version, kind, under_way);
                }
                (OrderAnswer::Done, LoadStep::Load(..)) => engine.doubt(),
                (OrderAnswer::Done, LoadStep::Unload(victim)) => engine.unloaded(&victim, true),
                (OrderAnswer::Accepted, LoadStep::Unload(victim)) => {
                    // Another node uses the adapter, so it is unloaded later and its slot is not
                    // free yet.
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
}

/// The holdings of `engine` with the adapter added that is assumed to be loaded.
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
