//! Grants the slots of plain upstreams, and the turns at rate-limited upstreams, that this node is
//! responsible for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{SlotAnswer, SlotGate, SlotIssuers, Upstream};

use super::control_state::ControlState;
use crate::traffic_message::{SlotAskId, SlotMessage};

/// Above this many gates, idle ones are dropped.
const GATES_CLEANUP_SIZE: usize = 256;

type Gates = HashMap<UpstreamId, SlotGate<(SocketAddr, SlotAskId)>>;

/// The slots of an engine's gate: the engine has a queue of its own, so only its rate limit applies
/// here.
const UNLIMITED_SLOTS: u32 = u32::MAX;

/// The slots and rate-limited turns that this node grants, and the slot issuers of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// The gates of upstreams for which other nodes ask this one.
    gates: RefCell<Gates>,
    /// The nodes that grant the slots, turns and prompts of upstreams.
    issuers: RefCell<SlotIssuers>,
}

impl ControlState {
    /// The slot issuer of each plain or rate-limited upstream, and of each engine whose prompts may
    /// be paced: the node that grants its slots, turns and prompts.
    ///
    /// Issuers are chosen by hash, so nodes with the same list of nodes choose alike without a
    /// message. While their lists differ, two nodes may grant the same slots, and the upstream
    /// queues the excess. A node whose list is empty grants its own slots: without an issuer it
    /// would refuse requests that can wait for one.
    pub(crate) fn slot_issuers(&self) -> Arc<HashMap<UpstreamId, SocketAddr>> {
        let upstreams = self.upstreams.borrow();
        let mut issuers = self.slots.issuers.borrow_mut();
        issuers.set_nodes(&self.nodes.borrow());
        issuers.retain(|upstream| upstreams.contains_key(upstream));
        let limits = self.shared.limits();
        let table = self.table.borrow();
        let paced = table.as_ref().map(|table| table.paced_services());
        let is_paced = |service| paced.as_ref().is_some_and(|paced| paced.contains(service));
        let gated = upstreams.values().filter(|upstream| {
            let is_limited = limits.per_s(&upstream.id).is_some();
            let is_gated = is_limited || self.shared.is_brittle(&upstream.service);
            let is_gated = is_gated || is_paced(&upstream.service);
            upstream.takes_work() && (is_gated || self.is_plain(upstream))
        });
        let own_address = self.settings.nodes_address;
        let found = gated.map(|upstream| {
            let issuer = issuers.issuer(upstream).unwrap_or(own_address);
            (upstream.id.clone(), issuer)
        });
        Arc::new(found.collect())
    }

    fn new_gate(&self, slots: u32) -> SlotGate<(SocketAddr, SlotAskId)> {
        let gate = SlotGate::new(slots);
        match &self.settings.shedding {
            Some(shedding) => gate.with_late_worth(shedding.worths()),
            None => gate,
        }
    }

    fn is_plain(&self, upstream: &Upstream) -> bool {
        let service = self.service(&upstream.service);
        service.is_some_and(|service| service.engine.is_none())
    }

    /// Grants the turns that are due at rate-limited upstreams; the grants are passed to `send`.
    pub(crate) fn grant_due_turns(&self, send: impl Fn(SlotMessage, SocketAddr)) {
        let (mut gates, now) = (self.slots.gates.borrow_mut(), Instant::now());
        let limits = self.shared.limits();
        for (upstream, gate) in gates.iter_mut() {
            let per_s = limits.per_s(upstream);
            let service = self.upstream(upstream).map(|known| known.service.clone());
            let is_brittle = service.is_some_and(|service| self.shared.is_brittle(&service));
            gate.set_brittle(is_brittle, now);
            if per_s.is_none() && !gate.is_limited() {
                // Without a rate limit, slots are granted when others are released.
                continue;
            }
            gate.set_rate(per_s, now);
            send_answers(upstream, gate.grant_due(now), &send);
        }
    }

    /// Handles a message about slots; answers are passed to `send`.
    pub(crate) fn handle_slot_message(
        &self,
        message: SlotMessage,
        sender: SocketAddr,
        send: impl Fn(SlotMessage, SocketAddr),
    ) {
        let mut gates = self.slots.gates.borrow_mut();
        let now = Instant::now();
        match message {
            SlotMessage::Ask {
                id,
                upstream,
                ask,
                limit,
            } => {
                let Some(known) = self.upstream(&upstream) else {
                    return;
                };
                let is_brittle = self.shared.is_brittle(&known.service);
                let slots = match is_brittle || self.is_plain(&known) {
                    true => known.slots,
                    false => UNLIMITED_SLOTS,
                };
                let mut limits = self.shared.limits();
                if let Some(limit) = limit {
                    limits.take(&limit, now);
                }
                let per_s = limits.per_s(&upstream);
                drop(limits);
                if gates.len() > GATES_CLEANUP_SIZE {
                    gates.retain(|_, gate| !gate.is_idle());
                }
                let gate = gates.entry(upstream.clone());
                let gate = gate.or_insert_with(|| self.new_gate(slots));
                gate.set_slots(slots);
                gate.set_rate(per_s, now);
                gate.set_brittle(is_brittle, now);
                let answer = gate.ask((sender, id), ask, now);
                let answers = iter::once(((sender, id), answer)).chain(gate.take_refused());
                send_answers(&upstream, answers, &send);
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
                send_answers(&upstream, gate.release(&(sender, id), took, now), &send);
            }
            SlotMessage::End { id, upstream, end } => {
                if let Some(gate) = gates.get_mut(&upstream) {
                    send_answers(&upstream, gate.end(&(sender, id), end, now), &send);
                }
            }
            SlotMessage::Renew { upstream, ids } => {
                let Some(known) = self.upstream(&upstream) else {
                    return;
                };
                if self.shared.is_brittle(&known.service) {
                    let gate = gates.entry(upstream);
                    let gate = gate.or_insert_with(|| self.new_gate(known.slots));
                    gate.set_slots(known.slots);
                    gate.set_brittle(true, now);
                    for id in ids {
                        gate.renew((sender, id), now);
                    }
                }
            }
            SlotMessage::Answer { .. } => {}
        }
    }
}

fn send_answers(
    upstream: &UpstreamId,
    answers: impl IntoIterator<Item = ((SocketAddr, SlotAskId), SlotAnswer)>,
    send: &impl Fn(SlotMessage, SocketAddr),
) {
    for ((node, id), answer) in answers {
        let answer = SlotMessage::Answer {
            id,
            upstream: upstream.clone(),
            answer,
        };
        send(answer, node);
    }
}
