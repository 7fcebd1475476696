//! Which orders bring an adapter into an engine.

use std::time::Instant;

use nutmegsail_base::AdapterName;
use serde::{Deserialize, Serialize};

use crate::{Demand, Holdings, ModelRef};

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadRefusal {
    /// As many adapters are on their way as the engine takes at once.
    TransfersFull,
    /// All that it holds is in use, or wanted more.
    NothingToEvict,
    /// The base model is not there.
    ModelAbsent,
}

/// Plans the orders that bring `wanted` into an engine that holds `holdings`, with `coming` on
/// their way.
///
/// An engine that is ordered to hold more than fits crashes with all its requests, so adapters on
/// their way count as held. What `is_in_use` names is not evicted: requests for it would come back
/// unserved. Among the rest the least wanted makes way.
///
/// # Errors
///
/// [`LoadRefusal`] if it cannot be done now.
pub fn plan_load(
    wanted: &ModelRef,
    version: Option<u64>,
    holdings: &Holdings,
    coming: &[ModelRef],
    room: Room,
    demand: &Demand,
    is_in_use: &dyn Fn(&ModelRef) -> bool,
    now: Instant,
) -> Result<LoadPlan, LoadRefusal> {
    if coming.len() >= room.transfers {
        return Err(LoadRefusal::TransfersFull);
    }
    if !holdings.has_base(wanted) {
        return Err(LoadRefusal::ModelAbsent);
    }
    let load = LoadStep::Load(wanted.clone(), version);
    let is_replaced = holdings.version_of(wanted).is_some();
    let held = holdings.adapter_count() + coming.len();
    if is_replaced || held < room.adapter_slots {
        return Ok(LoadPlan { steps: vec![load] });
    }
    let victim = least_wanted(holdings, demand, is_in_use, now);
    let victim = victim.ok_or(LoadRefusal::NothingToEvict)?;
    Ok(LoadPlan {
        steps: vec![LoadStep::Unload(victim), load],
    })
}

fn least_wanted(
    holdings: &Holdings,
    demand: &Demand,
    is_in_use: &dyn Fn(&ModelRef) -> bool,
    now: Instant,
) -> Option<ModelRef> {
    let named = |model: &std::sync::Arc<str>, adapter: &AdapterName| ModelRef {
        model: model.clone(),
        adapter: Some(adapter.clone()),
    };
    holdings
        .models
        .iter()
        .flat_map(|model| {
            let adapters = model.adapters.iter();
            adapters.map(move |adapter| named(&model.name, &adapter.name))
        })
        .filter(|adapter| !is_in_use(adapter))
        .min_by(|a, b| demand.score(a, now).total_cmp(&demand.score(b, now)))
}
