//! One run: arrivals, engines, loads and a policy in simulated time.

use std::time::Duration;

use nutmegsail_base::Class;
use nutmegsail_routing::{AdapterAvailability, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::baseline::Baseline;
use super::engine::{FakeEngine, Job, Slot};
use super::loader::{Loader, Want};
use super::policy::{Order, Policy, PolicyKind};
use super::request::SimRequest;
use super::router_policy::RouterPolicy;
use super::scenario::Scenario;
use super::tally::Tally;
use super::timeline::{SimEvent, Timeline};
use super::workload::arrivals;

const TICK: Duration = Duration::from_millis(50);
/// How long an attempt that fails takes to fail.
const FAIL_TIME: Duration = Duration::from_millis(5);

/// Runs `kind` on `scenario`; the arrivals depend on the scenario and the seed alone.
pub(crate) fn simulate(scenario: &Scenario, kind: &PolicyKind, seed: u64) -> Tally {
    let mut simulation = Simulation::new(scenario, kind, seed);
    simulation.run();
    simulation.tally()
}

struct Simulation {
    scenario: Scenario,
    policy: Box<dyn Policy>,
    requests: Vec<SimRequest>,
    engines: Vec<FakeEngine>,
    /// By request: the engine that has it.
    assigned: Vec<Option<usize>>,
    is_lost: Vec<bool>,
    loader: Loader,
    timeline: Timeline,
    rng: ChaCha8Rng,
    now: Duration,
    tally: Tally,
}

impl Simulation {
    fn new(scenario: &Scenario, kind: &PolicyKind, seed: u64) -> Self {
        let requests = arrivals(scenario, seed);
        let policy: Box<dyn Policy> = match kind {
            PolicyKind::Router { settings, .. } => {
                Box::new(RouterPolicy::new(scenario, settings, seed))
            }
            baseline => Box::new(Baseline::new(baseline.clone(), scenario)),
        };
        let engine = |_| {
            let all = scenario.has_all_adapters;
            let first_come = kind.is_first_come();
            FakeEngine::new(
                scenario.adapter_slots,
                scenario.batch_slots,
                all,
                first_come,
            )
        };
        Self {
            policy,
            engines: (0..scenario.engines()).map(engine).collect(),
            assigned: vec![None; requests.len()],
            is_lost: vec![false; scenario.engines()],
            loader: Loader::new(kind.is_first_come()),
            timeline: Timeline::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xfa11),
            now: Duration::ZERO,
            tally: Tally::new(scenario),
            scenario: scenario.clone(),
            requests,
        }
    }

    fn run(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            self.timeline.add(request.at, SimEvent::Arrive(index));
        }
        for engine in 0..self.engines.len() {
            // Reports of the engines are not in step with each other.
            let at = self.scenario.report_interval * engine as u32 / self.engines.len() as u32;
            self.timeline.add(at, SimEvent::Sample(engine));
        }
        self.timeline.add(TICK, SimEvent::Tick);
        let end = self.scenario.warm_up + self.scenario.measured;
        let mut is_warm = false;
        while let Some((at, event)) = self.timeline.next() {
            if at > end {
                break;
            }
            if !is_warm && at >= self.scenario.warm_up {
                is_warm = true;
                self.now = at;
                self.reset_counters();
                self.lose_domain();
            }
            self.now = at;
            self.take(event);
        }
        self.now = end;
    }

    /// Takes the first failure domain's engines away, with what runs on them.
    fn lose_domain(&mut self) {
        if !self.scenario.loses_domain {
            return;
        }
        let mut orders = Vec::new();
        for engine in self.engines_of(0) {
            self.is_lost[engine] = true;
            self.policy.gone(engine, self.now, &mut orders);
        }
        for request in 0..self.requests.len() {
            if let Some(engine) = self.assigned[request].filter(|engine| self.is_lost[*engine]) {
                self.engines[engine].drop_all();
                self.end(request, engine, Outcome::Failed, &mut orders);
            }
        }
        self.carry_out(orders);
    }

    fn reset_counters(&mut self) {
        for engine in &mut self.engines {
            engine.steps = 0;
            engine.step_requests = 0;
            engine.tokens = [0, 0];
        }
        self.loader.loads = 0;
    }

    fn tally(mut self) -> Tally {
        let measured = self
            .requests
            .iter()
            .filter(|r| r.at >= self.scenario.warm_up);
        for request in measured {
            let domain = self.scenario.domain_of_node(request.node);
            self.tally.count(request, domain, self.now);
        }
        for engine in &self.engines {
            self.tally.steps += engine.steps;
            self.tally.step_requests += engine.step_requests;
            self.tally.tokens[0] += engine.tokens[0];
            self.tally.tokens[1] += engine.tokens[1];
        }
        self.tally.loads = self.loader.loads;
        self.tally
    }

    fn take(&mut self, event: SimEvent) {
        let mut orders = Vec::new();
        match event {
            SimEvent::Arrive(request) => self.arrive(request, &mut orders),
            SimEvent::StepEnd(engine) => self.end_step(engine, &mut orders),
            SimEvent::Fail { request, engine } => {
                self.end(request, engine, Outcome::Failed, &mut orders);
            }
            SimEvent::Sample(engine) => self.sample(engine),
            // What a lost engine said before does not overtake the news of its loss.
            SimEvent::Report { engine, .. } if self.is_lost[engine] => {}
            SimEvent::Report { engine, report } => {
                self.policy.report(engine, &report, self.now, &mut orders);
            }
            SimEvent::Loaded { engine, adapter } => self.loaded(engine, adapter, &mut orders),
            SimEvent::Tick => {
                self.policy.tick(self.now, &mut orders);
                self.note_spread();
                self.timeline.add(self.now + TICK, SimEvent::Tick);
            }
        }
        self.carry_out(orders);
    }

    fn arrive(&mut self, request: usize, orders: &mut Vec<Order>) {
        let what = &self.requests[request];
        self.policy.arrive(request, what, self.now, orders);
        let is_sent =
            |order: &Order| matches!(order, Order::Send { request: r, .. } if *r == request);
        if !orders.iter().any(is_sent) && !self.is_ready_near(request) {
            // Counted against the router: all its wait from here on, also that for a place.
            self.requests[request].stalled_since = Some(self.now);
        }
    }

    /// Whether an engine of the request's failure domain has its adapter ready.
    fn is_ready_near(&self, request: usize) -> bool {
        let what = &self.requests[request];
        let domain = self.scenario.domain_of_node(what.node);
        let mut engines = self.engines_of(domain);
        engines.any(|engine| self.engines[engine].is_ready(what.adapter))
    }

    fn engines_of(&self, domain: usize) -> std::ops::Range<usize> {
        let count = self.scenario.engines_per_domain;
        domain * count..(domain + 1) * count
    }

    fn carry_out(&mut self, orders: Vec<Order>) {
        let mut pending = std::collections::VecDeque::from(orders);
        while let Some(order) = pending.pop_front() {
            let mut more = Vec::new();
            match order {
                Order::Send {
                    request,
                    engine,
                    class,
                } => {
                    self.send(request, engine, class, &mut more);
                }
                Order::Shed { request } => {
                    let what = &mut self.requests[request];
                    what.is_shed = true;
                    end_stall(what, self.now);
                }
                Order::Cancel { request } => self.cancel(request, &mut more),
                Order::Want {
                    engine,
                    adapter,
                    class,
                } => self.want(engine, adapter, class),
            }
            pending.extend(more);
        }
        self.begin_loads();
    }

    fn want(&mut self, engine: usize, adapter: usize, class: Class) {
        let domain = self.scenario.domain_of_engine(engine);
        let engines = self.engines_of(domain);
        let is_on_its_way = engines.clone().any(|engine| {
            let slots = &self.engines[engine].slots;
            slots
                .iter()
                .any(|slot| slot.adapter == adapter && !slot.is_ready)
        });
        if is_on_its_way || self.loader.is_wanted(adapter, engines.clone()) {
            return;
        }
        // Placement would not wait for an engine whose adapters are all in use.
        let can_load = |e: &usize| self.engines[*e].has_room() && !self.engines[*e].holds(adapter);
        let others = engines.filter(can_load);
        let idlest = others.min_by_key(|e| self.engines[*e].in_flight());
        let engine = match idlest {
            Some(idlest) if !can_load(&engine) => idlest,
            _ => engine,
        };
        self.loader.want(Want {
            engine,
            adapter,
            class,
        });
    }

    fn send(&mut self, request: usize, engine: usize, class: Class, orders: &mut Vec<Order>) {
        let is_ready = self.engines[engine].is_ready(self.requests[request].adapter);
        let what = &mut self.requests[request];
        what.sends += 1;
        self.assigned[request] = Some(engine);
        if self.is_lost[engine] {
            self.end(request, engine, Outcome::RefusedByUpstream, orders);
            return;
        }
        let fails = self.now >= self.scenario.warm_up
            && self.rng.random::<f64>() < self.scenario.failing_share;
        if fails {
            let at = self.now + FAIL_TIME;
            self.timeline.add(at, SimEvent::Fail { request, engine });
            return;
        }
        if is_ready {
            end_stall(what, self.now);
        } else if self.policy.sends_before_ready() {
            what.stalled_since = Some(self.now);
            let adapter = what.adapter;
            self.loader.want(Want {
                engine,
                adapter,
                class,
            });
        } else {
            self.end(request, engine, Outcome::AdapterAbsent, orders);
            return;
        }
        let what = &self.requests[request];
        let job = Job {
            request,
            adapter: what.adapter,
            class,
            own_class: what.class,
            tokens_left: what.tokens,
            has_first: false,
        };
        self.engines[engine].push(job);
        self.start_step(engine);
    }

    fn cancel(&mut self, request: usize, orders: &mut Vec<Order>) {
        if let Some(engine) = self.assigned[request]
            && self.engines[engine].cancel(request)
        {
            self.end(request, engine, Outcome::Cancelled, orders);
        }
    }

    fn start_step(&mut self, engine: usize) {
        if let Some((took, _)) = self.engines[engine].start_step(self.now) {
            self.timeline
                .add(self.now + took, SimEvent::StepEnd(engine));
        }
    }

    fn end_step(&mut self, engine: usize, orders: &mut Vec<Order>) {
        let end = self.engines[engine].end_step();
        for request in end.first_tokens {
            let what = &mut self.requests[request];
            what.first_token = Some(self.now);
            self.policy.first_token(request, what.node, self.now);
        }
        for request in end.finished {
            self.requests[request].is_done = true;
            self.end(request, engine, Outcome::Succeeded, orders);
        }
        self.start_step(engine);
    }

    fn end(&mut self, request: usize, engine: usize, outcome: Outcome, orders: &mut Vec<Order>) {
        self.assigned[request] = None;
        let what = self.requests[request].clone();
        self.policy
            .ended(request, &what, engine, outcome, self.now, orders);
    }

    fn sample(&mut self, engine: usize) {
        if self.is_lost[engine] {
            return;
        }
        let report = self.engines[engine].report();
        let at = self.now + self.scenario.report_lag;
        self.timeline.add(at, SimEvent::Report { engine, report });
        let next = self.now + self.scenario.report_interval;
        self.timeline.add(next, SimEvent::Sample(engine));
    }

    fn begin_loads(&mut self) {
        let Some(load) = self.loader.begin(&self.engines) else {
            return;
        };
        let slots = &mut self.engines[load.engine].slots;
        if let Some(evicted) = load.evicted {
            slots.retain(|slot| slot.adapter != evicted);
        }
        slots.push(Slot {
            adapter: load.adapter,
            is_ready: false,
            last_used: self.now,
        });
        let loaded = SimEvent::Loaded {
            engine: load.engine,
            adapter: load.adapter,
        };
        self.timeline
            .add(self.now + self.scenario.load_time, loaded);
        let mut orders = Vec::new();
        if let Some(evicted) = load.evicted {
            let absent = AdapterAvailability::Absent;
            self.policy
                .adapter_state(load.engine, evicted, absent, self.now, &mut orders);
        }
        let loading = AdapterAvailability::Loading;
        self.policy
            .adapter_state(load.engine, load.adapter, loading, self.now, &mut orders);
        self.carry_out(orders);
    }

    fn loaded(&mut self, engine: usize, adapter: usize, orders: &mut Vec<Order>) {
        self.loader.finished();
        let slots = &mut self.engines[engine].slots;
        if let Some(slot) = slots.iter_mut().find(|slot| slot.adapter == adapter) {
            slot.is_ready = true;
            slot.last_used = self.now;
        }
        let waiting = self.engines[engine]
            .waiting()
            .filter(|job| job.adapter == adapter);
        for request in waiting.map(|job| job.request).collect::<Vec<_>>() {
            end_stall(&mut self.requests[request], self.now);
        }
        let ready = AdapterAvailability::Ready;
        self.policy
            .adapter_state(engine, adapter, ready, self.now, orders);
        self.start_step(engine);
    }

    fn note_spread(&mut self) {
        if self.now < self.scenario.warm_up {
            return;
        }
        for domain in 0..self.scenario.domains {
            let engines = self.engines_of(domain);
            let loads: Vec<f64> = engines
                .map(|e| self.engines[e].in_flight() as f64)
                .collect();
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            let variance = loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>();
            self.tally.spread_sum += (variance / loads.len() as f64).sqrt();
            self.tally.spread_samples += 1;
        }
    }
}

fn end_stall(request: &mut SimRequest, now: Duration) {
    if let Some(since) = request.stalled_since.take() {
        request.stalled += now.saturating_sub(since);
    }
}
