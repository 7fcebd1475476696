//! Policies to compare with: no classes, no knowledge of adapters, retries without a budget.

use std::collections::HashMap;
use std::time::Duration;

use nutmegsail_base::EngineReport;
use nutmegsail_routing::{AdapterAvailability, Outcome};

use super::policy::{Order, Policy, PolicyKind};
use super::request::SimRequest;
use super::scenario::Scenario;

/// Attempts for a request that fails.
const MAX_ATTEMPTS: u32 = 3;
/// Points of each engine on the hash ring.
const RING_POINTS: u64 = 100;

/// Round robin, least in flight, or consistent hashing within a node's failure domain.
#[derive(Debug)]
pub(crate) struct Baseline {
    kind: PolicyKind,
    scenario: Scenario,
    /// By node: which engine is next.
    turn: Vec<usize>,
    /// By node and engine: own requests in flight.
    own: Vec<Vec<u32>>,
    /// By engine: load by the last report.
    reported: Vec<u32>,
    /// By node and engine: own requests sent since the last report.
    since: Vec<Vec<u32>>,
    /// By failure domain: points of the ring in order.
    rings: Vec<Vec<(u64, usize)>>,
    assigned: HashMap<usize, usize>,
}

impl Baseline {
    pub(crate) fn new(kind: PolicyKind, scenario: &Scenario) -> Self {
        let (nodes, engines) = (scenario.nodes(), scenario.engines());
        let rings = (0..scenario.domains).map(|domain| ring(scenario, domain));
        Self {
            kind,
            turn: vec![0; nodes],
            own: vec![vec![0; engines]; nodes],
            reported: vec![0; engines],
            since: vec![vec![0; engines]; nodes],
            rings: rings.collect(),
            assigned: HashMap::new(),
            scenario: scenario.clone(),
        }
    }

    fn choose(&mut self, what: &SimRequest) -> usize {
        let domain = self.scenario.domain_of_node(what.node);
        let count = self.scenario.engines_per_domain;
        let first = domain * count;
        match self.kind {
            PolicyKind::ConsistentHash => {
                let ring = &self.rings[domain];
                let at = hash(what.adapter as u64);
                let index = ring.partition_point(|(point, _)| *point < at);
                ring[index % ring.len()].1
            }
            PolicyKind::LeastInFlight => {
                let load = |engine: &usize| self.reported[*engine] + self.since[what.node][*engine];
                (first..first + count).min_by_key(load).unwrap_or(first)
            }
            _ => {
                self.turn[what.node] += 1;
                first + self.turn[what.node] % count
            }
        }
    }

    fn send(&mut self, request: usize, what: &SimRequest, out: &mut Vec<Order>) {
        let engine = self.choose(what);
        self.own[what.node][engine] += 1;
        self.since[what.node][engine] += 1;
        self.assigned.insert(request, engine);
        let class = what.class;
        out.push(Order::Send {
            request,
            engine,
            class,
        });
    }
}

impl Policy for Baseline {
    fn arrive(&mut self, request: usize, what: &SimRequest, _: Duration, out: &mut Vec<Order>) {
        self.send(request, what, out);
    }

    fn first_token(&mut self, _: usize, _: usize, _: Duration) {}

    fn ended(
        &mut self,
        request: usize,
        what: &SimRequest,
        engine: usize,
        outcome: Outcome,
        _: Duration,
        out: &mut Vec<Order>,
    ) {
        self.own[what.node][engine] -= 1;
        self.assigned.remove(&request);
        if outcome == Outcome::Succeeded {
            return;
        }
        if what.sends < MAX_ATTEMPTS {
            self.send(request, what, out);
        } else {
            out.push(Order::Shed { request });
        }
    }

    fn report(&mut self, engine: usize, report: &EngineReport, _: Duration, _: &mut Vec<Order>) {
        self.reported[engine] = report.in_flight + report.queued;
        for since in &mut self.since {
            since[engine] = 0;
        }
    }

    fn adapter_state(
        &mut self,
        _: usize,
        _: usize,
        _: AdapterAvailability,
        _: Duration,
        _: &mut Vec<Order>,
    ) {
    }

    fn gone(&mut self, _: usize, _: Duration, _: &mut Vec<Order>) {}

    fn tick(&mut self, _: Duration, _: &mut Vec<Order>) {}

    fn sends_before_ready(&self) -> bool {
        true
    }
}

fn ring(scenario: &Scenario, domain: usize) -> Vec<(u64, usize)> {
    let first = domain * scenario.engines_per_domain;
    let engines = first..first + scenario.engines_per_domain;
    let mut points: Vec<_> = engines
        .flat_map(|engine| {
            let points = 0..RING_POINTS;
            points.map(move |point| (hash((engine as u64) << 32 | point << 20 | 0xf_ffff), engine))
        })
        .collect();
    points.sort_unstable();
    points
}

/// The finalizer of `SplitMix64`, which spreads small numbers over all 64 bits.
fn hash(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
