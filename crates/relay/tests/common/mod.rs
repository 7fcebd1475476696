//! Helpers that build upstreams, reports and lists for tests.

#![allow(dead_code, reason = "no test file uses all of them")]

use std::sync::Arc;

use nutmegsail_relay::{
    HeldAdapter, HeldModel, Holdings, LoadReport, LocalWeights, Upstream, UpstreamState,
};

/// Holdings of an engine: version 1 of the base model `base` with version 1 of each adapter.
pub fn holdings(adapters: &[&str]) -> Holdings {
    let held = adapters.iter().map(|name| HeldAdapter {
        name: (*name).into(),
        version: 1,
    });
    Holdings {
        models: vec![HeldModel {
            name: "base".into(),
            version: 1,
            adapters: held.collect(),
        }],
    }
}

/// An engine of the service `engines` in the failure domain `here`.
pub fn engine(id: &str, adapters: &[&str]) -> Upstream {
    Upstream {
        id: id.into(),
        name: id.into(),
        started_ms: None,
        service: "engines".into(),
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: "here".into(),
        software: "v1".into(),
        slots: 64,
        state: UpstreamState::Ready,
        holdings: holdings(adapters),
        local_weights: LocalWeights::default(),
    }
}

/// The same in another failure domain.
pub fn far_engine(id: &str, adapters: &[&str]) -> Upstream {
    Upstream {
        failure_domain: "there".into(),
        ..engine(id, adapters)
    }
}

/// An upstream of the service `plain`.
pub fn plain(id: &str) -> Upstream {
    Upstream {
        service: "plain".into(),
        slots: 6,
        holdings: Holdings::default(),
        ..engine(id, &[])
    }
}

/// A load report whose pending prompt tokens are all from other nodes.
pub fn report(pending_prompt_tokens: u64, received_at: std::time::Instant) -> LoadReport {
    LoadReport {
        in_flight_of_others: 0,
        pending_prompt_tokens_of_others: pending_prompt_tokens,
        loading: Vec::new(),
        recent_changes: Vec::new(),
        free_adapter_slots: 1,
        takes_loads: true,
        received_at,
    }
}

/// Upstreams as the dispatcher takes them.
pub fn list(upstreams: impl IntoIterator<Item = Upstream>) -> Vec<Arc<Upstream>> {
    upstreams.into_iter().map(Arc::new).collect()
}
