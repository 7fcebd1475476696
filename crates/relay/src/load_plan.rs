//! Plans the orders that load an adapter into an engine.

use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Demand, HeldModel, Holdings, ModelRef};

/// Capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Adapters that fit into its memory, including those being loaded.
    pub adapter_slots: usize,
    /// Loads from the weight store that may run at the same time.
    pub transfers: usize,
}

/// One order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadStep {
    /// Unload an adapter.
    Unload(ModelRef),
    /// Load an adapter, in the given version or the newest.
    Load(ModelRef, Option<u64>),
}

/// Orders to an engine, to be carried out in sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// The orders.
    pub steps: Vec<LoadStep>,
}

/// Why an adapter cannot be loaded into an engine now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadRefusal {
    /// The engine runs as many loads at a time as it can.
    #[display("the engine has no room: all its transfers are taken")]
    TransfersFull,
    /// Every adapter that it holds is in use.
    #[display("the engine has no room: nothing to evict")]
    NothingToEvict,
    /// The engine does not hold the base model.
    #[display("the engine has no room: the base model is not there")]
    ModelAbsent,
    /// Too many loads wait at the engine.
    #[display("too many loads wait there")]
    QueueFull,
    /// The remaining capacity of the weight store is reserved for adapters that no engine holds.
    #[display("the weight store is left to misses")]
    LeftToMisses,
}

/// The contents and capacity of an engine, as its owner knows them.
pub struct EngineContents<'a> {
    /// The models and adapters that it holds.
    pub holdings: &'a Holdings,
    /// Adapters being loaded.
    pub loading: &'a [ModelRef],
    /// How many of those come from the weight store.
    pub transfers: usize,
    /// Its capacity.
    pub room: EngineCapacity,
    /// Demand for each adapter.
    pub demand: &'a Demand,
    /// Whether any node has requests in flight for the adapter there.
    pub is_in_use: &'a dyn Fn(&ModelRef) -> bool,
}

/// Plans the orders that load `wanted` into an engine.
///
/// An engine that is ordered to hold more than fits crashes with all its requests, so adapters
/// being loaded count as held. Adapters in use are not evicted, because requests for them would
/// come back unserved. Of the others the one with the lowest demand is evicted.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{
///     Demand, EngineContents, HeldModel, Holdings, LoadStep, ModelRef, EngineCapacity, plan_load,
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
/// let wanted = ModelRef::parse("llama/a7");
/// let plan = plan_load(&wanted, None, &engine, Instant::now()).unwrap();
/// assert_eq!(plan.steps, [LoadStep::Load(wanted, None)]);
/// ```
///
/// # Errors
///
/// [`LoadRefusal`] if the adapter cannot be loaded now.
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
    let is_replacement = holdings.version_of(wanted).is_some();
    let held = holdings.adapter_count() + engine.loading.len();
    if is_replacement || held < engine.room.adapter_slots {
        return Ok(LoadPlan { steps: vec![load] });
    }
    let victim = lowest_demand(engine, now).ok_or(LoadRefusal::NothingToEvict)?;
    Ok(LoadPlan {
        steps: vec![LoadStep::Unload(victim), load],
    })
}

fn lowest_demand(engine: &EngineContents<'_>, now: Instant) -> Option<ModelRef> {
    let score = |adapter: &ModelRef| engine.demand.score(adapter, now);
    let models = engine.holdings.models.iter();
    models
        .flat_map(HeldModel::adapter_refs)
        .filter(|adapter| !(engine.is_in_use)(adapter))
        .min_by(|a, b| score(a).total_cmp(&score(b)))
}
