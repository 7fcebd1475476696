//! Which orders bring an adapter into an engine.

use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Demand, HeldModel, Holdings, ModelRef};

/// The room of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Adapters that fit, whatever is under way counted in.
    pub adapter_slots: usize,
    /// Adapters that may be on their way at once.
    pub transfers: usize,
}

/// One order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadStep {
    /// Drop an adapter.
    Unload(ModelRef),
    /// Bring an adapter, in a version if one is given.
    Load(ModelRef, Option<u64>),
}

/// Orders, in turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// The steps.
    pub steps: Vec<LoadStep>,
}

/// Why an adapter cannot be brought into an engine now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadRefusal {
    /// As many adapters are on their way as the engine takes at once.
    #[display("the engine has no room: all its transfers are taken")]
    TransfersFull,
    /// All that it holds is in use, or wanted more.
    #[display("the engine has no room: nothing to evict")]
    NothingToEvict,
    /// The base model is not there.
    #[display("the engine has no room: the base model is not there")]
    ModelAbsent,
    /// Too many loads wait at the engine.
    #[display("too many loads wait there")]
    QueueFull,
    /// The weight store is busy with adapters that no engine holds.
    #[display("the weight store is left to misses")]
    LeftToMisses,
}

/// An engine as its owner knows it.
pub struct EngineContents<'a> {
    /// What it holds.
    pub holdings: &'a Holdings,
    /// Adapters on their way to it.
    pub coming: &'a [ModelRef],
    /// How many of those come from the weight store.
    pub transfers: usize,
    /// Its room.
    pub room: Room,
    /// What each adapter is asked for.
    pub demand: &'a Demand,
    /// Whether any node has requests for an adapter there.
    pub is_in_use: &'a dyn Fn(&ModelRef) -> bool,
}

/// Plans the orders that bring `wanted` into an engine.
///
/// An engine that is ordered to hold more than fits crashes with all its requests, so adapters on
/// their way count as held. One that is in use is not evicted: requests for it would come back
/// unserved. Among the rest the least wanted makes way.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{Demand, EngineContents, HeldModel, Holdings, LoadStep, ModelRef, Room, plan_load};
/// let base = HeldModel { name: "llama".into(), version: 1, adapters: Vec::new() };
/// let engine = EngineContents {
///     holdings: &Holdings { models: vec![base] },
///     coming: &[],
///     transfers: 0,
///     room: Room { adapter_slots: 2, transfers: 1 },
///     demand: &Demand::new(Duration::from_secs(10)),
///     is_in_use: &|_| false,
/// };
/// let wanted = ModelRef::parse("llama/a7");
/// let plan = plan_load(&wanted, None, &engine, Instant::now()).unwrap();
/// assert_eq!(plan.steps, [LoadStep::Load(wanted, None)]);
/// ```
///
/// # Errors
///
/// [`LoadRefusal`] if it cannot be done now.
pub fn plan_load(
    wanted: &ModelRef,
    version: Option<u64>,
    engine: &EngineContents<'_>,
    now: Instant,
) -> Result<LoadPlan, LoadRefusal> {
    let holdings = engine.holdings;
    if engine.transfers >= engine.room.transfers {
        return Err(LoadRefusal::TransfersFull);
    }
    if !holdings.has_base(wanted) {
        return Err(LoadRefusal::ModelAbsent);
    }
    let load = LoadStep::Load(wanted.clone(), version);
    let is_replaced = holdings.version_of(wanted).is_some();
    let held = holdings.adapter_count() + engine.coming.len();
    if is_replaced || held < engine.room.adapter_slots {
        return Ok(LoadPlan { steps: vec![load] });
    }
    let victim = least_wanted(engine, now).ok_or(LoadRefusal::NothingToEvict)?;
    Ok(LoadPlan {
        steps: vec![LoadStep::Unload(victim), load],
    })
}

fn least_wanted(engine: &EngineContents<'_>, now: Instant) -> Option<ModelRef> {
    let score = |adapter: &ModelRef| engine.demand.score(adapter, now);
    let models = engine.holdings.models.iter();
    models
        .flat_map(HeldModel::adapter_refs)
        .filter(|adapter| !(engine.is_in_use)(adapter))
        .min_by(|a, b| score(a).total_cmp(&score(b)))
}
