//! Benchmarks of event handling at the size expected in two years: one failure domain with 125
//! engines of 8 slots, all owned by one node, and 11,000 adapters. In a deployment of that size a
//! node owns two or three engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use nutmegsail_base::{
    AdapterRef, AdapterState, Class, EngineReport, HeldAdapter, Incarnation, UpstreamId,
};
use nutmegsail_placement::{
    EnginePlan, Placement, PlacementAction, PlacementEvent, PlacementPlan, PlacementSettings,
};

const ENGINES: u32 = 125;
const SLOTS: u32 = 8;
const ADAPTERS: u32 = 11_000;

fn adapter(n: u32) -> AdapterRef {
    AdapterRef::new(format!("treatment-summary-{n:05}"), 1)
}

fn engine(n: u32) -> UpstreamId {
    format!("10.1.0.{n}:8000").into()
}

fn plan() -> PlacementPlan {
    let engines = (0..ENGINES).map(|n| EnginePlan {
        upstream: engine(n),
        service: "spa-scribe".into(),
        failure_domain: "negril-hall".into(),
        adapter_slots: SLOTS,
        checks_fencing: false,
    });
    PlacementPlan {
        engines: engines.collect(),
        adapters: (0..ADAPTERS)
            .map(|n| (adapter(n), "spa-scribe".into()))
            .collect(),
        ..PlacementPlan::default()
    }
}

fn report(n: u32) -> EngineReport {
    let held = |slot: u32| HeldAdapter {
        adapter: adapter(n * SLOTS + slot),
        state: AdapterState::Ready,
        running: slot % 2,
    };
    EngineReport {
        incarnation: Incarnation(1),
        order_seq: 1,
        fence: 1,
        adapters: (0..SLOTS).map(held).collect(),
        adapter_slots: SLOTS,
        in_flight: SLOTS / 2,
        queued: 0,
        batch_slots: 32,
        is_leaving: false,
    }
}

struct Bench {
    placement: Placement,
    actions: Vec<PlacementAction>,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            placement: Placement::new(PlacementSettings::new("node-0", "negril-hall")),
            actions: Vec::new(),
            now: Instant::now(),
        };
        bench.tell(PlacementEvent::Plan(Arc::new(plan())));
        let nodes = (0..60).map(|n| format!("node-{n}").into()).collect();
        bench.tell(PlacementEvent::LiveNodes { nodes });
        for n in 0..ENGINES {
            bench.tell(PlacementEvent::OwnershipGranted {
                engine: engine(n),
                fence: 1,
                valid_until: bench.now + Duration::from_secs(100_000),
            });
            bench.report(n);
        }
        for n in 0..ADAPTERS {
            bench.demand(n, f64::from(1 + ADAPTERS / (n + 1)));
        }
        bench
    }

    fn tell(&mut self, event: PlacementEvent) {
        self.actions.clear();
        self.placement.handle(event, self.now, &mut self.actions);
        black_box(&self.actions);
    }

    fn report(&mut self, n: u32) {
        let taken_at = self.now;
        self.tell(PlacementEvent::Report {
            engine: engine(n),
            report: report(n),
            taken_at,
        });
    }

    fn demand(&mut self, n: u32, weight: f64) {
        self.tell(PlacementEvent::Demand {
            adapter: adapter(n),
            class: Class::Routine,
            weight,
        });
    }
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

fn handling(c: &mut Criterion) {
    let before = resident_kb();
    let mut bench = Bench::new();
    println!("state with plan: {} KB resident", resident_kb() - before);
    let mut turn = 0;
    c.bench_function("demand", |b| {
        b.iter(|| {
            turn = (turn + 7_919) % ADAPTERS;
            bench.demand(turn, 1.0);
        });
    });
    c.bench_function("tick", |b| {
        b.iter(|| {
            bench.now += Duration::from_millis(100);
            bench.tell(PlacementEvent::Tick);
        });
    });
    c.bench_function("report", |b| {
        b.iter(|| {
            turn = (turn + 1) % ENGINES;
            bench.now += Duration::from_millis(1);
            bench.report(turn);
        });
    });
    c.bench_function("want_absent", |b| {
        b.iter(|| {
            turn = (turn + 7_919) % ADAPTERS;
            bench.tell(PlacementEvent::WantAdapter {
                engine: None,
                adapter: adapter(turn),
                class: Class::Urgent,
            });
        });
    });
    c.bench_function("pin_ask_and_return", |b| {
        let mut ask_id = 0;
        b.iter(|| {
            ask_id += 1;
            bench.tell(PlacementEvent::PinAsked {
                from: "node-7".into(),
                ask_id,
                engine: engine(3),
                adapter: adapter(3 * SLOTS),
                class: Class::Routine,
            });
            bench.tell(PlacementEvent::PinReturned {
                from: "node-7".into(),
                ask_id,
                engine: engine(3),
                adapter: adapter(3 * SLOTS),
            });
        });
    });
}

criterion_group!(benches, handling);
criterion_main!(benches);
