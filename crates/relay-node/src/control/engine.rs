//! The state that an owner keeps for one of its engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{
    AdapterMove, EngineContents, EngineDemand, Holdings, LoadKind, LoadQueue, LoadRefusal,
    LoadTicket, LoadTurn, ModelChange, ModelDigest, ModelRef, Ownership, StoreUse, WaitingLoad,
};
use tokio::sync::{Mutex, Notify};

use super::exchange::EngineUseTold;
use crate::EngineState;

/// Whether requests were sent to a pending load's engine before a report confirmed the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Reliance {
    /// No request was sent.
    #[default]
    None,
    /// Requests were sent.
    Relied,
    /// The engine returned one of those requests because the load had not finished.
    TooEarly,
}

/// An adapter or base model whose load was ordered and not yet reported as finished.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Coming {
    pub(crate) model: ModelRef,
    pub(crate) version: Option<u64>,
    pub(crate) load: LoadKind,
    /// Loads from the weight store in progress over all engines when this one was ordered,
    /// including this one.
    pub(crate) under_way: f64,
    /// When the engine accepted the order.
    pub(crate) since: Instant,
    /// The engine's order sequence number after accepting this order.
    pub(crate) order_seq: u64,
    /// Whether requests were sent before a report confirmed the load, and whether one was returned
    /// unserved.
    pub(crate) reliance: Reliance,
}

/// An engine that this node owns.
#[derive(Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) id: UpstreamId,
    pub(crate) ownership: RefCell<Ownership>,
    /// Demand for the engine's adapters from all nodes.
    pub(crate) demand: RefCell<EngineDemand>,
    /// Whether the store watch has delivered the owner key that this node wrote. Only after that
    /// does the watch also deliver the key's removal.
    pub(crate) is_watched: Cell<bool>,
    /// Held while loads and unloads are ordered, so that two loads don't claim the same free
    /// adapter slot.
    pub(crate) orders: Mutex<()>,
    /// Notifies waiting loads that the holdings or the queue changed.
    pub(crate) changed: Notify,
    /// Whether a task is polling reports until the pending loads finish.
    pub(crate) is_followed: Cell<bool>,
    /// The base model change in progress.
    pub(super) change: RefCell<Option<ModelChange>>,
    /// When a base model was last ordered from the weight store.
    pub(super) store_used: Cell<Option<Instant>>,
    /// The number of adapters that could be loaded, as last computed.
    room: Cell<u8>,
    /// Loads that wait to be ordered.
    queue: RefCell<LoadQueue>,
    pub(super) state: RefCell<State>,
}

/// A load's entry in the queue; dropping it removes the load from the queue.
pub(crate) struct QueuePlace<'a> {
    engine: &'a OwnedEngine,
    pub(crate) ticket: LoadTicket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.engine.queue.borrow_mut().leave(self.ticket);
        self.engine.changed.notify_waiters();
    }
}

impl Coming {
    /// Whether this is an adapter load from the weight store. Loads of base models have a separate
    /// rate limit.
    pub(crate) fn is_transfer(&self) -> bool {
        self.load == LoadKind::FromStore && self.model.adapter.is_some()
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct State {
    /// The number of orders that the engine has accepted; `None` if unknown: before the first
    /// report, and after an order whose effect on it is unclear.
    order_seq: Option<u64>,
    pub(super) holdings: Holdings,
    /// Version number of the holdings, incremented with each change; 0 until they were read.
    change: u64,
    pub(super) coming: Vec<Coming>,
    /// Adapters that were recently loaded or unloaded.
    moved: Vec<(AdapterMove, Instant)>,
    /// Models that the engine unloads once their requests have ended.
    pub(super) leaving: Vec<ModelRef>,
    /// The engine refused an order and gets no further ones until this time.
    blocked_until: Option<Instant>,
    /// What each other node has in flight at the engine.
    elsewhere: HashMap<NodeId, UseElsewhere>,
}

impl State {
    fn note_move(&mut self, model: &ModelRef, is_held: bool) {
        let model = model.digest();
        self.moved
            .retain(|(moved, at)| moved.model != model && at.elapsed() < MOVE_TOLD);
        let moved = AdapterMove { model, is_held };
        self.moved.push((moved, Instant::now()));
    }

    /// Adds loads that the report shows and this process did not order: they were ordered by an
    /// earlier process of this node, or by an order whose answer was lost. Without them their
    /// adapter slots would look free, and an engine that is ordered to hold more than fits crashes
    /// with all its requests.
    fn adopt_coming(&mut self, report: &EngineState) {
        for model in &report.coming {
            if !self.coming.iter().any(|known| known.model == *model) {
                self.coming.push(Coming {
                    model: model.clone(),
                    version: None,
                    load: LoadKind::FromStore,
                    under_way: 0.0,
                    since: Instant::now(),
                    order_seq: report.order_seq,
                    reliance: Reliance::default(),
                });
            }
        }
    }
}

/// What another node has in flight at an engine.
#[derive(Clone, Debug)]
struct UseElsewhere {
    in_flight: u32,
    unread_tokens: u64,
    models: Vec<(ModelRef, u32)>,
    told: Instant,
}

impl UseElsewhere {
    fn in_flight_for(&self, model: &ModelRef) -> u32 {
        if self.told.elapsed() >= USE_LIFE {
            return 0;
        }
        let mut models = self.models.iter();
        let found = models.find(|(used, _)| used == model);
        found.map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// How long an engine that refused an order gets no further one. While it waits to unload an
/// adapter in use it refuses all orders, until the adapter's last request ends some seconds later.
const BLOCKED_SPAN: Duration = Duration::from_millis(250);

/// How long a load or unload is repeated in status messages: ten of them within the failure domain
/// and two to other domains, so that a lost datagram does not matter.
const MOVE_TOLD: Duration = Duration::from_millis(1_000);

/// How long another node's usage report is valid. A node sends ten reports in this time.
const USE_LIFE: Duration = Duration::from_millis(1_000);

impl OwnedEngine {
    pub(crate) fn new(id: UpstreamId, ownership: Ownership) -> Self {
        Self {
            id,
            ownership: RefCell::new(ownership),
            demand: RefCell::default(),
            is_watched: Cell::new(false),
            orders: Mutex::new(()),
            changed: Notify::new(),
            is_followed: Cell::new(false),
            change: RefCell::default(),
            room: Cell::new(0),
            store_used: Cell::new(None),
            queue: RefCell::default(),
            state: RefCell::default(),
        }
    }

    /// The number of orders that the engine has accepted, if known.
    pub(crate) fn order_seq(&self) -> Option<u64> {
        self.state.borrow().order_seq
    }

    /// The models and adapters that the engine holds.
    pub(crate) fn holdings(&self) -> Holdings {
        self.state.borrow().holdings.clone()
    }

    /// Version number of the holdings; 0 if they were never read.
    pub(crate) fn change(&self) -> u64 {
        self.state.borrow().change
    }

    /// The holdings, if their version number differs from `known`.
    pub(crate) fn holdings_since(&self, known: u64) -> Option<Holdings> {
        let state = self.state.borrow();
        (state.change != known).then(|| state.holdings.clone())
    }

    /// Models and adapters that are being loaded.
    pub(crate) fn coming(&self) -> Vec<ModelRef> {
        let state = self.state.borrow();
        state
            .coming
            .iter()
            .map(|coming| coming.model.clone())
            .collect()
    }

    /// Queues `load` until the returned entry is dropped.
    pub(crate) fn queue(&self, load: WaitingLoad) -> Result<QueuePlace<'_>, LoadRefusal> {
        let ticket = self.queue.borrow_mut().join(load)?;
        Ok(QueuePlace {
            engine: self,
            ticket,
        })
    }

    /// Decides what the queued load of `ticket` does next.
    pub(crate) fn turn(
        &self,
        ticket: LoadTicket,
        contents: &EngineContents<'_>,
        store: &StoreUse,
    ) -> LoadTurn {
        let queue = self.queue.borrow();
        queue.turn(ticket, contents, store, Instant::now())
    }

    /// The number of pending loads.
    pub(crate) fn coming_count(&self) -> u32 {
        u32::try_from(self.state.borrow().coming.len()).unwrap_or(u32::MAX)
    }

    /// Adapters that are being loaded or are queued.
    pub(crate) fn loads_ahead(&self) -> Vec<ModelDigest> {
        let (state, queue) = (self.state.borrow(), self.queue.borrow());
        let coming = state.coming.iter().map(|coming| &coming.model);
        coming.chain(queue.models()).map(ModelRef::digest).collect()
    }

    /// The pending load of `model`.
    pub(crate) fn load_of(&self, model: &ModelRef) -> Option<Coming> {
        let state = self.state.borrow();
        let mut coming = state.coming.iter();
        coming.find(|coming| coming.model == *model).cloned()
    }

    /// Records that requests were sent for the pending load of `model`, or that one was returned
    /// unserved. Returns the load the first time each is recorded.
    pub(crate) fn note_reliance(&self, model: &ModelRef, reliance: Reliance) -> Option<Coming> {
        let mut state = self.state.borrow_mut();
        let mut coming = state.coming.iter_mut();
        let load = coming.find(|coming| coming.model == *model)?;
        let is_next = match reliance {
            Reliance::None => false,
            Reliance::Relied => load.reliance == Reliance::None,
            Reliance::TooEarly => load.reliance == Reliance::Relied,
        };
        is_next.then(|| {
            load.reliance = reliance;
            load.clone()
        })
    }

    /// Counts the pending adapter loads from the weight store for which `counts` returns true.
    pub(crate) fn count_transfers(&self, counts: impl Fn(&Coming) -> bool) -> usize {
        let state = self.state.borrow();
        let from_store = state.coming.iter().filter(|coming| coming.is_transfer());
        from_store.filter(|coming| counts(coming)).count()
    }

    /// Adapters that were loaded or unloaded recently, and those being unloaded.
    pub(crate) fn moved_lately(&self) -> Vec<AdapterMove> {
        let state = self.state.borrow();
        let lately = state.moved.iter();
        let lately = lately.filter(|(_, at)| at.elapsed() < MOVE_TOLD);
        let lately = lately.map(|(moved, _)| *moved);
        // The list of upstreams still shows an adapter until its unload is complete.
        let leaving = state.leaving.iter().map(|model| AdapterMove {
            model: model.digest(),
            is_held: false,
        });
        lately.chain(leaving).collect()
    }

    /// When the oldest pending load was accepted.
    pub(crate) fn oldest_coming(&self) -> Option<Instant> {
        self.state
            .borrow()
            .coming
            .iter()
            .map(|coming| coming.since)
            .min()
    }

    /// Whether `model` is unloaded once its requests have ended.
    pub(crate) fn is_leaving(&self, model: &ModelRef) -> bool {
        self.state.borrow().leaving.contains(model)
    }

    /// Whether the engine holds `model` in `version` or a later one, or in any version if none is
    /// given.
    pub(crate) fn holds(&self, model: &ModelRef, version: Option<u64>) -> bool {
        let held = self.state.borrow().holdings.version_of(model);
        held.is_some_and(|held| version.is_none_or(|version| held >= version))
    }

    /// Whether `model` is being loaded in `version` or a later one.
    pub(crate) fn awaits(&self, model: &ModelRef, version: Option<u64>) -> bool {
        let state = self.state.borrow();
        let is_it = |coming: &Coming| {
            let is_new = coming.version.is_none() || coming.version >= version;
            coming.model == *model && is_new
        };
        state.coming.iter().any(is_it)
    }

    /// Whether `model` is held or being loaded in `version` or a later one.
    pub(crate) fn holds_or_awaits(&self, model: &ModelRef, version: Option<u64>) -> bool {
        self.holds(model, version) || self.awaits(model, version)
    }

    /// The number of adapters that could be loaded, as last computed.
    pub(crate) fn room(&self) -> u8 {
        self.room.get()
    }

    /// Sets the number of adapters that could be loaded now.
    pub(crate) fn set_room(&self, room: u8) {
        self.room.set(room);
    }

    /// Marks the order sequence number as unknown, after an order whose effect on it is unclear.
    pub(crate) fn doubt(&self) {
        self.state.borrow_mut().order_seq = None;
    }

    /// Drops all pending loads, because the engine no longer answers.
    pub(crate) fn give_up_coming(&self) {
        let mut state = self.state.borrow_mut();
        state.coming.clear();
        state.order_seq = None;
    }

    /// Records that the engine accepted a load.
    pub(crate) fn load_ordered(
        &self,
        model: ModelRef,
        version: Option<u64>,
        load: LoadKind,
        under_way: f64,
    ) {
        if let Some(order_seq) = self.ordered() {
            self.state.borrow_mut().coming.push(Coming {
                model,
                version,
                load,
                under_way,
                since: Instant::now(),
                order_seq,
                reliance: Reliance::default(),
            });
        }
    }

    /// Counts an accepted order; returns the new order sequence number.
    fn ordered(&self) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        let order_seq = state.order_seq? + 1;
        state.order_seq = Some(order_seq);
        Some(order_seq)
    }

    /// Records that `model` was unloaded, or will be once its requests have ended if `is_gone` is
    /// false.
    pub(crate) fn unloaded(&self, model: &ModelRef, is_gone: bool) {
        self.ordered();
        let mut state = self.state.borrow_mut();
        state.holdings.forget(model);
        state.change += 1;
        state.note_move(model, false);
        if !is_gone {
            state.leaving.push(model.clone());
        }
    }

    /// Records that the engine refused an order because it is busy with an earlier one.
    pub(crate) fn block(&self) {
        self.state.borrow_mut().blocked_until = Some(Instant::now() + BLOCKED_SPAN);
    }

    /// Whether the engine refused an order less than [`BLOCKED_SPAN`] ago.
    pub(crate) fn is_blocked(&self) -> bool {
        let until = self.state.borrow().blocked_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Stores another node's usage report.
    pub(crate) fn note_use(&self, node: NodeId, used: &EngineUseTold) {
        let elsewhere = UseElsewhere {
            in_flight: used.in_flight,
            unread_tokens: used.unread_tokens,
            models: used.models.clone(),
            told: Instant::now(),
        };
        let mut state = self.state.borrow_mut();
        state
            .elsewhere
            .retain(|_, used| used.told.elapsed() < USE_LIFE);
        state.elsewhere.insert(node, elsewhere);
    }

    /// Whether another node has requests for `model` in flight here.
    pub(crate) fn is_used_elsewhere(&self, model: &ModelRef) -> bool {
        let state = self.state.borrow();
        let mut others = state.elsewhere.values();
        others.any(|used| used.in_flight_for(model) > 0)
    }

    /// The requests for `model` that other nodes have in flight here.
    pub(crate) fn in_flight_elsewhere(&self, model: &ModelRef) -> u32 {
        let state = self.state.borrow();
        let others = state.elsewhere.values();
        others.map(|used| used.in_flight_for(model)).sum()
    }

    /// The requests and pending prompt tokens of all other nodes except `node`.
    pub(crate) fn load_of_others(&self, node: &NodeId) -> (u32, u64) {
        let state = self.state.borrow();
        let others = state
            .elsewhere
            .iter()
            .filter(|(other, used)| *other != node && used.told.elapsed() < USE_LIFE);
        others.fold((0, 0), |(in_flight, unread), (_, used)| {
            (in_flight + used.in_flight, unread + used.unread_tokens)
        })
    }

    /// The number of models waiting to be unloaded. They use memory until their requests have
    /// ended.
    pub(crate) fn leaving_count(&self) -> usize {
        self.state.borrow().leaving.len()
    }

    /// Applies a report and returns the loads that it shows as finished. Reports lag, so one that
    /// was made before the last order is ignored.
    pub(crate) fn reported(&self, report: &EngineState) -> Vec<Coming> {
        let mut state = self.state.borrow_mut();
        if state
            .order_seq
            .is_some_and(|known| report.order_seq < known)
        {
            return Vec::new();
        }
        let mut finished = Vec::new();
        let held = |model: &ModelRef| report.holdings.version_of(model);
        state.coming.retain(|coming| {
            let is_here = held(&coming.model)
                .is_some_and(|version| coming.version.is_none_or(|wanted| version >= wanted));
            let is_under_way = report.coming.contains(&coming.model)
                || (coming.model.adapter.is_none() && report.is_busy);
            let is_seen = report.order_seq >= coming.order_seq;
            if is_here {
                finished.push(coming.clone());
            }
            !is_here && (is_under_way || !is_seen)
        });
        state.adopt_coming(report);
        state.leaving.retain(|model| held(model).is_some());
        state.order_seq = Some(report.order_seq);
        for load in &finished {
            state.note_move(&load.model, true);
        }
        let mut holdings = report.holdings.clone();
        // The engine returns requests unserved if they have not started when their model is
        // unloaded.
        for model in &state.leaving {
            holdings.forget(model);
        }
        if state.change == 0 || state.holdings != holdings {
            state.holdings = holdings;
            state.change += 1;
        }
        drop(state);
        self.changed.notify_waiters();
        finished
    }
}
