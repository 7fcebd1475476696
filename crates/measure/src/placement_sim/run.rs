//! One run: arrivals, engines, the store, and a policy for each failure domain.

use std::time::{Duration, Instant};

use nutmegsail_base::Class;
use nutmegsail_placement::PlacementEvent;

use super::domain::PlacedDomain;
use super::engine::{SlotEngine, adapter_ref};
use super::lru::LruDomain;
use super::store::WeightStore;
use crate::sim::{Scenario, arrivals};

const STEP: Duration = Duration::from_millis(50);
const REPORT_STEPS: u64 = 5;
const TICK_STEPS: u64 = 2;
const SUMMARY_STEPS: u64 = 20;
/// What one token takes in a batch.
const TOKEN_TIME: Duration = Duration::from_millis(25);
/// A request that waited this long gives up.
const PATIENCE: Duration = Duration::from_secs(30);

/// Who places adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rival {
    Nutmegsail,
    /// LRU eviction, loads first come first served.
    Lru,
    /// LRU eviction, loads urgent and newest first.
    LruNewestFirst,
}

/// What goes wrong at the end of the steady part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shock {
    None,
    /// The 200 most popular adapters are replaced by others at once.
    PopularityShift,
    /// An engine in each failure domain comes back empty.
    ColdRestart,
    /// For 30 s the store refuses every other load and breaks off a third of the rest.
    WeightStoreFails,
}

/// One request as it went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) at: Duration,
    pub(crate) class: Class,
    pub(crate) stall: Duration,
    pub(crate) gave_up: bool,
}

/// What a run came to.
#[derive(Debug)]
pub(crate) struct PlacementRun {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) loads: u64,
    pub(crate) length: Duration,
}

#[derive(Debug)]
struct Waiting {
    domain: usize,
    adapter: usize,
    class: Class,
    at: Duration,
    run_time: Duration,
}

struct Running {
    ends: Duration,
    domain: usize,
    engine: usize,
    incarnation: u64,
    adapter: usize,
}

enum Policies {
    Placed(Vec<PlacedDomain>),
    Lru(Vec<LruDomain>),
}

struct Sim {
    start: Instant,
    elapsed: Duration,
    step: u64,
    engines: Vec<Vec<SlotEngine>>,
    store: WeightStore,
    policies: Policies,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    outcomes: Vec<Outcome>,
}

/// Runs `scenario` with `shock` at the end of its warm-up and first half.
pub(crate) fn simulate(
    scenario: &Scenario,
    rival: Rival,
    shock: Shock,
    shock_at: Duration,
    seed: u64,
) -> PlacementRun {
    let mut sim = Sim::new(scenario, rival);
    let mut arrivals = arrivals(scenario, seed).into_iter().peekable();
    let end = scenario.warm_up + scenario.measured;
    while sim.elapsed < end {
        sim.elapsed += STEP;
        sim.step += 1;
        if sim.elapsed == shock_at {
            sim.shock(shock);
        }
        while let Some(request) = arrivals.next_if(|request| request.at <= sim.elapsed) {
            let is_shifted = shock == Shock::PopularityShift && sim.elapsed > shock_at;
            let domain = scenario.domain_of_node(request.node);
            sim.arrive(Waiting {
                domain,
                adapter: shifted(request.adapter, scenario.adapters, is_shifted),
                class: request.class,
                at: request.at,
                run_time: TOKEN_TIME * request.tokens,
            });
        }
        sim.advance();
    }
    PlacementRun {
        outcomes: sim.outcomes,
        loads: sim.store.loads,
        length: end,
    }
}

/// The 200 most popular adapters change places with 200 that are hardly asked for.
fn shifted(adapter: usize, adapters: usize, is_shifted: bool) -> usize {
    let half = adapters / 2;
    match adapter {
        hot if is_shifted && hot < 200 => hot + half,
        cold if is_shifted && (half..half + 200).contains(&cold) => cold - half,
        other => other,
    }
}

impl Sim {
    fn new(scenario: &Scenario, rival: Rival) -> Self {
        let start = Instant::now();
        let (count, slots) = (scenario.engines_per_domain, scenario.adapter_slots);
        let rate_per_s = 3.0;
        let placed = || {
            let domain = || {
                let (adapters, domains) = (scenario.adapters, scenario.domains);
                PlacedDomain::new(count, slots, adapters, domains, rate_per_s, start)
            };
            (0..scenario.domains).map(|_| domain()).collect()
        };
        let lru = |is_newest_first| {
            let domains = 0..scenario.domains;
            domains.map(|_| LruDomain::new(is_newest_first)).collect()
        };
        let engines = || (0..count).map(|_| SlotEngine::new(slots)).collect();
        Self {
            start,
            elapsed: Duration::ZERO,
            step: 0,
            engines: (0..scenario.domains).map(|_| engines()).collect(),
            store: WeightStore::new(rate_per_s, scenario.load_time),
            policies: match rival {
                Rival::Nutmegsail => Policies::Placed(placed()),
                Rival::Lru => Policies::Lru(lru(false)),
                Rival::LruNewestFirst => Policies::Lru(lru(true)),
            },
            waiting: Vec::new(),
            running: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn shock(&mut self, shock: Shock) {
        match shock {
            Shock::None | Shock::PopularityShift => {}
            Shock::ColdRestart => {
                for engines in &mut self.engines {
                    engines[0].restart();
                }
            }
            Shock::WeightStoreFails => {
                self.store.failing_until = Some(self.now() + Duration::from_secs(30));
            }
        }
    }

    fn arrive(&mut self, request: Waiting) {
        let now = self.now();
        if let Policies::Placed(domains) = &mut self.policies {
            let demand = PlacementEvent::Demand {
                adapter: adapter_ref(request.adapter),
                class: request.class,
                weight: 1.0,
            };
            let at = request.domain;
            domains[at].tell(demand, at, &mut self.engines[at], &mut self.store, now);
        }
        self.waiting.push(request);
    }

    fn advance(&mut self) {
        self.end_requests();
        for (load, is_complete) in self.store.advance(STEP) {
            self.engines[load.domain][load.engine].loaded(load.adapter, is_complete);
        }
        self.step_policies();
        for request in std::mem::take(&mut self.waiting) {
            self.serve(request);
        }
    }

    fn end_requests(&mut self) {
        let (elapsed, now) = (self.elapsed, self.now());
        for run in self.running.extract_if(.., |run| run.ends <= elapsed) {
            let engine = &mut self.engines[run.domain][run.engine];
            if engine.incarnation == run.incarnation {
                engine.end(run.adapter);
            }
            if let Policies::Placed(domains) = &mut self.policies {
                domains[run.domain].ended(run.engine, run.adapter, now);
            }
        }
    }

    fn step_policies(&mut self) {
        let now = self.now();
        let (engines, store) = (&mut self.engines, &mut self.store);
        match &mut self.policies {
            Policies::Lru(domains) => {
                for (at, domain) in domains.iter_mut().enumerate() {
                    domain.step(at, self.step, &mut engines[at], store, now);
                }
            }
            Policies::Placed(domains) => {
                if self.step.is_multiple_of(SUMMARY_STEPS) {
                    exchange_store_use(domains, engines, store, now);
                }
                if self.step.is_multiple_of(TICK_STEPS) || self.step.is_multiple_of(REPORT_STEPS) {
                    let with_reports = self.step.is_multiple_of(REPORT_STEPS);
                    for (at, domain) in domains.iter_mut().enumerate() {
                        domain.tick(with_reports, at, &mut engines[at], store, now);
                    }
                }
            }
        }
    }

    fn serve(&mut self, request: Waiting) {
        let (at, now) = (request.domain, self.now());
        let engines = &mut self.engines[at];
        let found = match &mut self.policies {
            Policies::Placed(domains) => domains[at].find(
                request.adapter,
                request.class,
                at,
                engines,
                &mut self.store,
                now,
            ),
            Policies::Lru(domains) => {
                let found = engines.iter().position(|e| e.is_ready(request.adapter));
                if found.is_none() {
                    domains[at].want(request.adapter, request.class, self.step);
                }
                found
            }
        };
        let stall = self.elapsed.saturating_sub(request.at);
        let gave_up = found.is_none() && stall >= PATIENCE;
        if let Some(engine) = found {
            engines[engine].begin(request.adapter, self.step);
            self.running.push(Running {
                ends: self.elapsed + request.run_time,
                domain: at,
                engine,
                incarnation: engines[engine].incarnation,
                adapter: request.adapter,
            });
        }
        if found.is_none() && !gave_up {
            self.waiting.push(request);
            return;
        }
        self.outcomes.push(Outcome {
            at: request.at,
            class: request.class,
            stall,
            gave_up,
        });
    }
}

/// Each failure domain tells the others how much of the store it uses, as nodes do each second.
fn exchange_store_use(
    domains: &mut [PlacedDomain],
    engines: &mut [Vec<SlotEngine>],
    store: &mut WeightStore,
    now: Instant,
) {
    let uses: Vec<_> = domains.iter().map(|domain| domain.store_use(now)).collect();
    for (at, domain) in domains.iter_mut().enumerate() {
        for (other, store_use) in uses.iter().enumerate().filter(|(other, _)| *other != at) {
            let Some(store_use) = store_use else { continue };
            let event = PlacementEvent::StoreUse {
                domain: format!("domain-{other}").into(),
                loads_per_s: store_use.loads_per_s,
                backlog: store_use.backlog,
            };
            domain.tell(event, at, &mut engines[at], store, now);
        }
    }
}
