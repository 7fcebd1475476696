//! Time of one decision at the two-year size: 750 upstreams in 6 failure domains, 11,000 adapters.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_routing::{
    AdapterAvailability, Arrival, Outcome, Router, RouterSettings, RoutingAction, RoutingEvent,
    RoutingPlan, ServicePlan,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 750;
const DOMAINS: usize = 6;
const ADAPTERS: usize = 11_000;
const SLOTS: usize = 16;
const PLACES: u32 = 32;
/// Requests of this node in flight while decisions are measured.
const IN_FLIGHT: usize = 500;

struct Fleet {
    router: Router,
    rng: ChaCha8Rng,
    now: Instant,
    actions: Vec<RoutingAction>,
    next: u64,
    running: Vec<nutmegsail_base::RequestId>,
}

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new(format!("treatment-summary-{index:05}"), 1)
}

impl Fleet {
    fn new() -> Self {
        let mut service = ServicePlan::new("svc")
            .with_in_flight_per_upstream(PLACES)
            .with_batch_slots(PLACES);
        for index in 0..UPSTREAMS {
            let domain = format!("domain-{}", index % DOMAINS);
            service = service.with_upstream(format!("10.0.{index}.1:8000"), domain);
        }
        let plan = RoutingPlan::new(1, "domain-0").with_service(service);
        let mut fleet = Self {
            router: Router::new(RouterSettings::default()),
            rng: ChaCha8Rng::seed_from_u64(11),
            now: Instant::now(),
            actions: Vec::new(),
            next: 0,
            running: Vec::new(),
        };
        let plan = Arc::new(plan.with_in_flight_per_caller(u32::MAX));
        fleet.tell(RoutingEvent::Plan(plan));
        fleet.load();
        for index in 0..IN_FLIGHT {
            let arrival = fleet.arrival(Some(index % ADAPTERS));
            fleet.running.push(arrival.request.clone());
            fleet.tell(RoutingEvent::Arrive(arrival));
        }
        fleet
    }

    /// Every slot is full; adapters have one holder or two.
    fn load(&mut self) {
        for slot in 0..UPSTREAMS * SLOTS {
            self.tell(RoutingEvent::AdapterState {
                upstream: format!("10.0.{}.1:8000", slot / SLOTS).into(),
                adapter: adapter(slot * 7 % ADAPTERS),
                state: AdapterAvailability::Ready,
            });
        }
    }

    fn tell(&mut self, event: RoutingEvent) {
        self.actions.clear();
        self.router
            .handle(event, self.now, &mut self.rng, &mut self.actions);
        black_box(&self.actions);
    }

    fn arrival(&mut self, index: Option<usize>) -> Arrival {
        self.next += 1;
        let class = Class::ALL[(self.next % 2) as usize];
        Arrival {
            request: format!("request-{}", self.next).into(),
            caller: format!("caller-{}", self.next % 100).into(),
            service: "svc".into(),
            adapter: index.map(adapter),
            class,
            deadline: self.now + Duration::from_secs(10),
            target: Duration::from_millis(500),
            prefix: Some(self.next % 1_000),
            idempotent: true,
        }
    }

    /// Times the arrival of a request alone; its end is not counted.
    fn arrive(&mut self, index: Option<usize>) -> Duration {
        self.now += Duration::from_micros(50);
        let arrival = self.arrival(index);
        let request = arrival.request.clone();
        let begin = Instant::now();
        self.tell(RoutingEvent::Arrive(arrival));
        let took = begin.elapsed();
        let outcome = Outcome::CallerGone;
        self.tell(RoutingEvent::Ended { request, outcome });
        took
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision_750_upstreams_11000_adapters");
    let mut fleet = Fleet::new();
    println!("state: {} bytes", fleet.router.memory_bytes());
    group.bench_function("adapter_ready", |b| {
        b.iter_custom(|times| {
            let mut index = 0;
            let mut one = |_| {
                index = (index + 1_237) % ADAPTERS;
                fleet.arrive(Some(index))
            };
            (0..times).map(&mut one).sum()
        });
    });
    group.bench_function("adapter_absent", |b| {
        b.iter_custom(|times| {
            (0..times)
                .map(|_| {
                    let index = ADAPTERS + (fleet.rng.next_u32() as usize % ADAPTERS);
                    fleet.arrive(Some(index))
                })
                .sum()
        });
    });
    group.bench_function("no_adapter", |b| {
        b.iter_custom(|times| (0..times).map(|_| fleet.arrive(None)).sum());
    });
    group.finish();
    let router = &fleet.router;
    println!("state after: {} bytes", router.memory_bytes());
}

criterion_group!(benches, decision);
criterion_main!(benches);
