//! The state that an owner keeps for one of its engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{
    AdapterChange, EngineContents, EngineDemand, Holdings, LoadDecision, LoadQueue, LoadRefusal,
    LoadSource, LoadTicket, ModelChange, ModelDigest, ModelRef, Ownership, WaitingLoad,
    WeightStoreLoads,
};
use tokio::sync::{Mutex, Notify};

use super::exchange::EngineUsageReport;
use crate::EngineState;

/// Whether requests were sent to a pending load's engine before a report confirmed the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EarlyUse {
    /// No request was sent.
    #[default]
    None,
    /// Requests were sent.
    Sent,
    /// The engine returned one of those requests because the load had not finished.
    ReturnedUnserved,
}

/// An adapter or base model whose load was ordered and not yet reported as finished.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingLoad {
    pub(crate) model: ModelRef,
    pub(crate) version: Option<u64>,
    pub(crate) kind: LoadSource,
    /// Loads from the weight store in progress over all engines when this one was ordered,
    /// including this one.
    pub(crate) loads_in_progress: f64,
    /// When the engine accepted the order.
    pub(crate) accepted_at: Instant,
    /// The engine's order sequence number after accepting this order.
    pub(crate) order_seq: u64,
    /// Whether requests were sent before a report confirmed the load, and whether one was returned
    /// unserved.
    pub(crate) early_use: EarlyUse,
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
    pub(crate) is_key_seen: Cell<bool>,
    /// Held while loads and unloads are ordered, so that two loads don't claim the same free
    /// adapter slot.
    pub(crate) order_lock: Mutex<()>,
    /// Notifies waiting loads that the holdings or the queue changed.
    pub(crate) changed: Notify,
    /// Whether a task is polling reports until the pending loads finish.
    pub(crate) is_polled: Cell<bool>,
    /// The base model change in progress.
    pub(super) model_change: RefCell<Option<ModelChange>>,
    /// When a base model was last ordered from the weight store.
    pub(super) weight_store_used_at: Cell<Option<Instant>>,
    /// The number of adapters that could be loaded, as last computed.
    free_adapter_slots: Cell<u8>,
    /// Loads that wait to be ordered.
    queue: RefCell<LoadQueue>,
    pub(super) state: RefCell<State>,
}

/// A load's entry in the queue; dropping it removes the load from the queue.
pub(crate) struct QueueEntry<'a> {
    engine: &'a OwnedEngine,
    pub(crate) ticket: LoadTicket,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.engine.queue.borrow_mut().leave(self.ticket);
        self.engine.changed.notify_waiters();
    }
}

impl PendingLoad {
    /// Whether this is an adapter load from the weight store. Loads of base models have a separate
    /// rate limit.
    pub(crate) fn is_transfer(&self) -> bool {
        self.kind == LoadSource::FromStore && self.model.adapter.is_some()
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct State {
    /// The number of orders that the engine has accepted; `None` if unknown: before the first
    /// report, and after an order whose effect on it is unclear.
    order_seq: Option<u64>,
    pub(super) holdings: Holdings,
    /// Version number of the holdings, incremented with each change; 0 until they were read.
    holdings_version: u64,
    pub(super) pending: Vec<PendingLoad>,
    /// Adapters that were recently loaded or unloaded.
    moved: Vec<(AdapterChange, Instant)>,
    /// Models that the engine unloads once their requests have ended.
    pub(super) unloading: Vec<ModelRef>,
    /// The engine refused an order and gets no further ones until this time.
    blocked_until: Option<Instant>,
    /// What each other node has in flight at the engine.
    node_usages: HashMap<NodeId, NodeUsage>,
}

impl State {
    fn record_adapter_change(&mut self, model: &ModelRef, is_held: bool) {
        let model = model.digest();
        self.moved
            .retain(|(change, at)| change.model != model && at.elapsed() < CHANGE_REPEAT_TIME);
        let change = AdapterChange { model, is_held };
        self.moved.push((change, Instant::now()));
    }

    /// Adds loads that the report shows and this process did not order: they were ordered by an
    /// earlier process of this node, or by an order whose answer was lost. Without them their
    /// adapter slots would look free, and an engine that is ordered to hold more than fits crashes
    /// with all its requests.
    fn adopt_unknown_loads(&mut self, report: &EngineState) {
        for model in &report.loading {
            if !self.pending.iter().any(|known| known.model == *model) {
                self.pending.push(PendingLoad {
                    model: model.clone(),
                    version: None,
                    kind: LoadSource::FromStore,
                    loads_in_progress: 0.0,
                    accepted_at: Instant::now(),
                    order_seq: report.order_seq,
                    early_use: EarlyUse::default(),
                });
            }
        }
    }
}

/// What another node has in flight at an engine.
#[derive(Clone, Debug)]
struct NodeUsage {
    in_flight: u32,
    pending_prompt_tokens: u64,
    models: Vec<(ModelRef, u32)>,
    received_at: Instant,
}

impl NodeUsage {
    fn in_flight_for(&self, model: &ModelRef) -> u32 {
        if self.received_at.elapsed() >= USAGE_LIFETIME {
            return 0;
        }
        let mut models = self.models.iter();
        let found = models.find(|(used, _)| used == model);
        found.map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// How long an engine that refused an order gets no further one. While it waits to unload an
/// adapter in use it refuses all orders, until the adapter's last request ends some seconds later.
const BLOCKED_TIME: Duration = Duration::from_millis(250);

/// How long a load or unload is repeated in status messages: ten of them within the failure domain
/// and two to other domains, so that a lost datagram does not matter.
const CHANGE_REPEAT_TIME: Duration = Duration::from_millis(1_000);

/// How long another node's usage report is valid. A node sends ten reports in this time.
const USAGE_LIFETIME: Duration = Duration::from_millis(1_000);

impl OwnedEngine {
    pub(crate) fn new(id: UpstreamId, ownership: Ownership) -> Self {
        Self {
            id,
            ownership: RefCell::new(ownership),
            demand: RefCell::default(),
            is_key_seen: Cell::new(false),
            order_lock: Mutex::new(()),
            changed: Notify::new(),
            is_polled: Cell::new(false),
            model_change: RefCell::default(),
            free_adapter_slots: Cell::new(0),
            weight_store_used_at: Cell::new(None),
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
    pub(crate) fn holdings_version(&self) -> u64 {
        self.state.borrow().holdings_version
    }

    /// The holdings, if their version number differs from `known_version`.
    pub(crate) fn holdings_since(&self, known_version: u64) -> Option<Holdings> {
        let state = self.state.borrow();
        (state.holdings_version != known_version).then(|| state.holdings.clone())
    }

    /// Models and adapters that are being loaded.
    pub(crate) fn loading_models(&self) -> Vec<ModelRef> {
        let state = self.state.borrow();
        state
            .pending
            .iter()
            .map(|load| load.model.clone())
            .collect()
    }

    /// Queues `load` until the returned entry is dropped.
    pub(crate) fn enqueue(&self, load: WaitingLoad) -> Result<QueueEntry<'_>, LoadRefusal> {
        let ticket = self.queue.borrow_mut().join(load)?;
        Ok(QueueEntry {
            engine: self,
            ticket,
        })
    }

    /// Decides what the queued load of `ticket` does next.
    pub(crate) fn turn(
        &self,
        ticket: LoadTicket,
        contents: &EngineContents<'_>,
        store: &WeightStoreLoads,
    ) -> LoadDecision {
        let queue = self.queue.borrow();
        queue.decide(ticket, contents, store, Instant::now())
    }

    /// The number of pending loads.
    pub(crate) fn pending_count(&self) -> u32 {
        u32::try_from(self.state.borrow().pending.len()).unwrap_or(u32::MAX)
    }

    /// Adapters that are being loaded or are queued.
    pub(crate) fn loading_or_queued(&self) -> Vec<ModelDigest> {
        let (state, queue) = (self.state.borrow(), self.queue.borrow());
        let pending = state.pending.iter().map(|load| &load.model);
        pending
            .chain(queue.models())
            .map(ModelRef::digest)
            .collect()
    }

    /// The pending load of `model`.
    pub(crate) fn pending_load(&self, model: &ModelRef) -> Option<PendingLoad> {
        let state = self.state.borrow();
        let mut pending = state.pending.iter();
        pending.find(|load| load.model == *model).cloned()
    }

    /// Records that requests were sent for the pending load of `model`, or that one was returned
    /// unserved. Returns the load the first time each is recorded.
    pub(crate) fn record_early_use(
        &self,
        model: &ModelRef,
        early_use: EarlyUse,
    ) -> Option<PendingLoad> {
        let mut state = self.state.borrow_mut();
        let mut pending = state.pending.iter_mut();
        let load = pending.find(|load| load.model == *model)?;
        let is_next = match early_use {
            EarlyUse::None => false,
            EarlyUse::Sent => load.early_use == EarlyUse::None,
            EarlyUse::ReturnedUnserved => load.early_use == EarlyUse::Sent,
        };
        is_next.then(|| {
            load.early_use = early_use;
            load.clone()
        })
    }

    /// Counts the pending adapter loads from the weight store for which `counts` returns true.
    pub(crate) fn count_transfers(&self, counts: impl Fn(&PendingLoad) -> bool) -> usize {
        let state = self.state.borrow();
        let from_store = state.pending.iter().filter(|load| load.is_transfer());
        from_store.filter(|load| counts(load)).count()
    }

    /// Adapters that were loaded or unloaded recently, and those being unloaded.
    pub(crate) fn recently_changed(&self) -> Vec<AdapterChange> {
        let state = self.state.borrow();
        let recent = state.moved.iter();
        let recent = recent.filter(|(_, at)| at.elapsed() < CHANGE_REPEAT_TIME);
        let recent = recent.map(|(change, _)| *change);
        // The list of upstreams still shows an adapter until its unload is complete.
        let unloading = state.unloading.iter().map(|model| AdapterChange {
            model: model.digest(),
            is_held: false,
        });
        recent.chain(unloading).collect()
    }

    /// When the oldest pending load was accepted.
    pub(crate) fn oldest_pending(&self) -> Option<Instant> {
        self.state
            .borrow()
            .pending
            .iter()
            .map(|load| load.accepted_at)
            .min()
    }

    /// Whether `model` is unloaded once its requests have ended.
    pub(crate) fn is_unloading(&self, model: &ModelRef) -> bool {
        self.state.borrow().unloading.contains(model)
    }

    /// Whether the engine holds `model` in `version` or a later one, or in any version if none is
    /// given.
    pub(crate) fn holds(&self, model: &ModelRef, version: Option<u64>) -> bool {
        let held = self.state.borrow().holdings.version_of(model);
        held.is_some_and(|held| version.is_none_or(|version| held >= version))
    }

    /// Whether `model` is being loaded in `version` or a later one.
    pub(crate) fn is_loading(&self, model: &ModelRef, version: Option<u64>) -> bool {
        let state = self.state.borrow();
        let is_match = |load: &PendingLoad| {
            let is_new = load.version.is_none() || load.version >= version;
            load.model == *model && is_new
        };
        state.pending.iter().any(is_match)
    }

    /// Whether `model` is held or being loaded in `version` or a later one.
    pub(crate) fn holds_or_is_loading(&self, model: &ModelRef, version: Option<u64>) -> bool {
        self.holds(model, version) || self.is_loading(model, version)
    }

    /// The number of adapters that could be loaded, as last computed.
    pub(crate) fn room(&self) -> u8 {
        self.free_adapter_slots.get()
    }

    /// Sets the number of adapters that could be loaded now.
    pub(crate) fn set_free_adapter_slots(&self, slots: u8) {
        self.free_adapter_slots.set(slots);
    }

    /// Marks the order sequence number as unknown, after an order whose effect on it is unclear.
    pub(crate) fn forget_order_seq(&self) {
        self.state.borrow_mut().order_seq = None;
    }

    /// Drops all pending loads, because the engine no longer answers.
    pub(crate) fn drop_pending(&self) {
        let mut state = self.state.borrow_mut();
        state.pending.clear();
        state.order_seq = None;
    }

    /// Records that the engine accepted a load.
    pub(crate) fn record_load(
        &self,
        model: ModelRef,
        version: Option<u64>,
        kind: LoadSource,
        loads_in_progress: f64,
    ) {
        if let Some(order_seq) = self.count_order() {
            self.state.borrow_mut().pending.push(PendingLoad {
                model,
                version,
                kind,
                loads_in_progress,
                accepted_at: Instant::now(),
                order_seq,
                early_use: EarlyUse::default(),
            });
        }
    }

    /// Counts an accepted order; returns the new order sequence number.
    fn count_order(&self) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        let order_seq = state.order_seq? + 1;
        state.order_seq = Some(order_seq);
        Some(order_seq)
    }

    /// Records that `model` was unloaded, or will be once its requests have ended if `is_gone` is
    /// false.
    pub(crate) fn record_unload(&self, model: &ModelRef, is_gone: bool) {
        self.count_order();
        let mut state = self.state.borrow_mut();
        state.holdings.forget(model);
        state.holdings_version += 1;
        state.record_adapter_change(model, false);
        if !is_gone {
            state.unloading.push(model.clone());
        }
    }

    /// Records that the engine refused an order because it is busy with an earlier one.
    pub(crate) fn block(&self) {
        self.state.borrow_mut().blocked_until = Some(Instant::now() + BLOCKED_TIME);
    }

    /// Whether the engine refused an order less than [`BLOCKED_TIME`] ago.
    pub(crate) fn is_blocked(&self) -> bool {
        let until = self.state.borrow().blocked_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Stores another node's usage report.
    pub(crate) fn record_usage(&self, node: NodeId, used: &EngineUsageReport) {
        let node_usage = NodeUsage {
            in_flight: used.in_flight,
            pending_prompt_tokens: used.pending_prompt_tokens,
            models: used.models.clone(),
            received_at: Instant::now(),
        };
        let mut state = self.state.borrow_mut();
        state
            .node_usages
            .retain(|_, used| used.received_at.elapsed() < USAGE_LIFETIME);
        state.node_usages.insert(node, node_usage);
    }

    /// Whether another node has requests for `model` in flight here.
    pub(crate) fn is_used_by_others(&self, model: &ModelRef) -> bool {
        let state = self.state.borrow();
        let mut others = state.node_usages.values();
        others.any(|used| used.in_flight_for(model) > 0)
    }

    /// The requests for `model` that other nodes have in flight here.
    pub(crate) fn others_in_flight(&self, model: &ModelRef) -> u32 {
        let state = self.state.borrow();
        let others = state.node_usages.values();
        others.map(|used| used.in_flight_for(model)).sum()
    }

    /// The requests and pending prompt tokens of all other nodes except `node`.
    pub(crate) fn load_of_others(&self, node: &NodeId) -> (u32, u64) {
        let state = self.state.borrow();
        let others = state
            .node_usages
            .iter()
            .filter(|(other, used)| *other != node && used.received_at.elapsed() < USAGE_LIFETIME);
        others.fold((0, 0), |(in_flight, unread), (_, used)| {
            (
                in_flight + used.in_flight,
                unread + used.pending_prompt_tokens,
            )
        })
    }

    /// The number of models waiting to be unloaded. They use memory until their requests have
    /// ended.
    pub(crate) fn unloading_count(&self) -> usize {
        self.state.borrow().unloading.len()
    }

    /// Applies a report and returns the loads that it shows as finished. Reports lag, so one that
    /// was made before the last order is ignored.
    pub(crate) fn apply_report(&self, report: &EngineState) -> Vec<PendingLoad> {
        let mut state = self.state.borrow_mut();
        if state
            .order_seq
            .is_some_and(|known| report.order_seq < known)
        {
            return Vec::new();
        }
        let mut finished = Vec::new();
        let held = |model: &ModelRef| report.holdings.version_of(model);
        state.pending.retain(|load| {
            let is_here = held(&load.model)
                .is_some_and(|version| load.version.is_none_or(|wanted| version >= wanted));
            let is_in_progress = report.loading.contains(&load.model)
                || (load.model.adapter.is_none() && report.is_busy);
            let is_seen = report.order_seq >= load.order_seq;
            if is_here {
                finished.push(load.clone());
            }
            !is_here && (is_in_progress || !is_seen)
        });
        state.adopt_unknown_loads(report);
        state.unloading.retain(|model| held(model).is_some());
        state.order_seq = Some(report.order_seq);
        for load in &finished {
            state.record_adapter_change(&load.model, true);
        }
        let mut holdings = report.holdings.clone();
        // The engine returns requests unserved if they have not started when their model is
        // unloaded.
        for model in &state.unloading {
            holdings.forget(model);
        }
        if state.holdings_version == 0 || state.holdings != holdings {
            state.holdings = holdings;
            state.holdings_version += 1;
        }
        drop(state);
        self.changed.notify_waiters();
        finished
    }
}
