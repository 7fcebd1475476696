//! Which of the loads that wait at an engine is ordered next.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::load_plan::plan_load;
use crate::{EngineContents, LoadPlan, LoadRefusal, LoadTimes, ModelRef};

/// Loads that may wait at one engine. The fourth would come after a second, too late for any
/// latency objective.
const QUEUE_LIMIT: usize = 4;

/// Loads from the weight store that are under way at one engine at once: what is ordered last is not held
/// up by all before it.
///
/// There is no limit over all engines: an owner hears of few others at a time, and what it made of that
/// would keep loads waiting while the weight store has room.
const ENGINE_LOADS: usize = 2;

/// What a load is for. The more urgent one is the lesser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LoadPurpose {
    /// No engine that can answer holds the adapter in a version that is wanted.
    Miss,
    /// Its holders are busy; one more would answer sooner.
    Copy,
}

/// Where an engine takes an adapter from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// The weight store, whose rate all engines share.
    FromStore,
    /// Its own memory, as it held the adapter a while ago.
    Recent,
}

impl LoadKind {
    /// The kind of load by which an engine takes an adapter that it held a while ago, or never.
    pub fn of(is_recent: bool) -> Self {
        match is_recent {
            true => Self::Recent,
            false => Self::FromStore,
        }
    }
}

/// A load that waits for its order.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingLoad {
    /// The adapter.
    pub model: ModelRef,
    /// The version to bring; none for the newest.
    pub version: Option<u64>,
    /// Where it comes from.
    pub kind: LoadKind,
    /// What it is for.
    pub purpose: LoadPurpose,
    /// The rank of the requests that wait for it; 0 is the most urgent.
    pub priority: u8,
}

/// Stands for one load in a [`LoadQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadTicket(u64);

/// What a load that waits is to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadTurn {
    /// Be ordered so.
    Order(LoadPlan),
    /// Wait on.
    Wait,
    /// End, as the adapter is there or on its way: another request had it loaded.
    NotNeeded,
    /// Give up.
    Refuse(LoadRefusal),
}

/// Loads from the weight store that are under way, and what is known of their times.
#[derive(Clone, Copy, Debug)]
pub struct StoreUse {
    /// How long loads take.
    pub times: LoadTimes,
    /// Loads that should still be under way at the engine.
    pub at_engine: usize,
    /// Loads under way over all engines.
    pub over_all: f64,
}

/// The loads that wait at one engine for their order.
///
/// Misses go before copies, urgent ones before routine ones, and among equals the one that came first.
/// Few come from the weight store at once, so that what is ordered last is not held up by all that were
/// ordered with it. What the engine brings back from its own memory passes them by.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{
///     Demand, EngineContents, HeldModel, Holdings, LoadKind, LoadPurpose, LoadQueue, LoadTimes,
///     LoadTurn, ModelRef, Room, StoreUse, WaitingLoad,
/// };
/// let base = HeldModel { name: "llama".into(), version: 1, adapters: Vec::new() };
/// let engine = EngineContents {
///     holdings: &Holdings { models: vec![base] },
///     coming: &[],
///     transfers: 0,
///     room: Room { adapter_slots: 2, transfers: 1 },
///     demand: &Demand::new(Duration::from_secs(10)),
///     is_in_use: &|_| false,
/// };
/// let store = StoreUse { times: LoadTimes::default(), at_engine: 0, over_all: 0.0 };
/// let load = |name: &str, priority| WaitingLoad {
///     model: ModelRef::parse(name),
///     version: None,
///     kind: LoadKind::FromStore,
///     purpose: LoadPurpose::Miss,
///     priority,
/// };
/// let mut queue = LoadQueue::default();
/// let routine = queue.join(load("llama/a1", 2)).unwrap();
/// let urgent = queue.join(load("llama/a2", 0)).unwrap();
/// let now = Instant::now();
/// assert_eq!(queue.turn(routine, &engine, &store, now), LoadTurn::Wait);
/// assert!(matches!(queue.turn(urgent, &engine, &store, now), LoadTurn::Order(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadQueue {
    waiting: Vec<(LoadTicket, WaitingLoad)>,
    last: u64,
}

impl LoadQueue {
    /// Has `load` wait for its turn.
    ///
    /// # Errors
    ///
    /// [`LoadRefusal::QueueFull`] if too many others wait.
    pub fn join(&mut self, load: WaitingLoad) -> Result<LoadTicket, LoadRefusal> {
        let is_awaited = self.models().any(|model| *model == load.model);
        if self.waiting.len() >= QUEUE_LIMIT && !is_awaited {
            return Err(LoadRefusal::QueueFull);
        }
        self.last += 1;
        let ticket = LoadTicket(self.last);
        self.waiting.push((ticket, load));
        Ok(ticket)
    }

    /// Takes a load out: it was ordered, or given up.
    pub fn leave(&mut self, ticket: LoadTicket) {
        self.waiting.retain(|(waiting, _)| *waiting != ticket);
    }

    /// The adapters that wait.
    pub fn models(&self) -> impl Iterator<Item = &ModelRef> {
        self.waiting.iter().map(|(_, load)| &load.model)
    }

    /// What the load of `ticket` is to do now.
    pub fn turn(
        &self,
        ticket: LoadTicket,
        engine: &EngineContents<'_>,
        store: &StoreUse,
        now: Instant,
    ) -> LoadTurn {
        let mut waiting = self.waiting.iter();
        let Some((_, load)) = waiting.find(|(waiting, _)| *waiting == ticket) else {
            // It left the queue; whoever asks again has to join anew.
            return LoadTurn::Refuse(LoadRefusal::QueueFull);
        };
        if is_there(load, engine) {
            return LoadTurn::NotNeeded;
        }
        if load.kind == LoadKind::FromStore {
            if load.purpose == LoadPurpose::Copy && !store.times.has_room_for_copy(store.over_all) {
                return LoadTurn::Refuse(LoadRefusal::LeftToMisses);
            }
            let has_transfer =
                engine.transfers < engine.room.transfers && store.at_engine < ENGINE_LOADS;
            if self.has_ahead(ticket, load) || !has_transfer {
                return LoadTurn::Wait;
            }
        }
        match plan_load(&load.model, load.version, engine, now) {
            Ok(plan) => LoadTurn::Order(plan),
            Err(why) => LoadTurn::Refuse(why),
        }
    }

    /// Whether another load from the weight store goes first.
    fn has_ahead(&self, ticket: LoadTicket, load: &WaitingLoad) -> bool {
        let rank = |ticket: LoadTicket, load: &WaitingLoad| (load.purpose, load.priority, ticket);
        let mut others = self.waiting.iter();
        others.any(|(other, waiting)| {
            waiting.kind == LoadKind::FromStore && rank(*other, waiting) < rank(ticket, load)
        })
    }
}

/// Whether an engine holds what `load` waits for, or it is on its way.
fn is_there(load: &WaitingLoad, engine: &EngineContents<'_>) -> bool {
    let held = engine.holdings.version_of(&load.model);
    let is_held = held.is_some_and(|held| load.version.is_none_or(|version| held >= version));
    // Which version is on its way is not known here.
    is_held || (load.version.is_none() && engine.coming.contains(&load.model))
}
