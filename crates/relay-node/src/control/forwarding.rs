//! Nodes that forward requests to each other because they cannot reach upstreams.

use std::sync::atomic::Ordering;
use std::time::Instant;

use nutmegsail_base::{ServiceName, UpstreamId};
use nutmegsail_relay::{FailedOpen, Peer, PeerAnswer, Upstream};

use super::control_state::ControlState;
use crate::stream_origins::OwnNode;
use crate::traffic::MAX_FORWARDED;

impl ControlState {
    /// The other nodes that accept forwarded requests.
    pub(crate) fn peers(&self) -> Vec<Peer> {
        let nodes = self.nodes_with_joined().into_iter();
        let others = nodes.filter(|record| record.node != self.settings.node);
        let peers = others.filter_map(|record| {
            Some(Peer {
                node: record.node,
                failure_domain: record.failure_domain,
                address: record.address,
                forward_address: record.forward_address?,
            })
        });
        peers.collect()
    }

    /// This node, as its peers know it.
    pub(crate) fn own_node(&self) -> OwnNode<'_> {
        OwnNode {
            node: &self.settings.node,
            failure_domain: &self.settings.failure_domain,
        }
    }

    /// Answers another node that asks which of `services` this node reaches.
    pub(crate) fn answer_forward_ask(&self, services: Vec<ServiceName>) -> PeerAnswer {
        let now = Instant::now();
        let mut reach = self.shared.reach();
        let forwarded = self.shared.forwarded.load(Ordering::Relaxed);
        let free = match self.shared.is_leaving() {
            true => 0,
            false => MAX_FORWARDED.saturating_sub(forwarded),
        };
        for service in &services {
            reach.request_probe(service, now);
        }
        let is_reachable = |service: &ServiceName| reach.has_recent_contact(service, now);
        PeerAnswer {
            reachable: services.into_iter().filter(is_reachable).collect(),
            forwarded: u32::try_from(forwarded).unwrap_or(u32::MAX),
            free: u32::try_from(free).unwrap_or(u32::MAX),
        }
    }

    /// Records whether an engine answered a call of this thread. A node without callers learns from
    /// its calls alone that it cannot reach engines.
    pub(crate) fn record_call(&self, engine: &Upstream, is_answered: bool) {
        let (mut reach, now) = (self.shared.reach(), Instant::now());
        match is_answered {
            true => reach.record_contact(&engine.service, now),
            // The engine may only have been slow, so one such call shows no more than a refusal.
            false => reach.record_failed_open(&engine.service, FailedOpen::Refused, now),
        }
    }

    /// Whether no upstream of the engine's service can be reached from this node.
    pub(crate) fn is_out_of_reach(&self, engine: &UpstreamId) -> bool {
        let upstream = self.upstream(engine);
        upstream.is_some_and(|upstream| self.shared.reach().is_unreachable(&upstream.service))
    }
}
