//! The actor that owns placement: which adapter is on which engine, and this node's pins.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, AdapterState, Class, Clock, FailureDomain, NodeId, UpstreamId};
use nutmegsail_placement::{
    LoadOutcome, OrderId, PinCache, PinCacheAction, PinCacheSettings, PinUse, Placement,
    PlacementAction, PlacementEvent, PlacementMessage, PlacementNote, PlacementSettings, Presence,
};
use nutmegsail_routing::{AdapterAvailability, RoutingEvent};
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_upstream::{Engine, LoadOrder, OrderAnswer, OrderError};
use nutmegsail_wire::{NodeMessage, Payload, PinAnswer, PinAsk, PinOutcome, PinRecall, PinReturn};
use slog::Logger;
use tokio::sync::oneshot;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::dispatcher::{Dispatcher, Routed};
use crate::owners::{OwnerCall, Owners};
use crate::peers::{Peers, SendTo, SendToDomain};

/// Routing wants an adapter on an engine.
pub(crate) struct Wanted {
    /// Where it would serve best.
    pub(crate) engine: UpstreamId,
    /// The adapter.
    pub(crate) adapter: AdapterRef,
    /// The class of the most urgent request that waits for it.
    pub(crate) class: Class,
}

/// A request asks for a pin before its bytes go out.
pub(crate) struct TakePin {
    /// The engine.
    pub(crate) engine: UpstreamId,
    /// The adapter.
    pub(crate) adapter: AdapterRef,
    /// The request's class.
    pub(crate) class: Class,
    /// Told whether the pin is held. Dropped without a word if the owner refuses.
    pub(crate) held: oneshot::Sender<()>,
}

/// A request that held a pin has ended at its engine.
pub(crate) struct ReturnPin {
    /// The engine.
    pub(crate) engine: UpstreamId,
    /// The adapter.
    pub(crate) adapter: AdapterRef,
}

/// Something that placement is told.
pub(crate) struct Placed(pub(crate) PlacementEvent);

/// A message of another node about pins or loads.
pub(crate) struct FromPeer {
    /// The node.
    pub(crate) from: NodeId,
    /// Its message.
    pub(crate) message: NodeMessage,
}

/// The live nodes of the own failure domain changed.
pub(crate) struct LivePeers(pub(crate) Vec<NodeId>);

/// Time has passed.
pub(crate) struct LoaderTick;

struct Waiter {
    held: oneshot::Sender<()>,
    since: Instant,
    class: Class,
}

/// How long a request waits for a pin before it is routed anew.
const PIN_WAIT: Duration = Duration::from_secs(2);

/// What the loader is made of.
pub(crate) struct LoaderParts {
    /// This node.
    pub(crate) node: NodeId,
    /// Where other nodes reach this one.
    pub(crate) address: Arc<str>,
    /// Settings of placement.
    pub(crate) settings: PlacementSettings,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// The engines.
    pub(crate) engines: Arc<dyn Engine>,
    /// Ownership in the key-value service.
    pub(crate) owners: Owners,
    /// The router's actor.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// Other nodes.
    pub(crate) peers: Address<Peers>,
    /// The log.
    pub(crate) log: Logger,
}

/// Owns [`Placement`] and [`PinCache`].
#[derive(xtra::Actor)]
pub(crate) struct Loader {
    placement: Placement,
    pins: PinCache,
    parts: LoaderParts,
    waiters: HashMap<(UpstreamId, AdapterRef), Vec<Waiter>>,
    this: Option<WeakAddress<Loader>>,
    /// Adapters that each engine's last report shows as ready.
    reported: HashMap<UpstreamId, HashSet<AdapterRef>>,
    /// Where each engine of the text stands.
    domains: HashMap<UpstreamId, FailureDomain>,
}

impl Loader {
    /// A loader without a plan.
    pub(crate) fn new(parts: LoaderParts) -> Self {
        Self {
            placement: Placement::new(parts.settings.clone()),
            pins: PinCache::new(PinCacheSettings::default()),
            parts,
            waiters: HashMap::new(),
            this: None,
            reported: HashMap::new(),
            domains: HashMap::new(),
        }
    }

    async fn tell(&mut self, event: PlacementEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.placement
                .handle(event, self.parts.clock.now(), &mut actions);
            for action in actions {
                self.carry_out(action, &mut events).await;
            }
        }
    }

    async fn carry_out(&mut self, action: PlacementAction, events: &mut Vec<PlacementEvent>) {
        match action {
            PlacementAction::Claim {
                engine,
                seen_fence,
                may_replace_live_holder,
            } => {
                self.ask_owners(OwnerCall::Claim {
                    engine,
                    seen_fence,
                    may_replace_live_holder,
                });
            }
            PlacementAction::Release { engine } => self.ask_owners(OwnerCall::Release { engine }),
            PlacementAction::Order { .. } => self.order(action),
            PlacementAction::GrantPin {
                to,
                ask_id,
                engine,
                adapter,
                lease,
            } => {
                let ttl_ms = u32::try_from(lease.as_millis()).unwrap_or(u32::MAX);
                let outcome = PinOutcome::Granted { ttl_ms };
                self.answer_pin(
                    to,
                    PinAnswer {
                        ask_id,
                        engine,
                        adapter,
                        outcome,
                    },
                )
                .await;
            }
            PlacementAction::RefusePin {
                to,
                ask_id,
                engine,
                adapter,
                retry_after,
            } => {
                let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                let outcome = PinOutcome::Refused { retry_after_ms };
                self.answer_pin(
                    to,
                    PinAnswer {
                        ask_id,
                        engine,
                        adapter,
                        outcome,
                    },
                )
                .await;
            }
            PlacementAction::RecallPin {
                to,
                engine,
                adapter,
            } => self.recall_pin(to, PinRecall { engine, adapter }).await,
            PlacementAction::AdapterState {
                engine,
                adapter,
                state,
            } => {
                self.adapter_state(engine, adapter, state).await;
            }
            PlacementAction::Send { to, message } => {
                if to == self.parts.node {
                    events.push(PlacementEvent::Received { from: to, message });
                } else if let Ok(bytes) = postcard_bytes(&message) {
                    self.send(to, NodeMessage::Placement(bytes)).await;
                }
            }
            PlacementAction::SendToDomain { domain, message } => {
                if let Ok(bytes) = postcard_bytes(&message) {
                    let message = NodeMessage::Placement(bytes);
                    self.send_to_domain(domain, message).await;
                }
            }
            PlacementAction::Report(note) => self.log(&note),
        }
    }

    fn ask_owners(&self, call: OwnerCall) {
        if let Some(this) = self.this.as_ref().and_then(WeakAddress::try_upgrade) {
            self.parts.owners.call(call, this);
        }
    }

    fn order(&self, action: PlacementAction) {
        let PlacementAction::Order {
            engine,
            order,
            op,
            adapter,
            fence,
            expected_seq,
            incarnation,
            made_at,
            valid_for,
        } = action
        else {
            return;
        };
        let spent = self.parts.clock.now().saturating_duration_since(made_at);
        let valid_until = self.parts.clock.wall() + valid_for.saturating_sub(spent);
        let load_order = LoadOrder {
            op,
            adapter,
            holder: self.parts.node.clone(),
            fence,
            expected_seq,
            incarnation,
            valid_until_unix_ms: unix_ms(valid_until),
        };
        let Some(this) = self.this.as_ref().and_then(WeakAddress::try_upgrade) else {
            return;
        };
        let engines = Arc::clone(&self.parts.engines);
        tokio::spawn(give_order(engines, engine, order, load_order, this));
    }

    async fn answer_pin(&mut self, to: NodeId, answer: PinAnswer) {
        if to == self.parts.node {
            self.pin_answered(answer);
        } else {
            self.send(to, NodeMessage::PinAnswer(answer)).await;
        }
    }

    async fn recall_pin(&mut self, to: NodeId, recall: PinRecall) {
        if to == self.parts.node {
            self.pin_recalled(&recall);
        } else {
            self.send(to, NodeMessage::PinRecall(recall)).await;
        }
    }

    fn pin_recalled(&mut self, recall: &PinRecall) {
        let now = self.parts.clock.now();
        self.pins.recalled(&recall.engine, &recall.adapter, now);
    }

    async fn adapter_state(&self, engine: UpstreamId, adapter: AdapterRef, state: Presence) {
        let state = match state {
            Presence::Ready => AdapterAvailability::Ready,
            Presence::Loading => AdapterAvailability::Loading,
            Presence::Absent => AdapterAvailability::Absent,
        };
        let event = RoutingEvent::AdapterState {
            upstream: engine,
            adapter,
            state,
        };
        let _ = self.parts.dispatcher.send(Routed(event)).detach().await;
    }

    async fn send(&self, to: NodeId, message: NodeMessage) {
        let _ = self.parts.peers.send(SendTo { to, message }).detach().await;
    }

    /// Asks the engine's owner, which may be this node.
    async fn ask_pin(&mut self, ask_id: u64, engine: UpstreamId, adapter: AdapterRef) {
        let key = (engine.clone(), adapter.clone());
        let waiting = self.waiters.get(&key);
        let urgent = waiting.is_some_and(|all| all.iter().any(|one| one.class == Class::Urgent));
        let class = if urgent {
            Class::Urgent
        } else {
            Class::Routine
        };
        let ask = PinAsk {
            ask_id,
            asker: self.parts.node.clone(),
            reply_to: Arc::clone(&self.parts.address),
            is_passed_on: false,
            engine,
            adapter,
            class,
        };
        self.pin_asked(ask).await;
    }

    /// Answers an ask for a pin, or passes it on to the node that can.
    async fn pin_asked(&mut self, mut ask: PinAsk) {
        match self.owner_of(&ask.engine) {
            Some(owner) if owner != self.parts.node && !ask.is_passed_on => {
                ask.is_passed_on = ask.asker != self.parts.node;
                self.send(owner, NodeMessage::PinAsk(ask)).await;
            }
            Some(_) => {
                let PinAsk {
                    ask_id,
                    asker: from,
                    engine,
                    adapter,
                    class,
                    ..
                } = ask;
                let event = PlacementEvent::PinAsked {
                    from,
                    ask_id,
                    engine,
                    adapter,
                    class,
                };
                Box::pin(self.tell(event)).await;
            }
            None => {
                let engine = ask.engine.clone();
                self.send_to_domain_of(&engine, NodeMessage::PinAsk(ask))
                    .await;
            }
        }
    }

    /// Takes a pin back, or passes the return on to the node that can.
    async fn pin_returned(&mut self, mut give_back: PinReturn) {
        match self.owner_of(&give_back.engine) {
            Some(owner) if owner != self.parts.node && !give_back.is_passed_on => {
                give_back.is_passed_on = give_back.asker != self.parts.node;
                self.send(owner, NodeMessage::PinReturn(give_back)).await;
            }
            Some(_) => {
                let PinReturn {
                    ask_id,
                    asker: from,
                    engine,
                    adapter,
                    ..
                } = give_back;
                self.tell(PlacementEvent::PinReturned {
                    from,
                    ask_id,
                    engine,
                    adapter,
                })
                .await;
            }
            None => {
                let engine = give_back.engine.clone();
                self.send_to_domain_of(&engine, NodeMessage::PinReturn(give_back))
                    .await;
            }
        }
    }

    /// An engine of another failure domain is owned there: any node of it knows by whom.
    async fn send_to_domain_of(&self, engine: &UpstreamId, message: NodeMessage) {
        let Some(domain) = self.domains.get(engine).cloned() else {
            return;
        };
        self.send_to_domain(domain, message).await;
    }

    async fn send_to_domain(&self, domain: FailureDomain, message: NodeMessage) {
        let _ = self
            .parts
            .peers
            .send(SendToDomain { domain, message })
            .detach()
            .await;
    }

    fn owner_of(&self, engine: &UpstreamId) -> Option<NodeId> {
        self.placement
            .owner_of(engine, self.parts.clock.now())
            .cloned()
    }

    fn pin_answered(&mut self, answer: PinAnswer) {
        let PinAnswer {
            ask_id,
            engine,
            adapter,
            outcome,
        } = answer;
        let now = self.parts.clock.now();
        match outcome {
            PinOutcome::Granted { ttl_ms } => {
                let lease = Duration::from_millis(u64::from(ttl_ms));
                self.pins.granted(&engine, &adapter, ask_id, lease);
                self.serve_waiters(engine, adapter, now);
            }
            PinOutcome::Refused { retry_after_ms } => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                self.pins
                    .refused(&engine, &adapter, ask_id, retry_after, now);
                // While an engine changes hands nobody can grant a pin on what it still holds.
                // Turned away at once, its requests would use up their attempts within
                // milliseconds; so they wait for the new owner, up to `PIN_WAIT`.
                if !self.is_reported_ready(&engine, &adapter) {
                    self.waiters.remove(&(engine, adapter));
                }
            }
        }
    }

    fn is_reported_ready(&self, engine: &UpstreamId, adapter: &AdapterRef) -> bool {
        let report = self.reported.get(engine);
        report.is_some_and(|held| held.contains(adapter))
    }

    fn note_event(&mut self, event: &PlacementEvent) {
        match event {
            PlacementEvent::Report { engine, report, .. } => {
                let held = report.adapters.iter();
                let ready = held.filter(|held| held.state == AdapterState::Ready);
                let ready = ready.map(|held| held.adapter.clone()).collect();
                self.reported.insert(engine.clone(), ready);
            }
            PlacementEvent::EngineGone { engine } => {
                self.reported.remove(engine);
            }
            PlacementEvent::Plan(plan) => {
                let engines = plan.engines.iter();
                let domains =
                    engines.map(|engine| (engine.upstream.clone(), engine.failure_domain.clone()));
                self.domains = domains.collect();
            }
            _ => {}
        }
    }

    fn serve_waiters(&mut self, engine: UpstreamId, adapter: AdapterRef, now: Instant) {
        let key = (engine, adapter);
        let Some(waiters) = self.waiters.remove(&key) else {
            return;
        };
        let (engine, adapter) = key;
        for waiter in waiters {
            if !self.pins.begin(&engine, &adapter, now) {
                continue;
            }
            if waiter.held.send(()).is_err() {
                self.pins.returned(&engine, &adapter, now);
            }
        }
    }

    async fn tick_pins(&mut self) {
        let now = self.parts.clock.now();
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| now.saturating_duration_since(waiter.since) < PIN_WAIT);
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
        let mut actions = Vec::new();
        self.pins.tick(now, &mut actions);
        for action in actions {
            self.carry_out_pin(action).await;
        }
        let waiting: Vec<_> = self.waiters.keys().cloned().collect();
        for (engine, adapter) in waiting {
            if self.pins.may_send(&engine, &adapter, now) == PinUse::Ask {
                let ask_id = self.pins.ask(&engine, &adapter, now);
                self.ask_pin(ask_id, engine, adapter).await;
            }
        }
    }

    async fn carry_out_pin(&mut self, action: PinCacheAction) {
        match action {
            PinCacheAction::Ask {
                ask_id,
                engine,
                adapter,
            } => {
                self.ask_pin(ask_id, engine, adapter).await;
            }
            PinCacheAction::Return {
                ask_id,
                engine,
                adapter,
            } => {
                let asker = self.parts.node.clone();
                let is_passed_on = false;
                let give_back = PinReturn {
                    ask_id,
                    asker,
                    is_passed_on,
                    engine,
                    adapter,
                };
                self.pin_returned(give_back).await;
            }
        }
    }

    fn log(&self, note: &PlacementNote) {
        let event = match note {
            PlacementNote::Owned { .. } => Event::EngineOwned,
            PlacementNote::Disowned { .. } => Event::EngineReleased,
            PlacementNote::ColdRestart { .. } => Event::UpstreamRestarted,
            PlacementNote::LoadEnded {
                outcome: LoadOutcome::Ready,
                ..
            } => Event::LoadFinished,
            PlacementNote::LoadEnded { .. } => Event::LoadFailed,
            PlacementNote::OrderUnsettled { .. } => Event::OrderRefused,
        };
        log_event!(self.parts.log, event, "note" => format!("{note:?}"));
    }
}

fn postcard_bytes(message: &PlacementMessage) -> Result<Payload, postcard::Error> {
    Ok(Payload(postcard::to_stdvec(message)?.into()))
}

fn unix_ms(at: std::time::SystemTime) -> u64 {
    let since = at.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

async fn give_order(
    engines: Arc<dyn Engine>,
    engine: UpstreamId,
    order: OrderId,
    load_order: LoadOrder,
    loader: Address<Loader>,
) {
    let result: Result<OrderAnswer, OrderError> = engines.order(&engine, &load_order).await;
    let event = PlacementEvent::OrderAnswered {
        engine,
        order,
        result,
    };
    let _ = loader.send(Placed(event)).detach().await;
}

impl Handler<Placed> for Loader {
    type Return = ();

    async fn handle(&mut self, message: Placed, context: &mut Context<Self>) {
        self.this.get_or_insert_with(|| context.mailbox().address());
        self.note_event(&message.0);
        self.tell(message.0).await;
    }
}

impl Handler<Wanted> for Loader {
    type Return = ();

    async fn handle(&mut self, message: Wanted, _: &mut Context<Self>) {
        let Wanted {
            engine,
            adapter,
            class,
        } = message;
        let event = PlacementEvent::WantAdapter {
            engine: Some(engine),
            adapter,
            class,
        };
        self.tell(event).await;
    }
}

impl Handler<TakePin> for Loader {
    type Return = ();

    async fn handle(&mut self, message: TakePin, _: &mut Context<Self>) {
        let TakePin {
            engine,
            adapter,
            class,
            held,
        } = message;
        let now = self.parts.clock.now();
        let demand = PlacementEvent::Demand {
            adapter: adapter.clone(),
            class,
            weight: 1.0,
        };
        self.tell(demand).await;
        let pin_use = self.pins.may_send(&engine, &adapter, now);
        if matches!(pin_use, PinUse::Held { .. }) && self.pins.begin(&engine, &adapter, now) {
            if held.send(()).is_err() {
                self.pins.returned(&engine, &adapter, now);
            }
            return;
        }
        let waiter = Waiter {
            held,
            since: now,
            class,
        };
        self.waiters
            .entry((engine.clone(), adapter.clone()))
            .or_default()
            .push(waiter);
        if pin_use == PinUse::Ask {
            let ask_id = self.pins.ask(&engine, &adapter, now);
            self.ask_pin(ask_id, engine, adapter).await;
        }
    }
}

impl Handler<ReturnPin> for Loader {
    type Return = ();

    async fn handle(&mut self, message: ReturnPin, _: &mut Context<Self>) {
        self.pins
            .returned(&message.engine, &message.adapter, self.parts.clock.now());
    }
}

impl Handler<FromPeer> for Loader {
    type Return = ();

    async fn handle(&mut self, message: FromPeer, _: &mut Context<Self>) {
        let from = message.from;
        match message.message {
            NodeMessage::PinAsk(ask) => self.pin_asked(ask).await,
            NodeMessage::PinAnswer(answer) => self.pin_answered(answer),
            NodeMessage::PinReturn(give_back) => self.pin_returned(give_back).await,
            NodeMessage::PinRecall(recall) => self.pin_recalled(&recall),
            NodeMessage::Placement(bytes) => {
                if let Ok(message) = postcard::from_bytes(&bytes.0) {
                    self.tell(PlacementEvent::Received { from, message }).await;
                }
            }
            _ => {}
        }
    }
}

impl Handler<LivePeers> for Loader {
    type Return = ();

    async fn handle(&mut self, message: LivePeers, _: &mut Context<Self>) {
        self.tell(PlacementEvent::LiveNodes { nodes: message.0 })
            .await;
    }
}

impl Handler<LoaderTick> for Loader {
    type Return = ();

    async fn handle(&mut self, _: LoaderTick, context: &mut Context<Self>) {
        self.this.get_or_insert_with(|| context.mailbox().address());
        self.tell(PlacementEvent::Tick).await;
        self.tick_pins().await;
    }
}
