//! Loads adapters into engines that this node owns.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_relay::{
    EngineCapacity, EngineContents, HeldAdapter, Holdings, LoadDecision, LoadPlan, LoadSource,
    LoadStep, LoadTicket, WaitingLoad, WeightStoreLoads,
};

use super::control_state::ControlState;
use super::engine::{EarlyUse, OwnedEngine, QueueEntry};
use super::load_failure::LoadFailure;
use super::poll_loads::{LOAD_TIMEOUT, poll_loads};
use crate::shared::LoadSpec;
use crate::{OrderAnswer, OrderStep};

/// Adapter loads from the weight store that an engine accepts at once. Fewer are ordered at a time;
/// the remainder covers loads that have finished but are not yet reported.
const MAX_TRANSFERS: usize = 4;

/// How often a queued load checks whether it may start, in addition to each change at its engine.
/// Other nodes report their requests every 100 ms.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// How many orders are sent for one load if they get no answer.
const MAX_ORDER_TRIES: usize = 3;

/// Loads an adapter into an engine that this node owns; returns once it is loaded.
///
/// A load is assumed to be finished after its usual time, before a report confirms it: reports lag
/// by up to a third of the shortest latency objective. An engine that needs longer returns the
/// request without running it.
pub(crate) async fn load_into_owned(
    control: &Rc<ControlState>,
    engine: &Rc<OwnedEngine>,
    wanted: &LoadSpec,
    is_recent: bool,
) -> Result<Holdings, LoadFailure> {
    let (model, version) = (&wanted.model, wanted.version);
    let deadline = tokio::time::Instant::now() + LOAD_TIMEOUT;
    if !engine.holds_or_is_loading(model, version) {
        let load = WaitingLoad {
            model: model.clone(),
            version,
            kind: LoadSource::of(is_recent),
            purpose: wanted.purpose,
            priority: wanted.priority,
        };
        let queued = QueuedLoad {
            control,
            engine,
            deadline,
        };
        queued.run(&load).await?;
    }
    if wanted.was_turned_away {
        control.record_early_use(engine, model, EarlyUse::ReturnedUnserved);
    }
    poll_loads(Rc::clone(control), Rc::clone(engine));
    while !engine.holds(model, version) {
        let load = engine.pending_load(model).ok_or(LoadFailure::Unfinished)?;
        let expected_finish = control.expected_finish(&load);
        if !wanted.was_turned_away && Instant::now() >= expected_finish {
            control.record_early_use(engine, model, EarlyUse::Sent);
            return assume_loaded(engine, wanted);
        }
        let until = if wanted.was_turned_away {
            deadline
        } else {
            deadline.min(expected_finish.into())
        };
        let changed = tokio::time::timeout_at(until, engine.changed.notified());
        if changed.await.is_err() && tokio::time::Instant::now() >= deadline {
            return Err(LoadFailure::Unfinished);
        }
    }
    Ok(engine.holdings())
}

/// Orders one load at an owned engine when its turn comes.
struct QueuedLoad<'a> {
    control: &'a ControlState,
    engine: &'a OwnedEngine,
    deadline: tokio::time::Instant,
}

impl QueuedLoad<'_> {
    /// Queues `load` and orders it in its turn.
    async fn run(&self, load: &WaitingLoad) -> Result<(), LoadFailure> {
        if self.engine.is_changing_model() {
            // The engine takes no other orders while its base models change.
            return Err(LoadFailure::Blocked);
        }
        let entry = self.engine.enqueue(load.clone())?;
        let mut tries_left = MAX_ORDER_TRIES;
        while tries_left > 0 {
            self.wait_for_turn(&entry).await?;
            let _order_guard = self.engine.order_lock.lock().await;
            if self.engine.holds_or_is_loading(&load.model, load.version) {
                return Ok(());
            }
            let fence = self.prepare_order(load).await?;
            // Decide again, as the engine's state may have changed while this task waited for the
            // lock.
            let plan = match self.turn(entry.ticket)? {
                LoadDecision::Order(plan) => plan,
                LoadDecision::NotNeeded => return Ok(()),
                LoadDecision::Wait => continue,
                LoadDecision::Refuse(why) => return Err(why.into()),
            };
            match self.execute(plan, load.kind, fence).await {
                Err(LoadFailure::NoAnswer) => tries_left -= 1,
                done => return done,
            }
        }
        Err(LoadFailure::NoAnswer)
    }

    /// Waits until the load may be ordered.
    async fn wait_for_turn(&self, entry: &QueueEntry<'_>) -> Result<(), LoadFailure> {
        if self.engine.holdings_version() == 0 {
            // The report is read before the order, and decides.
            return Ok(());
        }
        loop {
            match self.turn(entry.ticket)? {
                LoadDecision::Order(_) | LoadDecision::NotNeeded => return Ok(()),
                LoadDecision::Refuse(why) => return Err(why.into()),
                LoadDecision::Wait => {}
            }
            let until = self
                .deadline
                .min(tokio::time::Instant::now() + QUEUE_CHECK_INTERVAL);
            let changed = tokio::time::timeout_at(until, self.engine.changed.notified());
            if changed.await.is_err() && tokio::time::Instant::now() >= self.deadline {
                return Err(LoadFailure::Unfinished);
            }
        }
    }

    /// Decides what the load does next, by the current state.
    fn turn(&self, ticket: LoadTicket) -> Result<LoadDecision, LoadFailure> {
        let (control, engine) = (self.control, self.engine);
        let upstream = control.upstream(&engine.id);
        let upstream = upstream.ok_or(LoadFailure::EngineGone)?;
        let service = control.service(&upstream.service);
        let spec = service.as_ref().and_then(|service| service.engine.as_ref());
        let spec = spec.ok_or(LoadFailure::EngineGone)?;
        let holdings = engine.holdings();
        let loading = engine.loading_models();
        let is_in_use = |adapter: &_| control.is_in_use(engine, adapter);
        let demand = control.demand.borrow();
        let contents = EngineContents {
            holdings: &holdings,
            loading: &loading,
            transfers: engine.count_transfers(|_| true),
            room: EngineCapacity {
                adapter_slots: spec.adapters_beside(&holdings),
                transfers: MAX_TRANSFERS,
            },
            demand: &demand,
            is_in_use: &is_in_use,
        };
        let store = WeightStoreLoads {
            times: control.load_times.get(),
            engine_loads: control.transfers_in_progress(engine),
            fleet_loads: control.loads_in_progress(),
        };
        Ok(engine.turn(ticket, &contents, &store))
    }

    /// Checks that the engine may be given orders and that its order sequence number is known;
    /// returns the fencing token.
    async fn prepare_order(&self, load: &WaitingLoad) -> Result<u64, LoadFailure> {
        let (control, engine) = (self.control, self.engine);
        if engine.is_blocked() {
            return Err(LoadFailure::Blocked);
        }
        if control.is_in_use(engine, &load.model) {
            // Replacing a version in use blocks all further orders until its requests have ended.
            return Err(LoadFailure::OlderInUse);
        }
        let fence = control.order_fencing_token(engine).await;
        let fence = fence.ok_or(LoadFailure::NotPermitted)?;
        let is_known = engine.order_seq().is_some() && !engine.holdings().models.is_empty();
        if !is_known || engine.unloading_count() > 0 {
            let report = control.read_report(engine).await;
            report.ok_or(LoadFailure::NoReport)?;
        }
        match engine.unloading_count() {
            0 => Ok(fence),
            // The engine takes no other order until the adapter's requests have ended and it is
            // unloaded.
            _ => Err(LoadFailure::Blocked),
        }
    }

    async fn execute(
        &self,
        plan: LoadPlan,
        kind: LoadSource,
        fence: u64,
    ) -> Result<(), LoadFailure> {
        let (control, engine) = (self.control, self.engine);
        let upstream = control.upstream(&engine.id);
        let upstream = upstream.ok_or(LoadFailure::EngineGone)?;
        for step in plan.steps {
            let order = match &step {
                LoadStep::Unload(model) => OrderStep::Unload(model.clone()),
                LoadStep::Load(model, version) => OrderStep::Load(model.clone(), *version),
            };
            let answer = control.order(engine, &upstream, order, fence).await;
            match (answer.ok_or(LoadFailure::NoAnswer)?, step) {
                (OrderAnswer::Accepted, LoadStep::Load(model, version)) => {
                    let loads_in_progress = control.loads_in_progress() + 1.0;
                    engine.record_load(model, version, kind, loads_in_progress);
                }
                (OrderAnswer::Done, LoadStep::Load(..)) => engine.forget_order_seq(),
                (OrderAnswer::Done, LoadStep::Unload(model)) => engine.record_unload(&model, true),
                (OrderAnswer::Accepted, LoadStep::Unload(model)) => {
                    // Another node uses the adapter, so it is unloaded later and its slot is not
                    // free yet.
                    engine.record_unload(&model, false);
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
fn assume_loaded(engine: &OwnedEngine, wanted: &LoadSpec) -> Result<Holdings, LoadFailure> {
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
