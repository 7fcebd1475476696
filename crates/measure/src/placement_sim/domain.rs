//! One failure domain under the real placement core.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{Class, EngineReport, UpstreamId};
use nutmegsail_placement::{
    EnginePlan, OrderId, PinCache, PinCacheAction, PinUse, Placement, PlacementAction,
    PlacementEvent, PlacementPlan, PlacementSettings, Presence, StoreUse,
};
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};

use super::engine::{Held, SlotEngine, adapter_index, adapter_ref};
use super::store::WeightStore;

const NODE: &str = "node";

/// The only node of a failure domain, with its engines' last reports.
#[derive(Debug)]
pub(crate) struct PlacedDomain {
    placement: Placement,
    pins: PinCache,
    ready: BTreeMap<usize, Vec<usize>>,
    lagging: Vec<EngineReport>,
}

fn engine_id(engine: usize) -> UpstreamId {
    format!("engine-{engine}").into()
}

fn engine_index(engine: &UpstreamId) -> usize {
    let number = engine.trim_start_matches("engine-");
    number.parse().expect("an engine of the simulation")
}

impl PlacedDomain {
    pub(crate) fn new(
        engines: usize,
        slots: usize,
        adapters: usize,
        domains: usize,
        rate_per_s: f64,
        now: Instant,
    ) -> Self {
        let plan = PlacementPlan {
            engines: (0..engines)
                .map(|engine| EnginePlan {
                    upstream: engine_id(engine),
                    service: "spa-scribe".into(),
                    failure_domain: "own".into(),
                    adapter_slots: slots as u32,
                    checks_fencing: false,
                })
                .collect(),
            adapters: (0..adapters)
                .map(|adapter| (adapter_ref(adapter), "spa-scribe".into()))
                .collect(),
            loads_per_s: rate_per_s,
            failure_domains: domains as u32,
            ..PlacementPlan::default()
        };
        let mut domain = Self {
            placement: Placement::new(PlacementSettings::new(NODE, "own")),
            pins: PinCache::default(),
            ready: BTreeMap::new(),
            lagging: Vec::new(),
        };
        let mut none = Vec::new();
        let nodes = vec![NODE.into()];
        let valid_until = now + Duration::from_secs(100_000);
        domain
            .placement
            .handle(PlacementEvent::Plan(Arc::new(plan)), now, &mut none);
        domain
            .placement
            .handle(PlacementEvent::LiveNodes { nodes }, now, &mut none);
        for engine in (0..engines).map(engine_id) {
            let granted = PlacementEvent::OwnershipGranted {
                engine,
                fence: 1,
                valid_until,
            };
            domain.placement.handle(granted, now, &mut none);
        }
        domain
    }

    pub(crate) fn store_use(&self, now: Instant) -> Option<StoreUse> {
        self.placement.store_use(now)
    }

    /// Tells placement what happened and carries out what it answers, at once.
    pub(crate) fn tell(
        &mut self,
        event: PlacementEvent,
        at: usize,
        engines: &mut [SlotEngine],
        store: &mut WeightStore,
        now: Instant,
    ) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.placement.handle(event, now, &mut actions);
            for action in actions {
                events.extend(self.carry_out(action, at, engines, store, now));
            }
        }
    }

    fn carry_out(
        &mut self,
        action: PlacementAction,
        at: usize,
        engines: &mut [SlotEngine],
        store: &mut WeightStore,
        now: Instant,
    ) -> Option<PlacementEvent> {
        match action {
            PlacementAction::Order {
                engine,
                order,
                op,
                adapter,
                expected_seq,
                ..
            } => {
                let index = engine_index(&engine);
                let adapter = adapter_index(&adapter);
                let target = &mut engines[index];
                let result = if expected_seq != target.order_seq {
                    Err(OrderError::Stale)
                } else {
                    obey(target, op, adapter, || store.begin(at, index, adapter, now))
                };
                return Some(answered(engine, order, result));
            }
            PlacementAction::GrantPin {
                ask_id,
                engine,
                adapter,
                lease,
                ..
            } => self.pins.granted(&engine, &adapter, ask_id, lease),
            PlacementAction::RefusePin {
                ask_id,
                engine,
                adapter,
                retry_after,
                ..
            } => self
                .pins
                .refused(&engine, &adapter, ask_id, retry_after, now),
            PlacementAction::RecallPin {
                engine, adapter, ..
            } => self.pins.recalled(&engine, &adapter, now),
            PlacementAction::AdapterState {
                engine,
                adapter,
                state,
            } => {
                let engine = engine_index(&engine);
                let ready = self.ready.entry(adapter_index(&adapter)).or_default();
                ready.retain(|known| *known != engine);
                if state == Presence::Ready {
                    ready.push(engine);
                }
            }
            PlacementAction::Claim { .. }
            | PlacementAction::Release { .. }
            | PlacementAction::Send { .. }
            | PlacementAction::SendToDomain { .. }
            | PlacementAction::Report(_) => {}
        }
        None
    }

    /// An engine on which a request for `adapter` may begin now. Asks for pins and loads if not.
    pub(crate) fn find(
        &mut self,
        adapter: usize,
        class: Class,
        at: usize,
        engines: &mut [SlotEngine],
        store: &mut WeightStore,
        now: Instant,
    ) -> Option<usize> {
        let name = adapter_ref(adapter);
        let mut ready = self.ready.get(&adapter).cloned().unwrap_or_default();
        ready.retain(|engine| engines[*engine].is_ready(adapter));
        for engine in &ready {
            let id = engine_id(*engine);
            if self.pins.may_send(&id, &name, now) == PinUse::Ask {
                let ask_id = self.pins.ask(&id, &name, now);
                let asked = PlacementEvent::PinAsked {
                    from: NODE.into(),
                    ask_id,
                    engine: id.clone(),
                    adapter: name.clone(),
                    class,
                };
                self.tell(asked, at, engines, store, now);
            }
            if self.pins.begin(&id, &name, now) {
                return Some(*engine);
            }
        }
        let want = PlacementEvent::WantAdapter {
            engine: None,
            adapter: name,
            class,
        };
        self.tell(want, at, engines, store, now);
        None
    }

    pub(crate) fn ended(&mut self, engine: usize, adapter: usize, now: Instant) {
        self.pins
            .returned(&engine_id(engine), &adapter_ref(adapter), now);
    }

    /// Ticks, and hands out the reports of the poll before, so that they lag by one interval.
    pub(crate) fn tick(
        &mut self,
        with_reports: bool,
        at: usize,
        engines: &mut [SlotEngine],
        store: &mut WeightStore,
        now: Instant,
    ) {
        if with_reports {
            let taken: Vec<EngineReport> = engines.iter().map(SlotEngine::report).collect();
            let lagging = std::mem::replace(&mut self.lagging, taken);
            for (engine, report) in lagging.into_iter().enumerate() {
                let event = PlacementEvent::Report {
                    engine: engine_id(engine),
                    report,
                    taken_at: now,
                };
                self.tell(event, at, engines, store, now);
            }
        }
        self.tell(PlacementEvent::Tick, at, engines, store, now);
        let mut actions = Vec::new();
        self.pins.tick(now, &mut actions);
        for action in actions {
            let event = pin_event(action);
            self.tell(event, at, engines, store, now);
        }
    }
}

fn obey(
    engine: &mut SlotEngine,
    op: OrderOp,
    adapter: usize,
    store_takes: impl FnOnce() -> bool,
) -> Result<OrderAnswer, OrderError> {
    match op {
        OrderOp::Load if engine.held.len() >= engine.slots => return Err(OrderError::NoSlot),
        OrderOp::Load => {
            if !store_takes() {
                return Err(OrderError::StoreRefused);
            }
            engine.held.insert(adapter, Held::default());
        }
        OrderOp::Unload => {
            let held = engine.held.remove(&adapter);
            assert!(held.is_none_or(|held| held.running == 0), "evicted in use");
        }
    }
    engine.order_seq += 1;
    Ok(OrderAnswer::Accepted)
}

fn answered(
    engine: UpstreamId,
    order: OrderId,
    result: Result<OrderAnswer, OrderError>,
) -> PlacementEvent {
    PlacementEvent::OrderAnswered {
        engine,
        order,
        result,
    }
}

fn pin_event(action: PinCacheAction) -> PlacementEvent {
    match action {
        PinCacheAction::Ask {
            ask_id,
            engine,
            adapter,
        } => PlacementEvent::PinAsked {
            from: NODE.into(),
            ask_id,
            engine,
            adapter,
            class: Class::Routine,
        },
        PinCacheAction::Return {
            ask_id,
            engine,
            adapter,
        } => PlacementEvent::PinReturned {
            from: NODE.into(),
            ask_id,
            engine,
            adapter,
        },
    }
}
