//! The actor that owns placement: which adapter is on which engine, and this node's pins.

mod pins;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{AdapterRef, Clock, FailureDomain, NodeId, UpstreamId};
use nutmegsail_placement::{
    LoadOutcome, OrderId, Placement, PlacementAction, PlacementEvent, PlacementMessage,
    PlacementNote, PlacementSettings, Presence,
};
use nutmegsail_routing::{AdapterAvailability, RoutingEvent};
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_upstream::{Engine, LoadOrder, OrderAnswer, OrderError};
use nutmegsail_wire::{NodeMessage, Payload, PinAnswer, PinOutcome, PinRecall};
use slog::Logger;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::dispatcher::{Dispatcher, Routed};
use crate::loader_message::{FromPeer, LivePeers, LoaderTick, Placed, ReturnPin, TakePin, Wanted};
use crate::owners::{OwnerCall, Owners};
use crate::peers::{Peers, SendTo};
use crate::pin_desk::PinDesk;

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

/// Owns [`Placement`] and the [`PinDesk`].
#[derive(xtra::Actor)]
pub(crate) struct Loader {
    placement: Placement,
    desk: PinDesk,
    parts: LoaderParts,
    this: Option<WeakAddress<Loader>>,
    /// Where each engine of the text stands.
    domains: HashMap<UpstreamId, FailureDomain>,
}

impl Loader {
    /// A loader without a plan.
    pub(crate) fn new(parts: LoaderParts) -> Self {
        Self {
            placement: Placement::new(parts.settings.clone()),
            desk: PinDesk::default(),
            parts,
            this: None,
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
                let ttl_ms = millis(lease);
                let outcome = PinOutcome::Granted { ttl_ms };
                self.answer_pin(to, pin_answer(ask_id, engine, adapter, outcome))
                    .await;
            }
            PlacementAction::RefusePin {
                to,
                ask_id,
                engine,
                adapter,
                retry_after,
            } => {
                let retry_after_ms = millis(retry_after);
                let outcome = PinOutcome::Refused { retry_after_ms };
                self.answer_pin(to, pin_answer(ask_id, engine, adapter, outcome))
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
        let valid_until = self.parts.clock.wall_time() + valid_for.saturating_sub(spent);
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

    fn note_event(&mut self, event: &PlacementEvent) {
        match event {
            PlacementEvent::Report { engine, report, .. } => self.desk.reported(engine, report),
            PlacementEvent::EngineGone { engine } => self.desk.engine_gone(engine),
            PlacementEvent::Plan(plan) => {
                let engines = plan.engines.iter();
                let domains =
                    engines.map(|engine| (engine.upstream.clone(), engine.failure_domain.clone()));
                self.domains = domains.collect();
            }
            _ => {}
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

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn pin_answer(
    ask_id: u64,
    engine: UpstreamId,
    adapter: AdapterRef,
    outcome: PinOutcome,
) -> PinAnswer {
    PinAnswer {
        ask_id,
        engine,
        adapter,
        outcome,
    }
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
        let demand = PlacementEvent::Demand {
            adapter: message.adapter.clone(),
            class: message.class,
            weight: 1.0,
        };
        self.tell(demand).await;
        let (engine, adapter) = (message.engine.clone(), message.adapter.clone());
        if let Some(ask_id) = self.desk.take(message, self.parts.clock.now()) {
            self.ask_pin(ask_id, engine, adapter).await;
        }
    }
}

impl Handler<ReturnPin> for Loader {
    type Return = ();

    async fn handle(&mut self, message: ReturnPin, _: &mut Context<Self>) {
        self.desk
            .returned(&message.engine, &message.adapter, self.parts.clock.now());
    }
}

impl Handler<FromPeer> for Loader {
    type Return = ();

    async fn handle(&mut self, message: FromPeer, _: &mut Context<Self>) {
        let from = message.from;
        match message.message {
            NodeMessage::PinAsk(ask) => self.pin_asked(ask).await,
            NodeMessage::PinAnswer(answer) => self.desk.answered(answer, self.parts.clock.now()),
            NodeMessage::PinReturn(give_back) => self.pin_returned(give_back).await,
            NodeMessage::PinRecall(recall) => self.desk.recalled(&recall, self.parts.clock.now()),
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
        for action in self.desk.tick(self.parts.clock.now()) {
            self.carry_out_pin(action).await;
        }
    }
}
