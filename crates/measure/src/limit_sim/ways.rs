//! How nodes share what an upstream takes.

use std::time::{Duration, Instant};

use nutmegsail_relay::{RateBucket, SlotAnswer, SlotGate, SlotRequest};

/// How long a request may wait for its turn and be in time.
const IN_TIME_MS: u32 = 600;

/// How much a node's demand of one second moves its share.
const DEMAND_STEP: f64 = 0.3;

/// A way to keep a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitWay {
    /// One node hands out turns; while it is not heard, nodes keep to equal shares.
    Turns,
    /// Each node has an equal part.
    EqualShares,
    /// Each node has a part that follows what was asked of it, told each second.
    DemandShares,
    /// Nobody keeps it.
    Ignored,
}

/// What all nodes know of one upstream's limit.
pub(crate) struct Keeper {
    way: LimitWay,
    nodes: usize,
    per_s: Option<f64>,
    gate: SlotGate<u32>,
    shares: Vec<Option<RateBucket>>,
    /// What was asked of each node lately, and in the present second.
    demand: Vec<f64>,
    asked: Vec<u32>,
    asks: u32,
    pub(crate) messages: u64,
}

impl Keeper {
    pub(crate) fn new(way: LimitWay, nodes: usize) -> Self {
        Self {
            way,
            nodes,
            per_s: None,
            gate: SlotGate::new(u32::MAX),
            shares: vec![None; nodes],
            demand: vec![0.0; nodes],
            asked: vec![0; nodes],
            asks: 0,
            messages: 0,
        }
    }

    /// Takes in the limit that the nodes know.
    pub(crate) fn set_limit(&mut self, per_s: Option<f64>, now: Instant) {
        if self.per_s != per_s {
            self.per_s = per_s;
            self.gate.set_rate(per_s, now);
            self.messages += self.nodes as u64;
        }
    }

    /// The node that hands out turns starts anew.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.gate = SlotGate::new(u32::MAX);
        self.gate.set_rate(self.per_s, now);
    }

    /// Whether `node` may send a request.
    pub(crate) fn ask(&mut self, node: usize, is_handing_heard: bool, now: Instant) -> bool {
        let Some(per_s) = self.per_s else {
            return true;
        };
        self.asked[node] += 1;
        match self.way {
            LimitWay::Ignored => true,
            LimitWay::Turns if is_handing_heard => {
                self.shares[node] = None;
                self.asks += 1;
                self.messages += 2;
                let ask = SlotRequest {
                    due_in_ms: IN_TIME_MS,
                    wait_limit_ms: IN_TIME_MS,
                    may_queue: false,
                    priority: 0,
                };
                self.gate.ask(self.asks, ask, now) == SlotAnswer::Granted
            }
            LimitWay::Turns | LimitWay::EqualShares => {
                self.take_share(node, per_s / self.nodes as f64, now)
            }
            LimitWay::DemandShares => {
                let all: f64 = self.demand.iter().sum();
                let part = match all > 0.0 {
                    true => self.demand[node] / all,
                    false => 1.0 / self.nodes as f64,
                };
                self.take_share(node, per_s * part, now)
            }
        }
    }

    /// Takes in that a second has passed.
    pub(crate) fn second(&mut self) {
        for (demand, asked) in self.demand.iter_mut().zip(&mut self.asked) {
            *demand += DEMAND_STEP * (f64::from(std::mem::take(asked)) - *demand);
        }
        if self.way == LimitWay::DemandShares && self.per_s.is_some() {
            self.messages += 2 * self.nodes as u64;
        }
    }

    fn take_share(&mut self, node: usize, per_s: f64, now: Instant) -> bool {
        let share = self.shares[node].get_or_insert_with(|| RateBucket::new(per_s, now));
        share.set_rate(per_s.max(1e-6), now);
        share.take(now)
    }
}

/// How long after it was named each node knows of a limit: its own answers tell, or the handing
/// node.
pub(crate) const LEARNED_AFTER: Duration = Duration::from_millis(150);
