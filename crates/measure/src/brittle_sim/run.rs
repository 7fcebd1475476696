//! One run of a fleet before brittle upstreams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use nutmegsail_relay::SlotEnd;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::upstream::{Arrival, BrittleUpstream};
use super::ways::{BrittleWay, Slots};

const LENGTH_MS: u64 = 30_000;

/// When the upstreams announce that they are brittle, and when each node knows it.
const ANNOUNCED_MS: u64 = 5_000;
const KNOWN_MS: u64 = ANNOUNCED_MS + 150;

/// From when on falls are counted.
const COUNTED_MS: u64 = ANNOUNCED_MS + 3_000;

/// The slots of an upstream by its entry, and how many of them it has while it is brittle.
const SLOTS: u32 = 8;
const ROOM: usize = 6;

/// How long a request runs, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 200..600;
const MEAN_RUN_MS: f64 = 400.0;

/// What callers ask for, as a multiple of what all upstreams have room for.
const DEMAND: f64 = 2.0;

/// How long a message between nodes, or a request, is on its way, in milliseconds.
const LATENCY_MS: u64 = 2;

/// How often nodes tell granting nodes what they hold, in milliseconds.
const RENEWAL_MS: u64 = 250;

/// How many upstreams a request tries.
const MAX_TRIED: usize = 3;

/// A fleet and what befalls it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrittleScenario {
    pub(crate) nodes: usize,
    pub(crate) upstreams: usize,
    /// Whether all granting nodes are replaced at second 15, and a third of the nodes is cut off from them from second 20
    /// to 24.
    pub(crate) has_faults: bool,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BrittleRun {
    /// How often upstreams fell over, as a part of what is allowed: two, and a tenth of their number.
    pub(crate) falls_of_allowed: f64,
    /// How many requests were answered, as a part of what all upstreams have room for.
    pub(crate) served_share: f64,
}

/// A request that was granted a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    key: u32,
    node: usize,
    upstream: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrives,
    /// Its run ends; with the number of the fall after which it began.
    Ends(u32),
}

pub(crate) fn simulate(scenario: BrittleScenario, way: BrittleWay, seed: u64) -> BrittleRun {
    let mut fleet = Fleet::new(scenario, way, seed);
    let arrivals_per_ms = DEMAND * (scenario.upstreams * ROOM) as f64 / MEAN_RUN_MS;
    let mut due = 0.0;
    for now_ms in 0..LENGTH_MS {
        fleet.apply_changes(now_ms);
        fleet.run_steps(now_ms);
        due += arrivals_per_ms;
        while due >= 1.0 {
            due -= 1.0;
            fleet.call(now_ms);
        }
    }
    let allowed = 2.0 + scenario.upstreams as f64 / 10.0;
    let counted_ms = (LENGTH_MS - COUNTED_MS) as f64;
    let capacity = (scenario.upstreams * ROOM) as f64 / MEAN_RUN_MS * counted_ms;
    BrittleRun {
        falls_of_allowed: f64::from(fleet.falls) / allowed,
        served_share: f64::from(fleet.served) / capacity,
    }
}

struct Fleet {
    scenario: BrittleScenario,
    random: ChaCha8Rng,
    origin: Instant,
    upstreams: Vec<BrittleUpstream>,
    slots: Vec<Slots>,
    steps: BinaryHeap<Reverse<(u64, Sent, Step)>>,
    last_key: u32,
    falls: u32,
    served: u32,
}

impl Fleet {
    fn new(scenario: BrittleScenario, way: BrittleWay, seed: u64) -> Self {
        let slots = || Slots::new(way, SLOTS, scenario.nodes);
        Self {
            scenario,
            random: ChaCha8Rng::seed_from_u64(seed),
            origin: Instant::now(),
            upstreams: vec![BrittleUpstream::default(); scenario.upstreams],
            slots: (0..scenario.upstreams).map(|_| slots()).collect(),
            steps: BinaryHeap::new(),
            last_key: 0,
            falls: 0,
            served: 0,
        }
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.origin + Duration::from_millis(now_ms)
    }

    fn apply_changes(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        if now_ms.is_multiple_of(50) {
            for slots in &mut self.slots {
                slots.set_brittle(now_ms >= KNOWN_MS, now);
            }
        }
        if now_ms % RENEWAL_MS == RENEWAL_MS / 2 {
            let scenario = self.scenario;
            for slots in &mut self.slots {
                slots.renew(|node| scenario.is_heard(node, now_ms), now);
            }
        }
        if self.scenario.has_faults && now_ms == 15_000 {
            self.slots.iter_mut().for_each(Slots::replace_granting_node);
            for slots in &mut self.slots {
                slots.set_brittle(true, now);
            }
        }
    }

    /// A caller's request comes to a node, which sends it to an upstream with a slot, if there is one.
    fn call(&mut self, now_ms: u64) {
        let node = self.random.random_range(0..self.scenario.nodes);
        let is_heard = self.scenario.is_heard(node, now_ms);
        self.last_key += 1;
        for _ in 0..MAX_TRIED {
            let upstream = self.random.random_range(0..self.scenario.upstreams);
            if self.upstreams[upstream].is_away(now_ms) {
                continue;
            }
            let now = self.at(now_ms);
            if self.slots[upstream].ask(node, self.last_key, is_heard, now) {
                let sent = Sent {
                    key: self.last_key,
                    node,
                    upstream,
                };
                let arrives_ms = now_ms + 3 * LATENCY_MS;
                self.steps.push(Reverse((arrives_ms, sent, Step::Arrives)));
                return;
            }
        }
    }

    fn run_steps(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, sent, step))) = self.steps.peek().copied() {
            if at_ms > now_ms {
                return;
            }
            self.steps.pop();
            match step {
                Step::Arrives => self.arrive(sent, now_ms),
                Step::Ends(falls) => {
                    let is_answered = self.upstreams[sent.upstream].finish(falls);
                    self.served += u32::from(is_answered && now_ms >= COUNTED_MS);
                    self.end(sent, None, now_ms);
                }
            }
        }
    }

    fn arrive(&mut self, sent: Sent, now_ms: u64) {
        let is_brittle = now_ms >= ANNOUNCED_MS;
        let room = if is_brittle { ROOM } else { SLOTS as usize };
        let upstream = &mut self.upstreams[sent.upstream];
        match upstream.arrive(room, is_brittle, now_ms) {
            Arrival::Taken => {
                let ends_ms = now_ms + self.random.random_range(RUN_MS);
                let step = Step::Ends(upstream.falls);
                self.steps.push(Reverse((ends_ms, sent, step)));
            }
            Arrival::Refused => self.end(sent, Some(SlotEnd::Refused), now_ms),
            Arrival::Away => self.end(sent, None, now_ms),
            Arrival::Fell => {
                self.falls += u32::from(now_ms >= COUNTED_MS);
                self.end(sent, Some(SlotEnd::Refused), now_ms);
            }
        }
    }

    fn end(&mut self, sent: Sent, end: Option<SlotEnd>, now_ms: u64) {
        let now = self.at(now_ms + LATENCY_MS);
        let is_heard = self.scenario.is_heard(sent.node, now_ms);
        self.slots[sent.upstream].end(sent.node, sent.key, end, is_heard, now);
    }
}

impl BrittleScenario {
    /// Whether messages between a node and the granting nodes arrive.
    fn is_heard(&self, node: usize, now_ms: u64) -> bool {
        let is_cut = (20_000..24_000).contains(&now_ms) && node.is_multiple_of(3);
        !self.has_faults || !is_cut
    }
}
