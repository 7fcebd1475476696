//! The real router, one for each node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{Class, EngineReport, RequestId, UpstreamId};
use nutmegsail_routing::{
    AdapterAvailability, Arrival, Outcome, Router, RouterSettings, RoutingAction, RoutingEvent,
    RoutingPlan, ServicePlan,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::policy::{Order, Policy, adapter_ref};
use super::request::SimRequest;
use super::scenario::Scenario;

const SERVICE: &str = "engines";

/// The real router, one for each node, on a simulated clock.
pub(crate) struct RouterPolicy {
    scenario: Scenario,
    routers: Vec<Router>,
    rng: ChaCha8Rng,
    start: Instant,
    actions: Vec<RoutingAction>,
}

impl RouterPolicy {
    pub(crate) fn new(scenario: &Scenario, settings: &RouterSettings, seed: u64) -> Self {
        let mut policy = Self {
            routers: (0..scenario.nodes())
                .map(|_| Router::new(settings.clone()))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            actions: Vec::new(),
            scenario: scenario.clone(),
        };
        for node in 0..scenario.nodes() {
            let plan = RoutingEvent::Plan(Arc::new(policy.plan(node)));
            policy.tell(node, plan, Duration::ZERO, &mut Vec::new());
        }
        policy
    }

    fn plan(&self, node: usize) -> RoutingPlan {
        let scenario = &self.scenario;
        let batch_slots = scenario.batch_slots as u32;
        let mut service = ServicePlan::new(SERVICE)
            .with_in_flight_per_upstream(batch_slots)
            .with_urgent_headroom(scenario.urgent_headroom)
            .with_batch_slots(batch_slots);
        for engine in 0..scenario.engines() {
            let domain = format!("domain-{}", scenario.domain_of_engine(engine));
            service = service.with_upstream(upstream(engine), domain);
        }
        let own = format!("domain-{}", scenario.domain_of_node(node));
        RoutingPlan::new(1, own)
            .with_service(service)
            .with_weights(scenario.weights)
            .with_in_flight_per_caller(u32::MAX)
            .with_loads_per_s(1.0 / scenario.load_time.as_secs_f64())
    }

    fn tell(&mut self, node: usize, event: RoutingEvent, now: Duration, out: &mut Vec<Order>) {
        let at = self.start + now;
        self.actions.clear();
        self.routers[node].handle(event, at, &mut self.rng, &mut self.actions);
        out.extend(self.actions.iter().map(order));
    }
}

impl Policy for RouterPolicy {
    fn arrive(&mut self, request: usize, what: &SimRequest, now: Duration, out: &mut Vec<Order>) {
        let deadline = match what.class {
            Class::Urgent => self.scenario.urgent_deadline,
            Class::Routine => self.scenario.routine_deadline,
        };
        let arrival = Arrival {
            request: request_id(request),
            caller: format!("caller-{}", what.caller).into(),
            service: SERVICE.into(),
            // An adapter that is ready everywhere is as good as none.
            adapter: (!self.scenario.has_all_adapters).then(|| adapter_ref(what.adapter)),
            class: what.class,
            deadline: self.start + now + deadline,
            target: deadline / 10,
            prefix: None,
            idempotent: true,
        };
        self.tell(what.node, RoutingEvent::Arrive(arrival), now, out);
    }

    fn first_token(&mut self, request: usize, node: usize, now: Duration) {
        let request = request_id(request);
        self.tell(
            node,
            RoutingEvent::FirstByte { request },
            now,
            &mut Vec::new(),
        );
    }

    fn ended(
        &mut self,
        request: usize,
        what: &SimRequest,
        _: usize,
        outcome: Outcome,
        now: Duration,
        out: &mut Vec<Order>,
    ) {
        let request = request_id(request);
        self.tell(
            what.node,
            RoutingEvent::Ended { request, outcome },
            now,
            out,
        );
    }

    fn report(
        &mut self,
        engine: usize,
        report: &EngineReport,
        now: Duration,
        out: &mut Vec<Order>,
    ) {
        for node in 0..self.routers.len() {
            let upstream = upstream(engine);
            let report = report.clone();
            self.tell(node, RoutingEvent::Report { upstream, report }, now, out);
        }
    }

    fn adapter_state(
        &mut self,
        engine: usize,
        adapter: usize,
        state: AdapterAvailability,
        now: Duration,
        out: &mut Vec<Order>,
    ) {
        // Placement tells its own failure domain; the others learn it from reports.
        let domain = self.scenario.domain_of_engine(engine);
        let count = self.scenario.nodes_per_domain;
        for node in domain * count..(domain + 1) * count {
            let event = RoutingEvent::AdapterState {
                upstream: upstream(engine),
                adapter: adapter_ref(adapter),
                state,
            };
            self.tell(node, event, now, out);
        }
    }

    fn gone(&mut self, engine: usize, now: Duration, out: &mut Vec<Order>) {
        for node in 0..self.routers.len() {
            let upstream = upstream(engine);
            self.tell(node, RoutingEvent::UpstreamGone { upstream }, now, out);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Order>) {
        for node in 0..self.routers.len() {
            self.tell(node, RoutingEvent::Tick, now, out);
        }
    }

    fn sends_before_ready(&self) -> bool {
        false
    }
}

fn upstream(engine: usize) -> UpstreamId {
    format!("engine-{engine}").into()
}

fn request_id(request: usize) -> RequestId {
    format!("r-{request}").into()
}

fn order(action: &RoutingAction) -> Order {
    match action {
        RoutingAction::Dispatch {
            request,
            upstream,
            class,
            ..
        } => Order::Send {
            request: number(request.as_str()),
            engine: number(upstream.as_str()),
            class: *class,
        },
        RoutingAction::Refuse { request, .. } | RoutingAction::GiveUp { request, .. } => {
            Order::Shed {
                request: number(request.as_str()),
            }
        }
        RoutingAction::Cancel { request } => Order::Cancel {
            request: number(request.as_str()),
        },
        RoutingAction::WantAdapter {
            upstream,
            adapter,
            class,
        } => Order::Want {
            engine: number(upstream.as_str()),
            adapter: number(adapter.name.as_str()),
            class: *class,
        },
    }
}

/// The number after the last `-` of a simulated name.
fn number(name: &str) -> usize {
    let digits = name
        .rsplit('-')
        .next()
        .and_then(|digits| digits.parse().ok());
    digits.unwrap_or_else(|| panic!("`{name}` is no simulated name"))
}
