//! What an owner tells of the load of its engine.

use std::time::Instant;

use nutmegsail_base::NodeId;
use nutmegsail_relay::{AdapterMove, HeldModel, ModelDigest, ModelRef, Report};
use serde::{Deserialize, Serialize};

use super::base_models::store_use;
use super::engine::OwnedEngine;
use super::knowledge::Knowledge;

/// The load of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineLoad {
    /// Requests that run there.
    pub(crate) in_flight: u32,
    /// Prompt tokens that were sent and whose answers have not begun.
    pub(crate) unread_tokens: u32,
    /// Adapters on their way to it, or waiting for it.
    pub(crate) coming: Vec<ModelDigest>,
    /// Adapters that came or went a moment ago.
    pub(crate) moved: Vec<AdapterMove>,
    /// How many adapters come from the weight store and no report has shown as done.
    pub(crate) transfers: u32,
    /// Adapters that it could take now.
    pub(crate) room: u8,
    /// The last change of its holdings.
    pub(crate) change: u64,
    /// Whether it can be given orders now.
    pub(crate) takes_loads: bool,
    /// Its base models, if its service has several.
    pub(crate) host: Option<HostTold>,
}

/// What an owner tells of the base models of its engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostTold {
    /// Those that it holds or that are on their way, with how many adapters each.
    pub(crate) models: Vec<(ModelDigest, u8)>,
    /// Whether it can be given orders for base models now.
    pub(crate) can_change: bool,
    /// Whether a base model is to come or to leave.
    pub(crate) is_changing: bool,
    /// Whether it counts against the rate of the weight store for base models.
    pub(crate) uses_store: bool,
    /// Requests that it runs.
    pub(crate) in_flight: u32,
}

impl EngineLoad {
    /// Whether the engine does nothing and could take anything: what is assumed of an engine of which
    /// nothing is heard.
    pub(crate) fn is_at_rest(&self) -> bool {
        let is_idle = self.in_flight == 0 && self.unread_tokens == 0 && self.transfers == 0;
        let has_changed = !self.coming.is_empty() || !self.moved.is_empty();
        is_idle && !has_changed && self.room > 0 && self.takes_loads && self.host.is_none()
    }

    /// The report of it, as it was taken just now.
    pub(crate) fn into_report(self) -> Report {
        Report {
            in_flight_of_others: self.in_flight,
            unread_tokens_of_others: u64::from(self.unread_tokens),
            coming: self.coming,
            moved: self.moved,
            room: u32::from(self.room),
            takes_loads: self.takes_loads,
            taken: Instant::now(),
        }
    }
}

/// The load of an engine of ours without what `node` has there.
pub(crate) fn load_without(
    knowledge: &Knowledge,
    owned: &OwnedEngine,
    node: &NodeId,
) -> EngineLoad {
    let (mut in_flight, mut unread_tokens) = owned.load_of_others(node);
    if *node != knowledge.settings.node {
        let mine = knowledge.shared.uses.peek(&owned.id);
        in_flight += mine.0;
        unread_tokens += mine.1;
    }
    EngineLoad {
        in_flight,
        unread_tokens: u32::try_from(unread_tokens).unwrap_or(u32::MAX),
        coming: owned.loads_ahead(),
        moved: owned.moved_lately(),
        transfers: u32::try_from(owned.count_transfers(|_| true)).unwrap_or(u32::MAX),
        room: owned.room(),
        change: owned.change(),
        takes_loads: knowledge.takes_loads(owned),
        host: host_told(knowledge, owned, in_flight),
    }
}

/// The base models of an engine of ours, if its service has several.
fn host_told(knowledge: &Knowledge, owned: &OwnedEngine, in_flight: u32) -> Option<HostTold> {
    let upstream = knowledge.upstream(&owned.id)?;
    let service = knowledge.service(&upstream.service)?;
    let spec = service.engine.as_ref()?;
    if spec.models.len() < 2 {
        return None;
    }
    let models = owned.hosted_models().into_iter().map(|hosted| {
        let model = ModelRef::of_base(hosted.name);
        let adapters = u8::try_from(hosted.adapters).unwrap_or(u8::MAX);
        (model.digest(), adapters)
    });
    Some(HostTold {
        models: models.collect(),
        can_change: owned.change() > 0 && knowledge.takes_loads(owned),
        is_changing: owned.is_changing_model(),
        uses_store: owned.uses_store(store_use(spec)),
        in_flight,
    })
}

/// Adapters that an engine of ours could take now.
pub(crate) fn room(knowledge: &Knowledge, owned: &OwnedEngine) -> u8 {
    let upstream = knowledge.upstream(&owned.id);
    let service = upstream.and_then(|upstream| knowledge.service(&upstream.service));
    let Some(spec) = service.as_ref().and_then(|service| service.engine.as_ref()) else {
        return 0;
    };
    let holdings = owned.holdings();
    let adapters = holdings.models.iter().flat_map(HeldModel::adapter_refs);
    let in_use = adapters.filter(|adapter| knowledge.is_in_use(owned, adapter));
    let taken = in_use.count() + owned.loads_ahead().len();
    let left = spec.adapters_beside(&holdings).saturating_sub(taken);
    u8::try_from(left).unwrap_or(u8::MAX)
}
