//! Asks for pins, and pins given back, on their way to the engine's owner.

use std::sync::Arc;

use nutmegsail_base::{AdapterRef, FailureDomain, NodeId, UpstreamId};
use nutmegsail_placement::{PinCacheAction, PlacementEvent};
use nutmegsail_wire::{NodeMessage, PinAnswer, PinAsk, PinRecall, PinReturn};

use super::Loader;
use crate::peers::SendToDomain;

impl Loader {
    /// Answers an ask: this node's own at once, another node's by a message.
    pub(super) async fn answer_pin(&mut self, to: NodeId, answer: PinAnswer) {
        if to == self.parts.node {
            self.desk.answered(answer, self.parts.clock.now());
        } else {
            self.send(to, NodeMessage::PinAnswer(answer)).await;
        }
    }

    /// Wants a pin back from its holder.
    pub(super) async fn recall_pin(&mut self, to: NodeId, recall: PinRecall) {
        if to == self.parts.node {
            self.desk.recalled(&recall, self.parts.clock.now());
        } else {
            self.send(to, NodeMessage::PinRecall(recall)).await;
        }
    }

    /// Asks the engine's owner, which may be this node.
    pub(super) async fn ask_pin(&mut self, ask_id: u64, engine: UpstreamId, adapter: AdapterRef) {
        let class = self.desk.class_of(&engine, &adapter);
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
    pub(super) async fn pin_asked(&mut self, mut ask: PinAsk) {
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
    pub(super) async fn pin_returned(&mut self, mut give_back: PinReturn) {
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

    /// Sends a message to some node of a failure domain.
    pub(super) async fn send_to_domain(&self, domain: FailureDomain, message: NodeMessage) {
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

    /// Does what the pins need done.
    pub(super) async fn carry_out_pin(&mut self, action: PinCacheAction) {
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
}
