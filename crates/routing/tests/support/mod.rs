//! A test harness: a router with a clock that the test moves.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{
    AdapterRef, AdapterState, Class, EngineReport, HeldAdapter, Incarnation, ResultCode,
};
use nutmegsail_routing::{
    AdapterAvailability, Arrival, Outcome, Router, RouterSettings, RoutingAction, RoutingEvent,
    RoutingPlan, ServicePlan,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A router with its clock and its random source.
pub struct Harness {
    pub router: Router,
    pub now: Instant,
    pub rng: ChaCha8Rng,
    next: u32,
}

impl Harness {
    /// A router with default settings in failure domain `a`.
    pub fn new(service: ServicePlan) -> Self {
        Self::with(
            RouterSettings::default(),
            RoutingPlan::new(1, "a").with_service(service),
        )
    }

    pub fn with(settings: RouterSettings, plan: RoutingPlan) -> Self {
        let mut harness = Self {
            router: Router::new(settings),
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(7),
            next: 0,
        };
        harness.handle(RoutingEvent::Plan(Arc::new(plan)));
        harness
    }

    pub fn handle(&mut self, event: RoutingEvent) -> Vec<RoutingAction> {
        let mut actions = Vec::new();
        self.router
            .handle(event, self.now, &mut self.rng, &mut actions);
        actions
    }

    /// Moves the clock forward and handles a tick.
    pub fn advance(&mut self, ms: u64) -> Vec<RoutingAction> {
        self.now += Duration::from_millis(ms);
        self.handle(RoutingEvent::Tick)
    }

    /// A call to `svc` with a deadline in 10 s.
    pub fn call(&mut self, class: Class) -> Arrival {
        self.next += 1;
        Arrival {
            request: format!("r{}", self.next).into(),
            caller: "caller".into(),
            service: "svc".into(),
            adapter: None,
            class,
            deadline: self.now + Duration::from_secs(10),
            target: Duration::from_millis(500),
            prefix: None,
            idempotent: true,
        }
    }

    pub fn arrive(&mut self, arrival: &Arrival) -> Vec<RoutingAction> {
        self.handle(RoutingEvent::Arrive(arrival.clone()))
    }

    /// Lets a new call arrive and returns it with the upstream that it was dispatched to.
    pub fn send(&mut self, class: Class) -> (Arrival, Option<String>) {
        let arrival = self.call(class);
        let actions = self.arrive(&arrival);
        (arrival, dispatched(&actions))
    }

    pub fn end(&mut self, arrival: &Arrival, outcome: Outcome) -> Vec<RoutingAction> {
        let request = arrival.request.clone();
        self.handle(RoutingEvent::Ended { request, outcome })
    }

    pub fn set_adapter(
        &mut self,
        upstream: &str,
        adapter: &AdapterRef,
        state: AdapterAvailability,
    ) -> Vec<RoutingAction> {
        self.handle(RoutingEvent::AdapterState {
            upstream: upstream.into(),
            adapter: adapter.clone(),
            state,
        })
    }

    pub fn report(&mut self, upstream: &str, report: EngineReport) -> Vec<RoutingAction> {
        let upstream = upstream.into();
        self.handle(RoutingEvent::Report { upstream, report })
    }
}

/// A service `svc` with upstreams `u1` to `un` in failure domain `a`.
pub fn service(upstreams: usize) -> ServicePlan {
    (1..=upstreams).fold(ServicePlan::new("svc"), |service, index| {
        service.with_upstream(format!("u{index}"), "a")
    })
}

/// A report of the first incarnation with `adapters` ready.
pub fn report(adapters: &[&AdapterRef], in_flight: u32) -> EngineReport {
    let held = |adapter: &&AdapterRef| HeldAdapter {
        adapter: (*adapter).clone(),
        state: AdapterState::Ready,
        running: 0,
    };
    EngineReport {
        incarnation: Incarnation(1),
        order_seq: 0,
        fence: 0,
        adapters: adapters.iter().map(held).collect(),
        adapter_slots: 8,
        in_flight,
        queued: 0,
        batch_slots: 32,
        is_leaving: false,
    }
}

/// The upstream of the first dispatch in `actions`.
pub fn dispatched(actions: &[RoutingAction]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        RoutingAction::Dispatch { upstream, .. } => Some(upstream.to_string()),
        _ => None,
    })
}

/// The code of the first refusal in `actions`.
pub fn refused(actions: &[RoutingAction]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        RoutingAction::Refuse { code, .. } => Some(*code),
        _ => None,
    })
}

/// The code of the first `GiveUp` ("may have run") in `actions`.
pub fn given_up(actions: &[RoutingAction]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        RoutingAction::GiveUp { code, .. } => Some(*code),
        _ => None,
    })
}
