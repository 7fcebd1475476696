//! A fixture with one node that owns one engine. The test passes every event itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{
    AdapterRef, AdapterState, Class, EngineReport, HeldAdapter, Incarnation, NodeId, UpstreamId,
};
use nutmegsail_placement::{
    EnginePlan, OrderId, Placement, PlacementAction, PlacementEvent, PlacementPlan,
    PlacementSettings,
};
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};

pub const FENCE: u64 = 7;

pub fn adapter(n: u32) -> AdapterRef {
    AdapterRef::new(format!("adapter-{n}"), 1)
}

pub fn engine() -> UpstreamId {
    "engine:8000".into()
}

pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

pub fn plan(checks_fencing: bool, adapter_slots: u32) -> PlacementPlan {
    PlacementPlan {
        engines: vec![EnginePlan {
            upstream: engine(),
            service: "spa-desk".into(),
            failure_domain: "ochi-hall".into(),
            adapter_slots,
            checks_fencing,
        }],
        adapters: (0..8).map(|n| (adapter(n), "spa-desk".into())).collect(),
        ..PlacementPlan::default()
    }
}

pub fn held(n: u32, running: u32) -> HeldAdapter {
    HeldAdapter {
        adapter: adapter(n),
        state: AdapterState::Ready,
        running,
    }
}

/// A node, and the report that its engine would give.
pub struct SingleOwner {
    pub placement: Placement,
    pub now: Instant,
    pub report: EngineReport,
}

impl SingleOwner {
    /// A node that has just taken over the engine and has seen no report yet.
    pub fn new(checks_fencing: bool, adapter_slots: u32) -> Self {
        let mut owner = Self {
            placement: Placement::new(PlacementSettings::new("node", "ochi-hall")),
            now: Instant::now(),
            report: EngineReport {
                incarnation: Incarnation(1),
                order_seq: 0,
                fence: if checks_fencing { FENCE } else { 0 },
                adapters: Vec::new(),
                adapter_slots,
                in_flight: 0,
                queued: 0,
                batch_slots: 8,
                is_leaving: false,
            },
        };
        owner.handle(PlacementEvent::Plan(Arc::new(plan(
            checks_fencing,
            adapter_slots,
        ))));
        owner.handle(PlacementEvent::LiveNodes {
            nodes: vec![NodeId::from("node")],
        });
        owner.grant(secs(1_000));
        owner
    }

    pub fn grant(&mut self, valid_for: Duration) {
        let valid_until = self.now + valid_for;
        self.handle(PlacementEvent::OwnershipGranted {
            engine: engine(),
            fence: FENCE,
            valid_until,
        });
    }

    pub fn handle(&mut self, event: PlacementEvent) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        self.placement.handle(event, self.now, &mut actions);
        actions
    }

    /// Passes the engine's report, as requested `age` ago.
    pub fn handle_report(&mut self, age: Duration) -> Vec<PlacementAction> {
        let event = PlacementEvent::Report {
            engine: engine(),
            report: self.report.clone(),
            taken_at: self.now - age,
        };
        self.handle(event)
    }

    pub fn want(&mut self, n: u32, class: Class) -> Vec<PlacementAction> {
        self.handle(PlacementEvent::WantAdapter {
            engine: None,
            adapter: adapter(n),
            class,
        })
    }

    pub fn ask_pin(&mut self, ask_id: u64, n: u32) -> bool {
        let actions = self.handle(PlacementEvent::PinAsked {
            from: "holder".into(),
            ask_id,
            engine: engine(),
            adapter: adapter(n),
            class: Class::Routine,
        });
        let granted = |a: &PlacementAction| matches!(a, PlacementAction::GrantPin { .. });
        actions.iter().any(granted)
    }

    pub fn return_pin(&mut self, ask_id: u64, n: u32) {
        self.handle(PlacementEvent::PinReturned {
            from: "holder".into(),
            ask_id,
            engine: engine(),
            adapter: adapter(n),
        });
    }

    pub fn answer(
        &mut self,
        order: OrderId,
        result: Result<OrderAnswer, OrderError>,
    ) -> Vec<PlacementAction> {
        self.handle(PlacementEvent::OrderAnswered {
            engine: engine(),
            order,
            result,
        })
    }

    /// Lets `time` pass with ticks, fresh reports and requests for the adapter `wanted`; returns
    /// the first order and the time until it.
    pub fn first_order_within(&mut self, time: Duration, wanted: u32) -> Option<(Duration, Order)> {
        let start = self.now;
        while self.now < start + time {
            self.now += Duration::from_millis(100);
            let mut actions = self.want(wanted, Class::Urgent);
            actions.extend(self.handle_report(Duration::ZERO));
            actions.extend(self.handle(PlacementEvent::Tick));
            if let Some(order) = orders(&actions).pop() {
                return Some((self.now - start, order));
            }
        }
        None
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub id: OrderId,
    pub op: OrderOp,
    pub adapter: AdapterRef,
}

pub fn orders(actions: &[PlacementAction]) -> Vec<Order> {
    let order = |action: &PlacementAction| match action {
        PlacementAction::Order {
            order, op, adapter, ..
        } => Some(Order {
            id: *order,
            op: *op,
            adapter: adapter.clone(),
        }),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}
