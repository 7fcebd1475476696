//! Aggregation of the loads of all engines by one node per failure domain.
//!
//! In a large fleet a node uses few engines at a time and gets updates only from their owners.
//! Without reports of the other engines it would take them for idle, and its requests would queue
//! behind those of other nodes. If every owner sent its reports to every node, traffic would grow with the
//! square of the number of nodes. Owners therefore send them to the node that also reads the store
//! for their failure domain. It passes them on to the other nodes of its domain, and less often to
//! the other domains. While nodes differ in which node that is, several pass loads on; none passes
//! on what another one has, as the loads would go round between them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{
    DomainAge, HoldingsReport, IdleFilter, NodeRecord, RemoteLoadFilter, readers_by_domain,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::control_state::ControlState;
use super::engine_load::EngineLoad;
use crate::shared::EngineUpdate;

/// How long a load is passed on after it was reported; an owner sends ten reports in this time.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_000);

/// A short hash that replaces an engine's id in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct EngineDigest(u32);

impl EngineDigest {
    pub(super) fn of(engine: &UpstreamId) -> Self {
        Self(xxh3_64(engine.as_str().as_bytes()) as u32)
    }
}

/// The loads of some engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadBatch {
    loads: Vec<(EngineDigest, EngineLoad)>,
    /// The sender's last contacts with each failure domain; sent only within its own domain.
    domains: Vec<DomainAge>,
    /// The sender's estimate of the load time in milliseconds, if it has learned one.
    pub(super) load_ms: Option<f32>,
}

impl LoadBatch {
    fn of(loads: Vec<(EngineDigest, EngineLoad)>) -> Self {
        Self {
            loads,
            domains: Vec::new(),
            load_ms: None,
        }
    }
}

/// A load and when it was received.
#[derive(Clone, Debug)]
struct ReceivedLoad {
    load: EngineLoad,
    came: Instant,
    /// Whether the load came from an owner of this failure domain, this node included.
    is_local: bool,
    /// Whether the load was received since the last interval.
    is_new: bool,
}

/// The loads that this node has received and passes on.
#[derive(Debug, Default)]
pub(crate) struct LoadAggregator {
    loads: HashMap<EngineDigest, ReceivedLoad>,
    idle_filter: IdleFilter<EngineDigest>,
    remote_filter: RemoteLoadFilter<EngineDigest>,
}

impl LoadAggregator {
    /// The messages to send now, with their addresses, including the loads of this node's `own`
    /// engines.
    pub(crate) fn next_messages(
        &mut self,
        control: &ControlState,
        own: Vec<(UpstreamId, EngineLoad)>,
    ) -> Vec<(LoadBatch, SocketAddr)> {
        let own = own.into_iter();
        let own: Vec<_> = own
            .map(|(engine, load)| (EngineDigest::of(&engine), load))
            .collect();
        let Some(aggregating_node) = control.load_aggregator() else {
            return self.aggregate(control, own);
        };
        // Only an aggregating node keeps the loads that it received.
        self.loads.clear();
        match own.is_empty() {
            true => Vec::new(),
            false => vec![(LoadBatch::of(own), aggregating_node)],
        }
    }

    fn aggregate(
        &mut self,
        control: &ControlState,
        own: Vec<(EngineDigest, EngineLoad)>,
    ) -> Vec<(LoadBatch, SocketAddr)> {
        let now = Instant::now();
        self.loads
            .retain(|_, received| now.duration_since(received.came) < LOAD_LIFETIME);
        for (engine, load) in own {
            self.put(engine, load, true);
        }
        let known = self.loads.iter();
        let known = known.map(|(engine, received)| (*engine, received.load.is_idle()));
        let due = self.idle_filter.due_engines(known);
        let local = due.iter().filter_map(|engine| {
            let received = self.loads.get(engine)?;
            received
                .is_local
                .then_some((*engine, received.load.in_flight))
        });
        let local: Vec<_> = local.collect();
        let to_remote = self.remote_filter.due_engines(local);
        let local = self.batch(&to_remote, |received| received.is_local);
        let mut all = self.batch(&due, |received| received.is_local || received.is_new);
        for received in self.loads.values_mut() {
            received.is_new = false;
        }
        all.domains = control.domain_contacts.borrow().ages(now);
        let nodes = control.nodes.borrow();
        let own_domain = &control.settings.failure_domain;
        let own_node = &control.settings.node;
        let others = nodes.values().filter(|node| node.node != *own_node);
        let (local_nodes, remote): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            others.partition(|node| node.failure_domain == *own_domain);
        let mut messages: Vec<(LoadBatch, SocketAddr)> = local_nodes
            .iter()
            .map(|node| (all.clone(), node.address))
            .collect();
        if !to_remote.is_empty() {
            let aggregators = readers_by_domain(remote)
                .into_values()
                .filter_map(|nodes| nodes.into_iter().next());
            messages.extend(aggregators.map(|node| (local.clone(), node.address)));
        }
        messages
    }

    fn put(&mut self, engine: EngineDigest, load: EngineLoad, is_local: bool) {
        let received = ReceivedLoad {
            load,
            came: Instant::now(),
            is_local,
            is_new: true,
        };
        self.loads.insert(engine, received);
    }

    /// The loads of those of `engines` for which `includes` returns true.
    fn batch(
        &self,
        engines: &[EngineDigest],
        includes: impl Fn(&ReceivedLoad) -> bool,
    ) -> LoadBatch {
        let loads = engines.iter().filter_map(|engine| {
            let received = self.loads.get(engine)?;
            includes(received).then(|| (*engine, received.load.clone()))
        });
        LoadBatch::of(loads.collect())
    }

    /// Applies loads that an owner or an aggregating node sent.
    pub(crate) fn apply(&mut self, control: &ControlState, from: &NodeId, batch: LoadBatch) {
        control.apply_domain_contacts(&batch.domains);
        if let Some(load_ms) = batch.load_ms {
            control.apply_load_time(load_ms);
        }
        let own_domain = &control.settings.failure_domain;
        let is_remote = {
            let nodes = control.nodes.borrow();
            let sender = nodes.get(from);
            sender.is_some_and(|sender| sender.failure_domain != *own_domain)
        };
        let owners = control.owners.borrow();
        let upstreams = control.upstreams.borrow();
        let known: HashMap<EngineDigest, &UpstreamId> = upstreams
            .keys()
            .map(|id| (EngineDigest::of(id), id))
            .collect();
        for (engine, load) in batch.loads {
            let Some(id) = known.get(&engine) else {
                continue;
            };
            let is_local = upstreams
                .get(*id)
                .is_some_and(|upstream| upstream.failure_domain == *own_domain);
            let is_from_owner = owners.get(*id).is_some_and(|owner| owner.node == *from);
            if is_remote || is_from_owner {
                self.put(engine, load.clone(), is_local);
            }
            publish_load(control, id, load);
        }
    }
}

/// Passes a load on to the traffic thread, unless the engine's owner reports to this node itself.
fn publish_load(control: &ControlState, engine: &UpstreamId, load: EngineLoad) {
    if control.owned(engine).is_some() || control.has_recent_owner_report(engine) {
        return;
    }
    control.record_transfers(engine, load.transfers);
    if let Some(host) = load.host.clone() {
        control.record_host_report(engine, host);
    }
    // Aggregated messages contain the holdings' version number, but not the holdings.
    let is_known = load.holdings_version > 0
        && load.holdings_version == control.known_holdings_version(engine);
    let holdings = match is_known {
        true => HoldingsReport::Unchanged,
        false => HoldingsReport::NotReported,
    };
    // The aggregated load includes this node's own requests; subtract them.
    let own_usage = control.shared.usages.current_load(engine);
    let mut report = load.into_report();
    report.in_flight_of_others = report.in_flight_of_others.saturating_sub(own_usage.0);
    report.pending_prompt_tokens_of_others = report
        .pending_prompt_tokens_of_others
        .saturating_sub(own_usage.1);
    control.shared.owner_updates.put(EngineUpdate {
        engine: engine.clone(),
        report,
        holdings,
    });
}
