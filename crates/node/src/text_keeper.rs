//! The actor that keeps the operators' text in force on this node.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use nutmegsail_base::{Clock, FailureDomain, NodeId};
use nutmegsail_config::{
    Digest, Generation, Head, InForce, LiveNodes, Spread, SpreadAction, SpreadEvent, SpreadReport,
    TextSource, TextStore,
};
use nutmegsail_idempotency::ClaimEvent;
use nutmegsail_membership::MembershipEvent;
use nutmegsail_placement::{PlacementEvent, PlacementPlan};
use nutmegsail_routing::RoutingEvent;
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_wire::{NodeMessage, Payload};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::task::JoinSet;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::claims_keeper::{ClaimTold, ClaimsKeeper};
use crate::dispatcher::{Dispatcher, Routed};
use crate::engine_watch::EngineWatch;
use crate::loader::Loader;
use crate::loader_message::Placed;
use crate::peers::{Peers, SendTo, Told};
use crate::plans::routing_plan;
use crate::text_watch::{fetch_pieces, follow, read_head, restore};

/// Another node runs a newer generation.
pub(crate) struct TextSeen {
    /// The node.
    pub(crate) peer: NodeId,
    /// The generation.
    pub(crate) generation: u64,
    /// Its digest.
    pub(crate) digest: Arc<str>,
}

/// A message of another node about the text.
pub(crate) struct TextFromPeer {
    /// The node.
    pub(crate) from: NodeId,
    /// The message.
    pub(crate) message: NodeMessage,
}

/// Something that the spread is told.
pub(crate) struct TextTold(pub(crate) SpreadEvent);

/// What the actor is made of.
pub(crate) struct TextParts {
    /// This node.
    pub(crate) node: NodeId,
    /// This node's failure domain.
    pub(crate) failure_domain: FailureDomain,
    /// The text in the key-value service.
    pub(crate) store: TextStore,
    /// How long a watch waits.
    pub(crate) watch_wait: Duration,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// Draws whom to ask.
    pub(crate) rng: ChaCha8Rng,
    /// What the traffic threads read.
    pub(crate) in_force: Arc<ArcSwapOption<InForce>>,
    /// Reads upstreams of the text in force.
    pub(crate) watch: EngineWatch,
    /// The router's actor.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// The loader.
    pub(crate) loader: Address<Loader>,
    /// The claims.
    pub(crate) claims: Address<ClaimsKeeper>,
    /// Other nodes.
    pub(crate) peers: Address<Peers>,
    /// The log.
    pub(crate) log: Logger,
}

/// Owns [`Spread`] and puts generations in force, each higher than the one before.
#[derive(xtra::Actor)]
pub(crate) struct TextKeeper {
    spread: Spread,
    parts: TextParts,
    /// Reads of upstreams; replaced with each text.
    watching: JoinSet<()>,
    /// The watch on the key-value service, while this node has that duty.
    following: JoinSet<()>,
}

impl TextKeeper {
    /// A keeper without a text.
    pub(crate) fn new(parts: TextParts) -> Self {
        Self {
            spread: Spread::new(
                parts.node.clone(),
                nutmegsail_config::SpreadSettings::default(),
            ),
            parts,
            watching: JoinSet::new(),
            following: JoinSet::new(),
        }
    }

    async fn tell(&mut self, event: SpreadEvent, this: &WeakAddress<Self>) {
        let now = self.parts.clock.now();
        for action in self.spread.handle(event, now, &mut self.parts.rng) {
            self.carry_out(action, this).await;
        }
    }

    async fn carry_out(&mut self, action: SpreadAction, this: &WeakAddress<Self>) {
        match action {
            SpreadAction::AskHead { peer } => {
                self.send(peer, NodeMessage::HeadAsk { ask_id: 0 }).await;
            }
            SpreadAction::FetchPieces {
                from: TextSource::Peer(peer),
                digests,
            } => {
                let digests = digests.into_iter().map(|digest| digest.0).collect();
                self.send(peer, NodeMessage::PiecesAsk { ask_id: 0, digests })
                    .await;
            }
            SpreadAction::FetchPieces {
                from: TextSource::Store,
                digests,
            } => {
                let Some(this) = this.try_upgrade() else {
                    return;
                };
                tokio::spawn(fetch_pieces(self.parts.store.clone(), digests, this));
            }
            SpreadAction::PutInForce(text) => self.put_in_force(text).await,
            SpreadAction::WatchStore => self.watch_store(this),
            SpreadAction::ReadHead => {
                let Some(this) = this.try_upgrade() else {
                    return;
                };
                tokio::spawn(read_head(self.parts.store.clone(), this));
            }
            SpreadAction::StopWatch => self.following.abort_all(),
            SpreadAction::RestoreHead {
                found,
                head,
                pieces,
            } => {
                let Some(this) = this.try_upgrade() else {
                    return;
                };
                log_event!(self.parts.log, Event::TextPutBack, "generation" => head.generation.0);
                tokio::spawn(restore(self.parts.store.clone(), found, head, pieces, this));
            }
            SpreadAction::TellSummary { to } => self.tell_head(to).await,
            SpreadAction::Report(report) => self.log(&report),
        }
    }

    fn watch_store(&mut self, this: &WeakAddress<Self>) {
        let Some(this) = this.try_upgrade() else {
            return;
        };
        let (store, wait) = (self.parts.store.clone(), self.parts.watch_wait);
        self.following.abort_all();
        self.following
            .spawn(follow(store, wait, this, self.parts.log.clone()));
    }

    /// Peers that run an older text get the head of this one: they need not wait for a heartbeat.
    async fn tell_head(&self, to: Vec<NodeId>) {
        let Some(head) = self.spread.head().map(Head::to_json) else {
            return;
        };
        let head = Payload(head.into());
        for peer in to {
            self.send(
                peer,
                NodeMessage::HeadAnswer {
                    ask_id: 0,
                    head: head.clone(),
                },
            )
            .await;
        }
    }

    async fn send(&self, to: NodeId, message: NodeMessage) {
        let _ = self.parts.peers.send(SendTo { to, message }).detach().await;
    }

    async fn put_in_force(&mut self, text: InForce) {
        let (generation, digest) = (text.generation.0, Arc::clone(&text.digest.0));
        let current = self.parts.in_force.load_full();
        // A text that reverts would route by rules that the operators have taken back.
        assert!(current.is_none_or(|current| current.generation < text.generation));
        log_event!(self.parts.log, Event::TextInForce, "generation" => generation);
        let text = Arc::new(text);
        self.parts.in_force.store(Some(Arc::clone(&text)));
        let plan = Arc::new(routing_plan(&text, &self.parts.failure_domain));
        let routed = Routed(RoutingEvent::Plan(plan));
        let _ = self.parts.dispatcher.send(routed).detach().await;
        let plan = Arc::new(PlacementPlan::from_deployment(&text.deployment));
        let placed = Placed(PlacementEvent::Plan(plan));
        let _ = self.parts.loader.send(placed).detach().await;
        let limits = &text.deployment.limits;
        let limits = ClaimEvent::Limits {
            retention: limits.claim_retention,
            skew: limits.clock_skew,
        };
        let _ = self.parts.claims.send(ClaimTold(limits)).detach().await;
        let event = MembershipEvent::OwnGeneration { generation, digest };
        let _ = self.parts.peers.send(Told(event)).detach().await;
        self.watching = self.parts.watch.watch(&text.deployment);
    }

    fn log(&self, report: &SpreadReport) {
        let event = match report {
            SpreadReport::StoreBehind { .. } => Event::OlderTextIgnored,
            SpreadReport::StoreCaughtUp { .. } => Event::TextSeen,
            SpreadReport::Diverged { .. } | SpreadReport::Unreadable { .. } => Event::TextRejected,
        };
        log_event!(self.parts.log, event, "report" => report.to_string());
    }

    async fn answer_peer(&mut self, from: NodeId, message: NodeMessage, this: &WeakAddress<Self>) {
        match message {
            NodeMessage::HeadAsk { .. } => self.tell_head(vec![from]).await,
            NodeMessage::HeadAnswer { head, .. } => {
                if let Ok(head) = Head::from_json(&head.0) {
                    self.tell(SpreadEvent::PeerHead { peer: from, head }, this)
                        .await;
                }
            }
            NodeMessage::PiecesAsk { ask_id, digests } => {
                let digests: Vec<_> = digests.into_iter().map(Digest).collect();
                let pieces = self.spread.pieces(&digests);
                let bytes = |piece: Arc<str>| Payload(piece.as_bytes().to_vec().into());
                let pieces = pieces.into_iter().map(bytes).collect();
                self.send(from, NodeMessage::PiecesAnswer { ask_id, pieces })
                    .await;
            }
            NodeMessage::PiecesAnswer { pieces, .. } => {
                for piece in pieces {
                    if let Ok(text) = std::str::from_utf8(&piece.0) {
                        self.tell(SpreadEvent::PieceArrived(text.into()), this)
                            .await;
                    }
                }
            }
            _ => {}
        }
    }
}

impl Handler<TextTold> for TextKeeper {
    type Return = ();

    async fn handle(&mut self, message: TextTold, context: &mut Context<Self>) {
        self.tell(message.0, &context.mailbox().address()).await;
    }
}

impl Handler<TextSeen> for TextKeeper {
    type Return = ();

    async fn handle(&mut self, message: TextSeen, context: &mut Context<Self>) {
        let event = SpreadEvent::PeerSummary {
            peer: message.peer,
            generation: Generation(message.generation),
            digest: Some(Digest(message.digest)).filter(|digest| !digest.0.is_empty()),
        };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<LiveNodes> for TextKeeper {
    type Return = ();

    async fn handle(&mut self, message: LiveNodes, context: &mut Context<Self>) {
        let event = SpreadEvent::LiveNodes(message);
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<TextFromPeer> for TextKeeper {
    type Return = ();

    async fn handle(&mut self, message: TextFromPeer, context: &mut Context<Self>) {
        let this = context.mailbox().address();
        self.answer_peer(message.from, message.message, &this).await;
    }
}
