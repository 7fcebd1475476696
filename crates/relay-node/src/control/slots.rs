//! Hands out the slots of plain upstreams that fall to this node.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{NodeRecord, SlotGate, Upstream};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::knowledge::Knowledge;
use crate::traffic_message::{SlotAskId, SlotMessage};

/// Upstreams whose slots are remembered while nobody asks for them.
const IDLE_GATES: usize = 256;

type Gates = HashMap<UpstreamId, SlotGate<(SocketAddr, SlotAskId)>>;

/// The slots of plain upstreams.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// The gates of the upstreams that other nodes ask this one for.
    gates: RefCell<Gates>,
    /// Which node hands out the slots of each plain upstream.
    nodes: RefCell<Arc<HashMap<UpstreamId, SocketAddr>>>,
    /// The nodes that this was worked out from.
    known: RefCell<HashMap<NodeId, NodeRecord>>,
}

impl Knowledge {
    /// Which node hands out the slots of each plain upstream.
    ///
    /// Chosen by hash, so nodes that know the same ask the same one without a word. Where they differ for
    /// a moment, two nodes hand out the same slots, and the upstream's own queue takes the rest.
    pub(crate) fn slot_nodes(&self) -> Arc<HashMap<UpstreamId, SocketAddr>> {
        let upstreams = self.upstreams.borrow();
        let nodes = self.nodes.borrow();
        let slots = &self.slots;
        let are_new = *slots.known.borrow() != *nodes;
        if are_new {
            slots.known.borrow_mut().clone_from(&nodes);
        }
        let before = Arc::clone(&slots.nodes.borrow());
        let plain = upstreams.values().filter(|upstream| {
            let service = self.service(&upstream.service);
            upstream.takes_work() && service.is_some_and(|service| service.engine.is_none())
        });
        let found = plain.filter_map(|upstream| {
            // Hashing every node for every upstream at each change of the store would cost a large fleet more than
            // the slots are worth.
            let known = before.get(&upstream.id).filter(|_| !are_new).copied();
            let node = || slot_node(upstream, nodes.values()).map(|node| node.address);
            Some((upstream.id.clone(), known.or_else(node)?))
        });
        let found = Arc::new(found.collect());
        slots.nodes.replace(Arc::clone(&found));
        found
    }

    /// Answers a message about slots; what is to be sent goes out through `send`.
    pub(crate) fn take_slot_message(
        &self,
        message: SlotMessage,
        sender: SocketAddr,
        send: impl Fn(SlotMessage, SocketAddr),
    ) {
        let mut gates = self.slots.gates.borrow_mut();
        let now = Instant::now();
        match message {
            SlotMessage::Ask { id, upstream, ask } => {
                let Some(known) = self.upstream(&upstream) else {
                    return;
                };
                if gates.len() > IDLE_GATES {
                    gates.retain(|_, gate| !gate.is_idle());
                }
                let gate = gates.entry(upstream.clone());
                let gate = gate.or_insert_with(|| SlotGate::new(known.slots));
                gate.set_slots(known.slots);
                let answer = gate.ask((sender, id), ask, now);
                let answer = SlotMessage::Answer {
                    id,
                    upstream,
                    answer,
                };
                send(answer, sender);
            }
            SlotMessage::Release {
                id,
                upstream,
                took_ms,
            } => {
                let took = took_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                let Some(gate) = gates.get_mut(&upstream) else {
                    return;
                };
                for ((node, id), answer) in gate.release(&(sender, id), took, now) {
                    let answer = SlotMessage::Answer {
                        id,
                        upstream: upstream.clone(),
                        answer,
                    };
                    send(answer, node);
                }
            }
            SlotMessage::Answer { .. } => {}
        }
    }
}

/// The node of the upstream's failure domain with the highest hash; any node where there is none.
fn slot_node<'a>(
    upstream: &Upstream,
    nodes: impl Iterator<Item = &'a NodeRecord>,
) -> Option<&'a NodeRecord> {
    nodes.max_by_key(|node| {
        let is_near = node.failure_domain == upstream.failure_domain;
        let seed = xxh3_64_with_seed(upstream.id.as_bytes(), 0);
        (is_near, xxh3_64_with_seed(node.node.as_bytes(), seed))
    })
}
