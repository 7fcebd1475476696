//! This node's own state, and the summary and status report derived from it.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmegsail_base::{FailureDomain, Incarnation, NodeId};

use crate::domains::{OtherDomainStatus, OtherDomains};
use crate::peers::Peers;
use crate::{
    BeatKey, Contact, DomainStatus, DomainSummary, GenerationCount, LiveNode, NodeState,
    StatusReport, UpstreamNotice,
};

/// Limits the generations in a domain's summary.
const MAX_COUNTED_GENERATIONS: usize = 4;
/// Limits the unreachable nodes in a domain's summary.
const MAX_NAMED_UNREACHABLE: usize = 8;

/// The state of this node that it sends to others.
#[derive(Clone, Debug)]
pub(crate) struct OwnState {
    pub(crate) node: NodeId,
    pub(crate) address: Arc<str>,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) incarnation: Incarnation,
    pub(crate) beat: u64,
    pub(crate) state: NodeState,
    pub(crate) is_listed_leaving: bool,
    pub(crate) generation: u64,
    pub(crate) digest: Arc<str>,
}

impl OwnState {
    pub(crate) fn new(
        node: NodeId,
        address: Arc<str>,
        failure_domain: FailureDomain,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            node,
            address,
            failure_domain,
            incarnation,
            beat: 0,
            state: NodeState::Starting,
            is_listed_leaving: false,
            generation: 0,
            digest: "".into(),
        }
    }

    /// Whether `key` identifies this node.
    pub(crate) fn is_key(&self, key: BeatKey) -> bool {
        key == BeatKey::new(&self.node, self.incarnation)
    }

    /// Returns this node as a live node if it may own engines.
    pub(crate) fn live_node(&self) -> Option<LiveNode> {
        let is_live = self.state == NodeState::Ready && !self.is_listed_leaving;
        is_live.then(|| LiveNode {
            node: self.node.clone(),
            incarnation: self.incarnation,
            address: Arc::clone(&self.address),
        })
    }
}

/// Creates the summary of the own failure domain for the other domains.
pub(crate) fn own_summary(
    own: &OwnState,
    peers: &Peers,
    upstreams: Vec<UpstreamNotice>,
) -> DomainSummary {
    let counts = generation_counts(own, peers);
    let highest = counts.into_iter().rev().take(MAX_COUNTED_GENERATIONS);
    let unreachable = peers.unreachable_nodes().take(MAX_NAMED_UNREACHABLE);
    DomainSummary {
        failure_domain: own.failure_domain.clone(),
        age_ms: 0,
        nodes: node_count(peers),
        at_generation: highest
            .map(|(generation, nodes)| GenerationCount { generation, nodes })
            .collect(),
        unreachable: unreachable.cloned().collect(),
        digest: Arc::clone(&own.digest),
        generation: own.generation,
        contacts: vec![Contact {
            node: own.node.clone(),
            address: Arc::clone(&own.address),
        }],
        upstreams,
    }
}

/// Creates the status report with this node's view of the deployment.
pub(crate) fn own_status(own: &OwnState, peers: &Peers, domains: &OtherDomains) -> StatusReport {
    let own_domain = DomainStatus {
        failure_domain: own.failure_domain.clone(),
        nodes: node_count(peers),
        at_generation: generation_counts(own, peers),
        unreachable: peers.unreachable_nodes().cloned().collect(),
    };
    let mut all = vec![own_domain];
    all.extend(domains.statuses().map(|other| other_status(&other)));
    all.sort_by(|a, b| a.failure_domain.cmp(&b.failure_domain));
    StatusReport {
        node: own.node.clone(),
        failure_domain: own.failure_domain.clone(),
        generation: own.generation,
        digest: Arc::clone(&own.digest),
        is_ready: own.state == NodeState::Ready,
        is_leaving: own.state == NodeState::Leaving,
        domains: all,
    }
}

fn other_status(other: &OtherDomainStatus<'_>) -> DomainStatus {
    let failure_domain = other.failure_domain.clone();
    let reachable_summary = other.summary.filter(|_| !other.is_unreachable);
    if let Some(summary) = reachable_summary {
        let counts = summary.at_generation.iter();
        return DomainStatus {
            failure_domain,
            nodes: summary.nodes,
            at_generation: counts.map(|c| (c.generation, c.nodes)).collect(),
            unreachable: summary.unreachable.clone(),
        };
    }
    let contacts = u32::try_from(other.contacts.len()).unwrap_or(u32::MAX);
    DomainStatus {
        failure_domain,
        nodes: other.summary.map_or(contacts, |summary| summary.nodes),
        at_generation: BTreeMap::new(),
        unreachable: other.contacts.keys().cloned().collect(),
    }
}

fn generation_counts(own: &OwnState, peers: &Peers) -> BTreeMap<u64, u32> {
    let mut counts = BTreeMap::from([(own.generation, 1)]);
    for generation in peers.generations() {
        *counts.entry(generation).or_default() += 1;
    }
    counts
}

fn node_count(peers: &Peers) -> u32 {
    let nodes = 1 + peers.reachable_count() + peers.unreachable_nodes().count();
    u32::try_from(nodes).unwrap_or(u32::MAX)
}
