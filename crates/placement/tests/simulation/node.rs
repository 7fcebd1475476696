//! A simulated node: placement, pins, and requests that wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, NodeId, UpstreamId};
use nutmegsail_placement::{
    PinCache, PinCacheAction, PinUse, Placement, PlacementAction, PlacementEvent,
    PlacementSettings, Presence,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// An input that arrives at a node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    Event(PlacementEvent),
    Granted(UpstreamId, AdapterRef, u64, Duration),
    Refused(UpstreamId, AdapterRef, u64, Duration),
    Recalled(UpstreamId, AdapterRef),
    Presence(UpstreamId, AdapterRef, Presence),
    RequestOver(UpstreamId, AdapterRef),
    RequestRefused(UpstreamId, AdapterRef),
}

#[derive(Debug)]
struct WaitingRequest {
    adapter: AdapterRef,
    class: Class,
    run_time: Duration,
    since: Instant,
}

/// What a node does for its requests in one step.
#[derive(Debug, Default)]
pub struct Served {
    pub sent: Vec<(UpstreamId, AdapterRef, Duration)>,
    pub pins: Vec<PinCacheAction>,
    pub events: Vec<PlacementEvent>,
}

#[derive(Debug)]
pub struct SimulatedNode {
    pub id: NodeId,
    pub placement: Placement,
    pub pins: PinCache,
    pub paused_until: Option<Instant>,
    /// How long the node pauses between making its next order and sending it.
    pub pause_at_order: Option<Duration>,
    pub known: BTreeMap<(AdapterRef, UpstreamId), Presence>,
    pub waits: Vec<Duration>,
    waiting: Vec<WaitingRequest>,
}

impl SimulatedNode {
    pub fn new(id: NodeId) -> Self {
        let settings = PlacementSettings::new(id.clone(), "negril-hall");
        Self {
            id,
            placement: Placement::new(settings),
            pins: PinCache::default(),
            paused_until: None,
            pause_at_order: None,
            known: BTreeMap::new(),
            waits: Vec::new(),
            waiting: Vec::new(),
        }
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    pub fn is_seen_live(&self, now: Instant) -> bool {
        !self.is_paused(now) || self.pause_at_order.is_some()
    }

    pub fn add_request(
        &mut self,
        adapter: &AdapterRef,
        class: Class,
        run_time: Duration,
        now: Instant,
    ) {
        self.waiting.push(WaitingRequest {
            adapter: adapter.clone(),
            class,
            run_time,
            since: now,
        });
        let mut none = Vec::new();
        let demand = PlacementEvent::Demand {
            adapter: adapter.clone(),
            class,
            weight: 1.0,
        };
        self.placement.handle(demand, now, &mut none);
    }

    pub fn handle(&mut self, input: NodeInput, now: Instant) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        match input {
            NodeInput::Event(event) => self.placement.handle(event, now, &mut actions),
            NodeInput::Granted(engine, adapter, ask_id, lease) => {
                self.pins.granted(&engine, &adapter, ask_id, lease);
            }
            NodeInput::Refused(engine, adapter, ask_id, retry_after) => {
                self.pins
                    .refused(&engine, &adapter, ask_id, retry_after, now);
            }
            NodeInput::Recalled(engine, adapter) => self.pins.recalled(&engine, &adapter, now),
            NodeInput::Presence(engine, adapter, state) => {
                self.known.insert((adapter, engine), state);
            }
            NodeInput::RequestOver(engine, adapter) => self.pins.returned(&engine, &adapter, now),
            NodeInput::RequestRefused(engine, adapter) => {
                self.pins.returned(&engine, &adapter, now);
                self.known.remove(&(adapter, engine));
            }
        }
        actions
    }

    /// Sends the requests that a pin allows; requests pins and loads for the others.
    pub fn serve(&mut self, now: Instant) -> Served {
        let mut served = Served::default();
        self.pins.tick(now, &mut served.pins);
        for request in std::mem::take(&mut self.waiting) {
            if self.try_send(&request, now, &mut served) {
                self.waits.push(now - request.since);
            } else if now < request.since + REQUEST_TIMEOUT {
                self.waiting.push(request);
            }
        }
        served
    }

    fn try_send(&mut self, request: &WaitingRequest, now: Instant, served: &mut Served) -> bool {
        let adapter = &request.adapter;
        let first = (adapter.clone(), UpstreamId::from(""));
        let ready: Vec<UpstreamId> = self
            .known
            .range(first..)
            .take_while(|((known, _), _)| known == adapter)
            .filter(|(_, state)| **state == Presence::Ready)
            .map(|((_, engine), _)| engine.clone())
            .collect();
        for engine in &ready {
            match self.pins.may_send(engine, adapter, now) {
                PinUse::Held { .. } => {
                    assert!(self.pins.begin(engine, adapter, now));
                    let sent = (engine.clone(), adapter.clone(), request.run_time);
                    served.sent.push(sent);
                    return true;
                }
                PinUse::Ask => {
                    let ask_id = self.pins.ask(engine, adapter, now);
                    served.pins.push(PinCacheAction::Ask {
                        ask_id,
                        engine: engine.clone(),
                        adapter: adapter.clone(),
                    });
                }
                PinUse::Wait => {}
            }
        }
        if ready.is_empty() {
            served.events.push(PlacementEvent::WantAdapter {
                engine: None,
                adapter: adapter.clone(),
                class: request.class,
            });
        }
        false
    }
}
