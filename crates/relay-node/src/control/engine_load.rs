//! What an owner reports about the load of its engine.

use std::time::Instant;

use nutmegsail_base::NodeId;
use nutmegsail_relay::{AdapterChange, HeldModel, LoadReport, ModelDigest, ModelRef};
use serde::{Deserialize, Serialize};

use super::base_models::weight_store_use_time;
use super::control_state::ControlState;
use super::engine::OwnedEngine;

/// The load of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineLoad {
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// Prompt tokens of requests whose answers have not begun.
    pub(crate) pending_prompt_tokens: u32,
    /// Adapters that are being loaded or are queued.
    pub(crate) loading: Vec<ModelDigest>,
    /// Adapters that were loaded or unloaded recently.
    pub(crate) recent_changes: Vec<AdapterChange>,
    /// Adapter loads from the weight store that no report has shown as finished.
    pub(crate) transfers: u32,
    /// The number of adapters that could be loaded now.
    pub(crate) free_adapter_slots: u8,
    /// The version number of the engine's holdings.
    pub(crate) holdings_version: u64,
    /// Whether the engine can be given orders now.
    pub(crate) takes_loads: bool,
    /// The engine's base models, if its service has several.
    pub(crate) host: Option<HostReport>,
}

/// What an owner reports about its engine's base models.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    /// The base models that are held or being loaded, each with its number of adapters.
    pub(crate) models: Vec<(ModelDigest, u8)>,
    /// Whether the engine can be given orders for base models now.
    pub(crate) can_change: bool,
    /// Whether a base model is being loaded or unloaded.
    pub(crate) is_changing: bool,
    /// Whether the engine counts towards the weight store's rate limit for base models.
    pub(crate) uses_store: bool,
    /// Requests in flight.
    pub(crate) in_flight: u32,
}

impl EngineLoad {
    /// Whether the engine is idle and could load any adapter, which is also assumed of engines
    /// without a report.
    pub(crate) fn is_idle(&self) -> bool {
        let has_no_work =
            self.in_flight == 0 && self.pending_prompt_tokens == 0 && self.transfers == 0;
        let has_changed = !self.loading.is_empty() || !self.recent_changes.is_empty();
        has_no_work
            && !has_changed
            && self.free_adapter_slots > 0
            && self.takes_loads
            && self.host.is_none()
    }

    /// Converts this load to a report made now.
    pub(crate) fn into_report(self) -> LoadReport {
        LoadReport {
            in_flight_of_others: self.in_flight,
            pending_prompt_tokens_of_others: u64::from(self.pending_prompt_tokens),
            loading: self.loading,
            recent_changes: self.recent_changes,
            free_adapter_slots: u32::from(self.free_adapter_slots),
            takes_loads: self.takes_loads,
            received_at: Instant::now(),
        }
    }
}

/// The load of an owned engine without `node`'s share.
pub(crate) fn load_excluding(
    control: &ControlState,
    owned: &OwnedEngine,
    node: &NodeId,
) -> EngineLoad {
    let (mut in_flight, mut pending_prompt_tokens) = owned.load_of_others(node);
    if *node != control.settings.node {
        let own_usage = control.shared.usages.current_load(&owned.id);
        in_flight += own_usage.0;
        pending_prompt_tokens += own_usage.1;
    }
    EngineLoad {
        in_flight,
        pending_prompt_tokens: u32::try_from(pending_prompt_tokens).unwrap_or(u32::MAX),
        loading: owned.loading_or_queued(),
        recent_changes: owned.recently_changed(),
        transfers: u32::try_from(owned.count_transfers(|_| true)).unwrap_or(u32::MAX),
        free_adapter_slots: owned.room(),
        holdings_version: owned.holdings_version(),
        takes_loads: control.takes_loads(owned),
        host: host_report(control, owned, in_flight),
    }
}

/// The base models of an owned engine, if its service has several.
fn host_report(control: &ControlState, owned: &OwnedEngine, in_flight: u32) -> Option<HostReport> {
    let upstream = control.upstream(&owned.id)?;
    let service = control.service(&upstream.service)?;
    let spec = service.engine.as_ref()?;
    if spec.models.len() < 2 {
        return None;
    }
    let models = owned.hosted_models().into_iter().map(|hosted| {
        let model = ModelRef::of_base(hosted.name);
        let adapters = u8::try_from(hosted.adapters).unwrap_or(u8::MAX);
        (model.digest(), adapters)
    });
    Some(HostReport {
        models: models.collect(),
        can_change: owned.holdings_version() > 0 && control.takes_loads(owned),
        is_changing: owned.is_changing_model(),
        uses_store: owned.uses_store(weight_store_use_time(spec)),
        in_flight,
    })
}

/// The number of adapters that an owned engine could load now without evicting one in use.
pub(crate) fn room(control: &ControlState, owned: &OwnedEngine) -> u8 {
    let upstream = control.upstream(&owned.id);
    let service = upstream.and_then(|upstream| control.service(&upstream.service));
    let Some(spec) = service.as_ref().and_then(|service| service.engine.as_ref()) else {
        return 0;
    };
    let holdings = owned.holdings();
    let adapters = holdings.models.iter().flat_map(HeldModel::adapter_refs);
    let in_use = adapters.filter(|adapter| control.is_in_use(owned, adapter));
    let occupied = in_use.count() + owned.loading_or_queued().len();
    let left = spec.adapters_beside(&holdings).saturating_sub(occupied);
    u8::try_from(left).unwrap_or(u8::MAX)
}
