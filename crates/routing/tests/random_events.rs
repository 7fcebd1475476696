//! Property tests: random events are checked against a model of the router's guarantees.

mod support;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, Incarnation, RequestId, RunState, UpstreamId};
use nutmegsail_routing::{
    AdapterAvailability, Arrival, Outcome, RouterSettings, RoutingAction, RoutingEvent,
    RoutingPlan, ServicePlan,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support::{Harness, report};

const UPSTREAMS: [&str; 5] = ["u1", "u2", "u3", "far1", "far2"];

/// One step of a random scenario.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        adapter: Option<u8>,
        is_urgent: bool,
        idempotent: bool,
        deadline_ms: u64,
        caller: u8,
    },
    FirstByte(usize),
    End(usize, Outcome),
    CallerGoneWhileWaiting(usize),
    Report {
        upstream: usize,
        incarnation: u64,
        adapters: u8,
        in_flight: u32,
        is_leaving: bool,
    },
    Health(usize, bool),
    Unreachable(usize),
    Leaving(usize),
    Adapter(usize, u8, AdapterAvailability),
    Plan {
        upstreams: u8,
        places: u32,
    },
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let upstream = 0..UPSTREAMS.len();
    let availability = prop_oneof![
        6 => Just(AdapterAvailability::Ready),
        1 => Just(AdapterAvailability::Loading),
        1 => Just(AdapterAvailability::Absent),
    ];
    let outcome = prop_oneof![
        8 => Just(Outcome::Succeeded),
        2 => Just(Outcome::Failed),
        2 => Just(Outcome::RefusedByUpstream),
        1 => Just(Outcome::AdapterAbsent),
        1 => Just(Outcome::CallerGone),
        1 => Just(Outcome::Cancelled),
    ];
    let arrive = (
        prop::option::of(0..4_u8),
        any::<bool>(),
        any::<bool>(),
        50..60_000_u64,
        0..3_u8,
    )
        .prop_map(
            |(adapter, is_urgent, idempotent, deadline_ms, caller)| Step::Arrive {
                adapter,
                is_urgent,
                idempotent,
                deadline_ms,
                caller,
            },
        );
    let report = (
        upstream.clone(),
        1..4_u64,
        any::<u8>(),
        0..8_u32,
        prop::bool::weighted(0.05),
    )
        .prop_map(
            |(upstream, incarnation, adapters, in_flight, is_leaving)| Step::Report {
                upstream,
                incarnation,
                adapters,
                in_flight,
                is_leaving,
            },
        );
    prop_oneof![
        20 => arrive,
        5 => any::<usize>().prop_map(Step::FirstByte),
        30 => (any::<usize>(), outcome).prop_map(|(at, outcome)| Step::End(at, outcome)),
        1 => any::<usize>().prop_map(Step::CallerGoneWhileWaiting),
        4 => report,
        8 => (upstream.clone(), prop::bool::weighted(0.9)).prop_map(|(u, r)| Step::Health(u, r)),
        1 => upstream.clone().prop_map(Step::Unreachable),
        1 => upstream.clone().prop_map(Step::Leaving),
        8 => (upstream, 0..4_u8, availability).prop_map(|(u, a, s)| Step::Adapter(u, a, s)),
        1 => (1..32_u8, 1..6_u32).prop_map(|(upstreams, places)| Step::Plan { upstreams, places }),
        10 => (1..3_000_u64).prop_map(Step::AdvanceTime),
    ]
}

/// The state of a request in the model.
#[derive(Clone, Debug, PartialEq)]
enum ModelPhase {
    Waiting,
    At(UpstreamId),
    Final,
}

#[derive(Clone, Debug)]
struct ModelRequest {
    arrival: Arrival,
    phase: ModelPhase,
    may_have_run: bool,
    has_first_byte: bool,
    sends: Vec<UpstreamId>,
}

/// A model of the guarantees only, independent of the router's implementation.
#[derive(Default)]
struct Model {
    requests: HashMap<RequestId, ModelRequest>,
    order: Vec<RequestId>,
    leaving: HashMap<UpstreamId, bool>,
    sends: usize,
    final_actions: usize,
}

impl Model {
    fn check(&mut self, actions: &[RoutingAction]) {
        for action in actions {
            match action {
                RoutingAction::Dispatch {
                    request, upstream, ..
                } => self.check_dispatch(request, upstream),
                RoutingAction::Refuse {
                    request,
                    state,
                    retry_after,
                    ..
                } => {
                    assert_eq!(*state, RunState::NotRun);
                    assert!(*retry_after > Duration::ZERO);
                    let model_request = self.record_final(request);
                    assert!(
                        !model_request.may_have_run,
                        "`not run` for a request that may have run"
                    );
                }
                RoutingAction::GiveUp { request, .. } => {
                    let model_request = self.record_final(request);
                    assert!(
                        model_request.may_have_run,
                        "`may have run` for a request that did not run"
                    );
                }
                RoutingAction::Cancel { request } => {
                    assert!(matches!(self.requests[request].phase, ModelPhase::At(_)));
                }
                RoutingAction::WantAdapter { .. } => {}
            }
        }
    }

    /// Checks that no request waits past its deadline after a tick.
    fn check_deadlines(&self, now: Instant) {
        let late = |m: &&ModelRequest| m.phase == ModelPhase::Waiting && m.arrival.deadline < now;
        assert_eq!(self.requests.values().filter(late).count(), 0);
    }

    fn request_mut(&mut self, request: &RequestId) -> &mut ModelRequest {
        self.requests
            .get_mut(request)
            .expect("an action names an unknown request")
    }

    fn check_dispatch(&mut self, request: &RequestId, upstream: &UpstreamId) {
        let is_leaving = self.leaving.get(upstream).copied().unwrap_or(false);
        assert!(!is_leaving, "{upstream} was leaving");
        let model_request = self.request_mut(request);
        assert_eq!(
            model_request.phase,
            ModelPhase::Waiting,
            "at two upstreams at the same time"
        );
        assert!(!model_request.may_have_run || model_request.arrival.idempotent);
        assert!(!model_request.has_first_byte);
        model_request.sends.push(upstream.clone());
        model_request.phase = ModelPhase::At(upstream.clone());
        assert!(model_request.sends.len() <= 3);
        self.sends += 1;
    }

    fn record_final(&mut self, request: &RequestId) -> ModelRequest {
        self.final_actions += 1;
        let model_request = self.request_mut(request);
        assert_ne!(
            model_request.phase,
            ModelPhase::Final,
            "a second final action"
        );
        model_request.phase = ModelPhase::Final;
        model_request.clone()
    }

    /// Picks the request with index `at`, modulo their number, among those waiting or those in
    /// flight.
    fn pick(&self, at: usize, is_waiting: bool) -> Option<RequestId> {
        let matches_phase = |request: &&RequestId| match self.requests[*request].phase {
            ModelPhase::Waiting => is_waiting,
            ModelPhase::At(_) => !is_waiting,
            ModelPhase::Final => false,
        };
        let matching: Vec<_> = self.order.iter().filter(matches_phase).collect();
        (!matching.is_empty()).then(|| matching[at % matching.len()].clone())
    }
}

fn adapter(index: u8) -> AdapterRef {
    AdapterRef::new(format!("adapter-{index}"), 1)
}

fn plan(generation: u64, upstreams: u8, places: u32) -> Arc<RoutingPlan> {
    let mut service = ServicePlan::new("svc")
        .with_in_flight_per_upstream(places)
        .with_queue_per_class(15)
        .with_batch_slots(4);
    for (index, upstream) in UPSTREAMS.iter().enumerate() {
        let domain = if upstream.starts_with('u') { "a" } else { "b" };
        if upstreams & (1 << index) != 0 {
            service = service.with_upstream(*upstream, domain);
        }
    }
    let plan = RoutingPlan::new(generation, "a").with_service(service);
    Arc::new(plan.with_in_flight_per_caller(16))
}

struct Scenario {
    harness: Harness,
    model: Model,
    generation: u64,
    incarnations: HashMap<usize, u64>,
    listed: u8,
    unreachable: HashSet<usize>,
}

impl Scenario {
    fn new() -> Self {
        let settings = RouterSettings {
            cancels_routine: true,
            ..Default::default()
        };
        let first = plan(1, 0b11111, 3);
        Self {
            harness: Harness::with(settings, (*first).clone()),
            model: Model::default(),
            generation: 1,
            incarnations: HashMap::new(),
            listed: 0b11111,
            unreachable: HashSet::new(),
        }
    }

    fn handle(&mut self, event: RoutingEvent) {
        let actions = self.harness.handle(event);
        self.model.check(&actions);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Arrive { .. } => self.arrive(step),
            Step::FirstByte(at) => self.first_byte(*at),
            Step::End(at, outcome) => self.end(*at, *outcome),
            Step::CallerGoneWhileWaiting(at) => self.caller_gone_while_waiting(*at),
            Step::Report {
                upstream,
                incarnation,
                adapters,
                in_flight,
                is_leaving,
            } => {
                self.report(*upstream, *incarnation, *adapters, *in_flight, *is_leaving);
            }
            Step::Health(upstream, is_ready) => {
                // A health check may make an unreachable upstream available again, so the model no
                // longer expects it to be leaving.
                self.model.leaving.remove(UPSTREAMS[*upstream]);
                self.health(*upstream, *is_ready);
            }
            Step::Unreachable(upstream) => {
                self.unreachable.insert(*upstream);
                self.forget_unlisted_leaving();
                let upstream = UPSTREAMS[*upstream].into();
                self.handle(RoutingEvent::UpstreamGone { upstream });
            }
            Step::Leaving(upstream) => {
                let upstream = UpstreamId::from(UPSTREAMS[*upstream]);
                self.model.leaving.insert(upstream.clone(), true);
                self.handle(RoutingEvent::Leaving { upstream });
            }
            Step::Adapter(upstream, index, state) => {
                let upstream = UPSTREAMS[*upstream].into();
                let (adapter, state) = (adapter(*index), *state);
                self.handle(RoutingEvent::AdapterState {
                    upstream,
                    adapter,
                    state,
                });
            }
            Step::Plan { upstreams, places } => {
                self.generation += 1;
                self.listed = *upstreams;
                self.forget_unlisted_leaving();
                self.handle(RoutingEvent::Plan(plan(
                    self.generation,
                    *upstreams,
                    *places,
                )));
            }
            Step::AdvanceTime(ms) => {
                self.harness.now += Duration::from_millis(*ms);
                self.handle(RoutingEvent::Tick);
                self.model.check_deadlines(self.harness.now);
            }
        }
    }

    /// Drops the leaving state of unreachable upstreams that no text lists: they may come back as
    /// other processes.
    fn forget_unlisted_leaving(&mut self) {
        for upstream in &self.unreachable {
            if self.listed & (1 << upstream) == 0 {
                self.model.leaving.remove(UPSTREAMS[*upstream]);
            }
        }
    }

    fn arrive(&mut self, step: &Step) {
        let Step::Arrive {
            adapter: index,
            is_urgent,
            idempotent,
            deadline_ms,
            caller,
        } = step
        else {
            return;
        };
        let class = if *is_urgent {
            Class::Urgent
        } else {
            Class::Routine
        };
        let mut arrival = self.harness.call(class);
        arrival.adapter = index.map(adapter);
        arrival.idempotent = *idempotent;
        arrival.deadline = self.harness.now + Duration::from_millis(*deadline_ms);
        arrival.caller = format!("caller-{caller}").into();
        let model_request = ModelRequest {
            arrival: arrival.clone(),
            phase: ModelPhase::Waiting,
            may_have_run: false,
            has_first_byte: false,
            sends: Vec::new(),
        };
        self.model
            .requests
            .insert(arrival.request.clone(), model_request);
        self.model.order.push(arrival.request.clone());
        self.handle(RoutingEvent::Arrive(arrival));
    }

    fn first_byte(&mut self, at: usize) {
        if let Some(request) = self.model.pick(at, false) {
            self.model.request_mut(&request).has_first_byte = true;
            self.handle(RoutingEvent::FirstByte { request });
        }
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        let Some(request) = self.model.pick(at, false) else {
            return;
        };
        let model_request = self.model.request_mut(&request);
        model_request.phase = ModelPhase::Waiting;
        let says_not_run = matches!(outcome, Outcome::RefusedByUpstream | Outcome::AdapterAbsent);
        if model_request.has_first_byte || !says_not_run {
            model_request.may_have_run = true;
        }
        if matches!(outcome, Outcome::Succeeded | Outcome::CallerGone) {
            model_request.phase = ModelPhase::Final;
            self.model.final_actions += 1;
        }
        self.handle(RoutingEvent::Ended { request, outcome });
    }

    fn caller_gone_while_waiting(&mut self, at: usize) {
        if let Some(request) = self.model.pick(at, true) {
            self.model.record_final(&request);
            let outcome = Outcome::CallerGone;
            self.handle(RoutingEvent::Ended { request, outcome });
        }
    }

    fn report(
        &mut self,
        u: usize,
        incarnation: u64,
        adapters: u8,
        in_flight: u32,
        is_leaving: bool,
    ) {
        let held: Vec<_> = (0..4)
            .filter(|at| adapters & (1 << at) != 0)
            .map(adapter)
            .collect();
        let mut report = report(&held.iter().collect::<Vec<_>>(), in_flight);
        report.incarnation = Incarnation(incarnation);
        report.is_leaving = is_leaving;
        // With a new incarnation the upstream is no longer leaving.
        if self.incarnations.insert(u, incarnation) != Some(incarnation) {
            self.model.leaving.remove(UPSTREAMS[u]);
        }
        self.handle(RoutingEvent::Report {
            upstream: UPSTREAMS[u].into(),
            report,
        });
    }

    fn health(&mut self, upstream: usize, is_ready: bool) {
        let upstream = UPSTREAMS[upstream].into();
        self.handle(RoutingEvent::Health { upstream, is_ready });
    }

    /// Ends all attempts and lets all deadlines pass.
    fn finish(&mut self) {
        while let Some(request) = self.model.pick(0, false) {
            let model_request = self.model.request_mut(&request);
            model_request.phase = ModelPhase::Final;
            self.model.final_actions += 1;
            let outcome = Outcome::Succeeded;
            self.handle(RoutingEvent::Ended { request, outcome });
        }
        self.harness.now += Duration::from_secs(90);
        self.handle(RoutingEvent::Tick);
        let lost = self
            .model
            .requests
            .values()
            .filter(|m| m.phase != ModelPhase::Final);
        assert_eq!(lost.count(), 0, "a request without a final answer");
        assert_eq!(self.model.final_actions, self.model.requests.len());
        for upstream in UPSTREAMS {
            assert_eq!(self.harness.router.in_flight(&upstream.into()), 0);
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever the order of events from callers, upstreams, operators and the clock, every request
    /// gets exactly one final answer, "not run" is only said of requests that did not run, and no
    /// request is at two upstreams at the same time.
    #[test]
    fn every_request_ends_exactly_once(steps in prop::collection::vec(step(), 1..300)) {
        let mut scenario = Scenario::new();
        for step in &steps {
            scenario.apply(step);
        }
        scenario.finish();
    }
}

/// The property above would also hold if no request were ever dispatched.
#[test]
fn random_events_lead_to_dispatches() {
    let mut runner = proptest::test_runner::TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    });
    let mut arrived = 0;
    let mut sent = 0;
    for _ in 0..20 {
        let tree = prop::collection::vec(step(), 300)
            .new_tree(&mut runner)
            .unwrap();
        let mut scenario = Scenario::new();
        for step in &proptest::strategy::ValueTree::current(&tree) {
            scenario.apply(step);
        }
        scenario.finish();
        arrived += scenario.model.requests.len();
        sent += scenario.model.sends;
    }
    assert!(sent * 2 > arrived, "{sent} sends for {arrived} requests");
}
