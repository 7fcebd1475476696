//! Order of the adapter loads that wait at one engine.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::load_plan::plan_load;
use crate::{EngineContents, LoadPlan, LoadRefusal, LoadTimes, ModelRef};

/// Limit of loads waiting at one engine. The last of them takes about a second, so any further load
/// would miss every latency objective.
const MAX_WAITING_LOADS: usize = 4;

/// Concurrent loads from the weight store at one engine. With more of them, an urgent load that is
/// ordered last would be slowed down by all the others.
///
/// There is no fleet-wide limit: an owner gets updates on only a few other engines at a time, and
/// its estimate would hold back loads while the weight store has capacity.
const MAX_STORE_LOADS: usize = 2;

/// Why an adapter is loaded. Ordered by urgency, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LoadPurpose {
    /// No engine that could serve the request holds a suitable version of the adapter.
    Miss,
    /// The engines that hold the adapter are busy; a further copy would shorten the wait.
    Copy,
}

/// Where an engine loads an adapter from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// The weight store, whose bandwidth all engines share.
    FromStore,
    /// The memory of the engine's host, which still has an adapter that the engine dropped
    /// recently.
    HostMemory,
}

impl LoadSource {
    /// [`HostMemory`](Self::HostMemory) if the engine dropped the adapter recently, otherwise
    /// [`FromStore`](Self::FromStore).
    pub fn of(is_recent: bool) -> Self {
        match is_recent {
            true => Self::HostMemory,
            false => Self::FromStore,
        }
    }
}

/// A load that has not been ordered yet.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingLoad {
    /// The adapter.
    pub model: ModelRef,
    /// The version to load; `None` for the newest.
    pub version: Option<u64>,
    /// Where it is loaded from.
    pub kind: LoadSource,
    /// Why it is loaded.
    pub purpose: LoadPurpose,
    /// Priority of the requests that wait for it; 0 is the most urgent.
    pub priority: u8,
}

/// Identifies one load in a [`LoadQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadTicket(u64);

/// What to do with a waiting load.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadDecision {
    /// Send these orders to the engine.
    Order(LoadPlan),
    /// Keep waiting.
    Wait,
    /// Remove it: another request already had the adapter loaded, or loading is in progress.
    NotNeeded,
    /// Give up for this reason.
    Refuse(LoadRefusal),
}

/// The loads from the weight store in progress, with the expected load times.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreLoads {
    /// Expected load times.
    pub times: LoadTimes,
    /// Loads expected to be in progress at this engine.
    pub engine_loads: usize,
    /// Estimated loads in progress at all engines.
    pub fleet_loads: f64,
}

/// The adapter loads that wait at one engine.
///
/// Misses go before copies, then the more urgent before the less urgent, then in order of arrival.
/// Only a few loads from the weight store run at a time, so that a load is not slowed down by many
/// others ordered together with it. Adapters that the engine restores from host memory skip the
/// queue.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{
///     Demand, EngineContents, HeldModel, Holdings, LoadSource, LoadPurpose, LoadQueue, LoadTimes,
///     LoadDecision, ModelRef, EngineCapacity, WeightStoreLoads, WaitingLoad,
/// };
/// let base = HeldModel { name: "llama".into(), version: 1, adapters: Vec::new() };
/// let engine = EngineContents {
///     holdings: &Holdings { models: vec![base] },
///     loading: &[],
///     transfers: 0,
///     room: EngineCapacity { adapter_slots: 2, transfers: 1 },
///     demand: &Demand::new(Duration::from_secs(10)),
///     is_in_use: &|_| false,
/// };
/// let store = WeightStoreLoads { times: LoadTimes::default(), engine_loads: 0, fleet_loads: 0.0 };
/// let load = |name: &str, priority| WaitingLoad {
///     model: ModelRef::parse(name),
///     version: None,
///     kind: LoadSource::FromStore,
///     purpose: LoadPurpose::Miss,
///     priority,
/// };
/// let mut queue = LoadQueue::default();
/// let routine = queue.join(load("llama/a1", 2)).unwrap();
/// let urgent = queue.join(load("llama/a2", 0)).unwrap();
/// let now = Instant::now();
/// assert_eq!(queue.decide(routine, &engine, &store, now), LoadDecision::Wait);
/// assert!(matches!(queue.decide(urgent, &engine, &store, now), LoadDecision::Order(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadQueue {
    waiting: Vec<(LoadTicket, WaitingLoad)>,
    last_ticket: u64,
}

impl LoadQueue {
    /// Adds `load` to the queue.
    ///
    /// # Errors
    ///
    /// [`LoadRefusal::QueueFull`] if too many loads wait, unless one of them is for the same
    /// adapter.
    pub fn join(&mut self, load: WaitingLoad) -> Result<LoadTicket, LoadRefusal> {
        let is_queued = self.models().any(|model| *model == load.model);
        if self.waiting.len() >= MAX_WAITING_LOADS && !is_queued {
            return Err(LoadRefusal::QueueFull);
        }
        self.last_ticket += 1;
        let ticket = LoadTicket(self.last_ticket);
        self.waiting.push((ticket, load));
        Ok(ticket)
    }

    /// Removes a load that was ordered or given up.
    pub fn leave(&mut self, ticket: LoadTicket) {
        self.waiting.retain(|(waiting, _)| *waiting != ticket);
    }

    /// The adapters whose loads wait.
    pub fn models(&self) -> impl Iterator<Item = &ModelRef> {
        self.waiting.iter().map(|(_, load)| &load.model)
    }

    /// Decides what to do now with the load of `ticket`.
    pub fn decide(
        &self,
        ticket: LoadTicket,
        engine: &EngineContents<'_>,
        store: &WeightStoreLoads,
        now: Instant,
    ) -> LoadDecision {
        let mut waiting = self.waiting.iter();
        let Some((_, load)) = waiting.find(|(waiting, _)| *waiting == ticket) else {
            // The ticket was removed. The caller has to add the load again.
            return LoadDecision::Refuse(LoadRefusal::QueueFull);
        };
        if is_loaded_or_loading(load, engine) {
            return LoadDecision::NotNeeded;
        }
        if load.kind == LoadSource::FromStore {
            if load.purpose == LoadPurpose::Copy
                && !store.times.has_room_for_copy(store.fleet_loads)
            {
                return LoadDecision::Refuse(LoadRefusal::LeftToMisses);
            }
            let has_capacity =
                engine.transfers < engine.room.transfers && store.engine_loads < MAX_STORE_LOADS;
            if self.has_more_urgent(ticket, load) || !has_capacity {
                return LoadDecision::Wait;
            }
        }
        match plan_load(&load.model, load.version, engine, now) {
            Ok(plan) => LoadDecision::Order(plan),
            Err(reason) => LoadDecision::Refuse(reason),
        }
    }

    /// Whether another load from the weight store goes first.
    fn has_more_urgent(&self, ticket: LoadTicket, load: &WaitingLoad) -> bool {
        let rank = |ticket: LoadTicket, load: &WaitingLoad| (load.purpose, load.priority, ticket);
        let mut others = self.waiting.iter();
        others.any(|(other, waiting)| {
            waiting.kind == LoadSource::FromStore && rank(*other, waiting) < rank(ticket, load)
        })
    }
}

/// Whether the engine holds what `load` is to load, or is loading it.
fn is_loaded_or_loading(load: &WaitingLoad, engine: &EngineContents<'_>) -> bool {
    let held = engine.holdings.version_of(&load.model);
    let is_held = held.is_some_and(|held| load.version.is_none_or(|version| held >= version));
    // The version being loaded is not known here.
    is_held || (load.version.is_none() && engine.loading.contains(&load.model))
}
