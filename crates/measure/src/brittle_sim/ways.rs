//! How nodes share the room of brittle upstreams.

use std::collections::BTreeMap;
use std::time::Instant;

use nutmegsail_relay::{SlotAnswer, SlotEnd, SlotGate, SlotRequest};

/// How long a request may wait and be in time.
const IN_TIME_MS: u32 = 600;

/// A way to share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BrittleWay {
    /// One node grants the slots of an upstream, and no more than it takes. Nodes that do not reach
    /// the granting node use equal shares of half the slots.
    Gate,
    /// One node grants the slots, and some more, as the upstream's queue refuses the rest.
    UsualGate,
    /// Each node has an equal share of the slots.
    EqualShares,
    /// Slots are ignored.
    Ignored,
}

/// What the nodes know of one upstream's slots.
pub(crate) struct Slots {
    way: BrittleWay,
    slots: u32,
    gate: SlotGate<u32>,
    /// Requests of each node that are there or on their way.
    in_flight: Vec<u32>,
    /// The node of each request that was granted a slot.
    held: BTreeMap<u32, usize>,
}

impl Slots {
    pub(crate) fn new(way: BrittleWay, slots: u32, nodes: usize) -> Self {
        Self {
            way,
            slots,
            gate: SlotGate::new(slots),
            in_flight: vec![0; nodes],
            held: BTreeMap::new(),
        }
    }

    /// Applies what the nodes know of the upstream.
    pub(crate) fn set_brittle(&mut self, is_brittle: bool, now: Instant) {
        if self.way == BrittleWay::Gate {
            self.gate.set_brittle(is_brittle, now);
        }
    }

    /// The granting node is replaced by one that knows of no grants.
    pub(crate) fn replace_granting_node(&mut self) {
        self.gate = SlotGate::new(self.slots);
    }

    /// Renews the slots that are held, for the nodes that reach the granting node.
    pub(crate) fn renew(&mut self, is_heard: impl Fn(usize) -> bool, now: Instant) {
        for (key, node) in &self.held {
            if is_heard(*node) {
                self.gate.renew(*key, now);
            }
        }
    }

    /// Whether `node` may send a request.
    pub(crate) fn ask(&mut self, node: usize, key: u32, is_heard: bool, now: Instant) -> bool {
        let shared = match self.way {
            BrittleWay::EqualShares => self.slots,
            _ => self.slots / 2,
        };
        let share = shared / self.in_flight.len() as u32;
        let is_granted = match self.way {
            BrittleWay::Ignored => true,
            BrittleWay::UsualGate if !is_heard => true,
            BrittleWay::Gate | BrittleWay::UsualGate if is_heard => {
                let ask = SlotRequest {
                    due_in_ms: IN_TIME_MS,
                    wait_limit_ms: IN_TIME_MS,
                    may_queue: false,
                    priority: 0,
                };
                let is_granted = self.gate.ask(key, ask, now) == SlotAnswer::Granted;
                if is_granted {
                    self.held.insert(key, node);
                }
                is_granted
            }
            _ => self.in_flight[node] < share,
        };
        self.in_flight[node] += u32::from(is_granted);
        is_granted
    }

    /// Records that a granted request has ended. The granting node learns of it if `is_heard`.
    pub(crate) fn end(
        &mut self,
        node: usize,
        key: u32,
        end: Option<SlotEnd>,
        is_heard: bool,
        now: Instant,
    ) {
        self.in_flight[node] -= 1;
        self.held.remove(&key);
        if is_heard {
            match end {
                Some(end) => drop(self.gate.end(&key, end, now)),
                None => drop(self.gate.release(&key, None, now)),
            }
        }
    }
}
