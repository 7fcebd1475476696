//! A fleet of engines of different speeds, and the nodes that send requests to it.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;
use nutmegsail_relay::{
    ChooseError, CopyScope, DispatchRequest, Dispatcher, EngineLoadSample, LoadReport, ModelRef,
    PromptPrefix, SoftwareRule, VersionRule,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{engine, holdings, list};
use crate::fleet_engine::{Call, FleetEngine, LONGEST_PAUSE, SETTLE_MS, STEP_MS, STEPS_PER_EVENT};

const ENGINES: usize = 60;
const NODES: usize = 63;
const ADAPTERS: usize = 10_000;
const STREAMS_PER_S: f64 = 363.0;
const LOAD_MS: f64 = 288.0;
const OBJECTIVE_MS: f64 = 1_000.0;
const END_MS: f64 = 50_000.0;
const REPORT_INTERVAL_MS: f64 = 100.0;

/// What nodes know and do about the speeds of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Nodes use one pace for all engines.
    FleetPace,
    /// Nodes know each engine's pace.
    OwnPaces,
    /// Nodes know each engine's pace and count the pause that a prompt causes.
    OwnPacesAndPauses,
}

/// What callers and engines got.
#[derive(Clone, Copy, Debug)]
pub struct FleetResult {
    /// Load of the busiest engine over its capacity, relative to that of the whole fleet.
    pub busiest: f64,
    /// Fraction of first events that met the objective.
    pub first_events_on_time: f64,
    /// Fraction of answers whose first event met the objective and that paused for no longer than
    /// the route allows.
    pub answers_on_time: f64,
    /// Load of the engines of each speed over their capacity.
    pub load_by_speed: [f64; 3],
}

#[derive(Debug)]
enum Step {
    Arrival,
    Report,
    Choose(Call),
    Loaded(usize, ModelRef),
    FirstEvent(usize, Call, f64),
    End(usize, Call, f64),
}

/// A node, with the version of each engine's holdings and report that its dispatcher knows.
struct Node {
    dispatcher: Dispatcher,
    known_holdings: Vec<u64>,
}

/// The whole simulation.
struct Fleet {
    knowledge: Knowledge,
    began: Instant,
    random: ChaCha8Rng,
    engines: Vec<FleetEngine>,
    nodes: Vec<Node>,
    models: Vec<ModelRef>,
    /// Cumulative popularity of the adapters.
    popularity: Vec<f64>,
    steps: BTreeMap<(u64, u64), Step>,
    step_count: u64,
    service: ServiceName,
    counted: u32,
    first_on_time: u32,
    on_time: u32,
}

/// Plays 50 s of the load, the last 40 of which count.
pub fn play(knowledge: Knowledge, seed: u64) -> FleetResult {
    let mut fleet = Fleet::new(knowledge, seed);
    fleet.add(0.0, Step::Report);
    fleet.add(0.0, Step::Arrival);
    while let Some(((at_us, _), step)) = fleet.steps.pop_first() {
        let at_ms = at_us as f64 / 1_000.0;
        match step {
            Step::Arrival => fleet.arrive(at_ms),
            Step::Report => fleet.report(at_ms),
            Step::Choose(call) => fleet.choose(call, at_ms),
            Step::Loaded(index, model) => fleet.finish_load(index, model, at_ms),
            Step::FirstEvent(index, call, expected_ms) => {
                fleet.first_event(index, call, expected_ms, at_ms);
            }
            Step::End(index, call, first_ms) => fleet.end(index, &call, first_ms, at_ms),
        }
    }
    fleet.result()
}

impl Fleet {
    fn new(knowledge: Knowledge, seed: u64) -> Self {
        let engines: Vec<FleetEngine> = (0..ENGINES).map(FleetEngine::new).collect();
        let began = Instant::now();
        let listed = list(engines.iter().map(|known| engine(known.id.as_str(), &[])));
        let nodes = (0..NODES).map(|_| {
            let mut dispatcher = Dispatcher::new("here".into());
            dispatcher.set_upstreams(&listed, began);
            Node {
                dispatcher,
                known_holdings: vec![0; ENGINES],
            }
        });
        let mut sum = 0.0;
        let popularity = (1..=ADAPTERS).map(|rank| {
            sum += (rank as f64).powf(-1.2);
            sum
        });
        Self {
            knowledge,
            began,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            engines,
            models: (0..ADAPTERS)
                .map(|rank| ModelRef::parse(&format!("base/a{rank}")))
                .collect(),
            popularity: popularity.collect(),
            steps: BTreeMap::new(),
            step_count: 0,
            service: "engines".into(),
            counted: 0,
            first_on_time: 0,
            on_time: 0,
        }
    }

    fn at(&self, at_ms: f64) -> Instant {
        self.began + Duration::from_secs_f64(at_ms / 1_000.0)
    }

    fn add(&mut self, at_ms: f64, step: Step) {
        self.step_count += 1;
        let key = ((at_ms * 1_000.0) as u64, self.step_count);
        self.steps.insert(key, step);
    }

    fn arrive(&mut self, at_ms: f64) {
        let pause_ms = -(1.0 - self.random.random::<f64>()).ln() * 1_000.0 / STREAMS_PER_S;
        if at_ms + pause_ms < END_MS {
            self.add(at_ms + pause_ms, Step::Arrival);
        }
        let drawn = self.random.random::<f64>() * self.popularity[ADAPTERS - 1];
        let rank = self.popularity.partition_point(|sum| *sum < drawn);
        let mean = if self.random.random::<f64>() < 0.22 {
            646.0
        } else {
            1_460.0
        };
        let spread = 0.25 - 0.75 * (1.0 - self.random.random::<f64>()).ln();
        let call = Call {
            node: self.random.random_range(0..NODES),
            model: self.models[rank].clone(),
            tokens: (mean * spread).min(4_700.0) as u64,
            arrived_ms: at_ms,
            may_load: true,
        };
        self.choose(call, at_ms);
    }

    /// Brings a node's view of all engines up to date.
    fn update_node(&mut self, node: usize, at_ms: f64) {
        let now = self.at(at_ms);
        let node = &mut self.nodes[node];
        for (index, known) in self.engines.iter().enumerate() {
            if node.known_holdings[index] != known.holdings_version {
                node.known_holdings[index] = known.holdings_version;
                let names: Vec<&str> = known.adapters.iter().map(|(held, _)| name(held)).collect();
                node.dispatcher
                    .record_holdings(&known.id, &holdings(&names), now);
            }
            let Some(report) = &known.report else {
                continue;
            };
            let tracked = node.dispatcher.tracked(&known.id).unwrap();
            let own = (tracked.in_flight, tracked.pending_prompt_tokens);
            let report = LoadReport {
                in_flight_of_others: report.in_flight_of_others.saturating_sub(own.0),
                pending_prompt_tokens_of_others: report
                    .pending_prompt_tokens_of_others
                    .saturating_sub(own.1),
                ..report.clone()
            };
            let unchanged = &nutmegsail_relay::HoldingsReport::NotReported;
            node.dispatcher
                .record_owner_report(&known.id, unchanged, report);
            if self.knowledge != Knowledge::FleetPace {
                node.dispatcher
                    .set_pace(&known.id, known.tokens_per_ms, now);
            }
            if let Some(paused_ms) = known.long_pauses_ms.last() {
                let at = self.began + Duration::from_secs_f64(paused_ms / 1_000.0);
                node.dispatcher.record_long_pause(&known.id, at.min(now));
            }
        }
    }

    fn choose(&mut self, mut call: Call, at_ms: f64) {
        self.update_node(call.node, at_ms);
        let now = self.at(at_ms);
        let (service, model) = (self.service.clone(), call.model.clone());
        let need = DispatchRequest {
            service: &service,
            model: Some(&model),
            version: VersionRule::ANY,
            software: SoftwareRule::Any,
            prompt_tokens: call.tokens,
            prompt: &PromptPrefix::default(),
            longest_pause: (self.knowledge == Knowledge::OwnPacesAndPauses)
                .then_some(LONGEST_PAUSE),
            tried: &[],
        };
        let dispatcher = &mut self.nodes[call.node].dispatcher;
        match dispatcher.choose(&need, now, &mut self.random) {
            Ok(choice)
                if call.may_load
                    && dispatcher.is_sooner_elsewhere(&need, choice.expected_ms, now) =>
            {
                call.may_load = false;
                let node = call.node;
                self.load(node, &model, &CopyScope::Anywhere, Some(call), at_ms);
            }
            Ok(choice) => {
                dispatcher.record_sent(&choice.upstream.id, call.tokens, now);
                let id = choice.upstream.id.as_str();
                let index: usize = id[1..].parse().unwrap();
                let first_ms = self.engines[index].prefill(&call, at_ms);
                let demand = &mut self.engines[index].demand;
                demand.note(&"here".into(), &model, 1.0, call.tokens as f64, now);
                self.add(first_ms, Step::FirstEvent(index, call, choice.expected_ms));
            }
            Err(ChooseError::AdapterAbsent) => {
                let node = call.node;
                self.load(node, &model, &CopyScope::Anywhere, Some(call), at_ms);
            }
            Err(problem) => panic!("no engine serves a request: {problem:?}"),
        }
    }

    /// Orders a load at the best engine, after which `call` is sent.
    fn load(
        &mut self,
        node: usize,
        model: &ModelRef,
        scope: &CopyScope,
        call: Option<Call>,
        at_ms: f64,
    ) {
        let now = self.at(at_ms);
        let dispatcher = &self.nodes[node].dispatcher;
        let any = (VersionRule::ANY, &SoftwareRule::Any);
        let engines = dispatcher.load_candidates(&self.service, model, any.0, any.1, scope, now);
        let noise = |random: &mut ChaCha8Rng| random.random::<f64>() * 8.0;
        let costs: Vec<(f64, usize)> = engines
            .iter()
            .map(|candidate| {
                let index = candidate.engine.as_str()[1..].parse().unwrap();
                (candidate.cost_ms + noise(&mut self.random), index)
            })
            .collect();
        let free = costs.into_iter().filter(|(_, index)| {
            let known = &self.engines[*index];
            known.loading.contains(model) || (!known.holds(model) && known.free_slots() > 0)
        });
        let best = free.min_by(|a, b| a.0.total_cmp(&b.0));
        let ready_ms = match best {
            Some((_, index)) if !self.engines[index].loading.contains(model) => {
                let known = &mut self.engines[index];
                known.make_room();
                known.loading.push(model.clone());
                known.loads_free_at_ms = known.loads_free_at_ms.max(at_ms) + LOAD_MS;
                let ready_ms = known.loads_free_at_ms;
                self.add(ready_ms, Step::Loaded(index, model.clone()));
                ready_ms
            }
            _ => at_ms + 30.0,
        };
        if let Some(call) = call {
            self.add(ready_ms + 1.0, Step::Choose(call));
        }
    }

    fn finish_load(&mut self, index: usize, model: ModelRef, at_ms: f64) {
        let known = &mut self.engines[index];
        known.loading.retain(|loading| *loading != model);
        known.adapters.push((model, at_ms));
        known.holdings_version += 1;
    }

    fn first_event(&mut self, index: usize, call: Call, expected_ms: f64, at_ms: f64) {
        let known = &mut self.engines[index];
        known.pending_tokens -= call.tokens;
        let id = known.id.clone();
        let now = self.at(at_ms);
        let sent_ms = call.arrived_ms;
        let dispatcher = &mut self.nodes[call.node].dispatcher;
        dispatcher.record_prompt_read(&id, call.tokens);
        let took = Duration::from_secs_f64((at_ms - sent_ms) / 1_000.0);
        dispatcher.record_answer_started(&id, expected_ms, took, now);
        let events = -42.0 * (1.0 - self.random.random::<f64>()).ln();
        let ends_ms = at_ms + events * STEPS_PER_EVENT * STEP_MS;
        self.add(ends_ms, Step::End(index, call, at_ms));
    }

    fn end(&mut self, index: usize, call: &Call, first_ms: f64, at_ms: f64) {
        let known = &mut self.engines[index];
        known.end(&call.model);
        let dispatcher = &mut self.nodes[call.node].dispatcher;
        dispatcher.record_ended(&known.id);
        if call.arrived_ms < SETTLE_MS {
            return;
        }
        self.counted += 1;
        if first_ms - call.arrived_ms > OBJECTIVE_MS {
            return;
        }
        self.first_on_time += 1;
        let mut paused = known.long_pauses_ms.iter();
        if !paused.any(|pause_ms| (first_ms..at_ms).contains(pause_ms)) {
            self.on_time += 1;
        }
    }

    /// Owners report the loads of their engines, and ask for copies of busy adapters.
    fn report(&mut self, at_ms: f64) {
        if at_ms + REPORT_INTERVAL_MS < END_MS {
            self.add(at_ms + REPORT_INTERVAL_MS, Step::Report);
        }
        let now = self.at(at_ms);
        for index in 0..ENGINES {
            let known = &mut self.engines[index];
            known.report = Some(LoadReport {
                in_flight_of_others: known.in_flight,
                pending_prompt_tokens_of_others: known.pending_tokens,
                loading: known.loading.iter().map(ModelRef::digest).collect(),
                recent_changes: Vec::new(),
                free_adapter_slots: known.free_slots() as u32,
                takes_loads: true,
                received_at: now,
            });
            let names: Vec<&str> = known.adapters.iter().map(|(held, _)| name(held)).collect();
            let held = holdings(&names);
            let sample = EngineLoadSample {
                failure_domain: &"here".into(),
                slots: 64,
                holdings: &held,
            };
            if self.knowledge != Knowledge::FleetPace {
                let pace = nutmegsail_relay::KnownPace::new(known.tokens_per_ms, now);
                known.demand.set_pace(pace);
            }
            let running = &known.running;
            let in_flight = |model: &ModelRef| running.get(model).copied().unwrap_or(0);
            for wanted in known.demand.copies_wanted(sample, in_flight, now) {
                self.update_node(index % NODES, at_ms);
                for _ in 0..wanted.copies {
                    self.load(index % NODES, &wanted.model, &wanted.place, None, at_ms);
                }
            }
        }
    }

    fn result(&self) -> FleetResult {
        let load = |known: &[&FleetEngine]| {
            let tokens: f64 = known.iter().map(|known| known.tokens_counted as f64).sum();
            tokens / known.iter().map(|known| known.tokens_per_ms).sum::<f64>()
        };
        let all: Vec<&FleetEngine> = self.engines.iter().collect();
        let mean = load(&all);
        let busiest = all.iter().map(|known| load(&[*known]) / mean);
        let by_speed = |speed| {
            let same: Vec<_> = all.iter().copied().skip(speed).step_by(3).collect();
            load(&same) / (END_MS - SETTLE_MS)
        };
        FleetResult {
            busiest: busiest.fold(0.0, f64::max),
            first_events_on_time: f64::from(self.first_on_time) / f64::from(self.counted),
            answers_on_time: f64::from(self.on_time) / f64::from(self.counted),
            load_by_speed: [by_speed(0), by_speed(1), by_speed(2)],
        }
    }
}

fn name(model: &ModelRef) -> &str {
    model.adapter.as_ref().unwrap().as_str()
}
