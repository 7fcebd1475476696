//! The actor that owns membership and the link to other nodes.

use std::collections::HashMap;
use std::sync::Arc;

use nutmegsail_base::{Clock, FailureDomain, NodeId, UpstreamId};
use nutmegsail_config::LiveNodes;
use nutmegsail_membership::{
    Contact, DomainSummary, LiveNode, Membership, MembershipAction, MembershipEvent,
    MembershipNote, StatusReport, VmHint,
};
use nutmegsail_routing::RoutingEvent;
use nutmegsail_store::{Vm, VmList, VmRole, VmState};
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_wire::{Envelope, Link, NodeMessage};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::claims_keeper::{ClaimNodes, ClaimWriters, ClaimsFromPeer, ClaimsKeeper};
use crate::dispatcher::{Dispatcher, Routed};
use crate::loader::Loader;
use crate::loader_message::{FromPeer, LivePeers};
use crate::text_keeper::{TextFromPeer, TextKeeper, TextSeen};

/// Send a message to a node, by its name. Answers whether the link took it; if not, nothing of it
/// has left this node.
pub(crate) struct SendTo {
    /// The node.
    pub(crate) to: NodeId,
    /// The message.
    pub(crate) message: NodeMessage,
}

/// Send a message to some node of a failure domain.
pub(crate) struct SendToDomain {
    /// The failure domain.
    pub(crate) domain: FailureDomain,
    /// The message.
    pub(crate) message: NodeMessage,
}

/// A message of another node arrived.
pub(crate) struct Arrived(pub(crate) Envelope);

/// Something that membership is told.
pub(crate) struct Told(pub(crate) MembershipEvent);

/// The platform's VM list was read.
pub(crate) struct VmsRead(pub(crate) Vec<Vm>);

/// An operator asks how the nodes stand.
pub(crate) struct AskStatus;

/// What the actor is made of.
pub(crate) struct PeersParts {
    /// The membership core.
    pub(crate) membership: Membership,
    /// The link.
    pub(crate) link: Arc<Link>,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// Draws whom to write to.
    pub(crate) rng: ChaCha8Rng,
    /// The VM list.
    pub(crate) vms: Arc<dyn VmList>,
    /// The other actors.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// The loader.
    pub(crate) loader: Address<Loader>,
    /// The claims.
    pub(crate) claims: Address<ClaimsKeeper>,
    /// The text.
    pub(crate) text: Address<TextKeeper>,
    /// The log.
    pub(crate) log: Logger,
}

/// Owns [`Membership`] and sends and receives what nodes tell each other.
#[derive(xtra::Actor)]
pub(crate) struct Peers {
    parts: PeersParts,
    addresses: HashMap<NodeId, Arc<str>>,
    live: Vec<NodeId>,
    /// Nodes of other failure domains that may be written to, as those domains name them.
    contacts: HashMap<FailureDomain, Vec<Contact>>,
}

impl Peers {
    /// An actor that knows nobody yet.
    pub(crate) fn new(parts: PeersParts) -> Self {
        Self {
            parts,
            addresses: HashMap::new(),
            live: Vec::new(),
            contacts: HashMap::new(),
        }
    }

    async fn tell(&mut self, event: MembershipEvent, this: &WeakAddress<Self>) {
        let now = self.parts.clock.now();
        let mut actions = Vec::new();
        let rng = &mut self.parts.rng;
        self.parts.membership.handle(event, now, rng, &mut actions);
        for action in actions {
            self.carry_out(action, this).await;
        }
    }

    async fn carry_out(&mut self, action: MembershipAction, this: &WeakAddress<Self>) {
        match action {
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                self.send_all(&to, &NodeMessage::Heartbeat(heartbeat));
            }
            MembershipAction::SendSummary { to, summary } => {
                self.send_all(&to, &NodeMessage::Summary(summary));
            }
            MembershipAction::Disconnect { address } => self.parts.link.disconnect(&address),
            MembershipAction::LiveNodesChanged { nodes } => self.live_nodes(nodes).await,
            MembershipAction::AskVmList => self.read_vms(this),
            MembershipAction::UpstreamLeaving { upstream, .. } => self.leaving(upstream).await,
            MembershipAction::UpstreamStaying { upstream } => {
                let event = RoutingEvent::Staying { upstream };
                let _ = self.parts.dispatcher.send(Routed(event)).detach().await;
            }
            MembershipAction::GenerationSeen {
                peer,
                address,
                generation,
                digest,
            } => {
                self.addresses.insert(peer.clone(), address);
                let seen = TextSeen {
                    peer,
                    generation,
                    digest,
                };
                let _ = self.parts.text.send(seen).detach().await;
            }
            MembershipAction::Report(note) => self.log(&note),
        }
    }

    fn send_all(&self, to: &[Arc<str>], message: &NodeMessage) {
        for address in to {
            self.send(address, message);
        }
    }

    /// A lost message is normal between nodes, so a failed send is only logged. Returns whether the
    /// link took the message.
    fn send(&self, address: &str, message: &NodeMessage) -> bool {
        let sent = self.parts.link.send(address, message);
        if let Err(error) = &sent {
            log_event!(self.parts.log, Event::LinkFailed, "error" => error.to_string());
        }
        sent.is_ok()
    }

    async fn live_nodes(&mut self, nodes: Vec<LiveNode>) {
        for live in &nodes {
            self.addresses
                .insert(live.node.clone(), Arc::clone(&live.address));
        }
        self.live = nodes.iter().map(|live| live.node.clone()).collect();
        self.tell_text().await;
        let names = nodes.iter().map(|live| live.node.clone()).collect();
        let _ = self.parts.loader.send(LivePeers(names)).detach().await;
        let _ = self.parts.claims.send(ClaimNodes(nodes)).detach().await;
    }

    /// Any entry VM of any failure domain may write claims, so its node must be reachable by name.
    async fn claim_writers(&mut self, entry: &[Vm]) {
        let live = entry.iter().filter(|vm| vm.state == VmState::Live);
        let mut nodes = Vec::new();
        for vm in live {
            // Heartbeats know better where a live node is; of the others only the list tells.
            if !self.live.contains(&vm.id) {
                let address = vm.address.as_str().into();
                self.addresses.insert(vm.id.clone(), address);
            }
            nodes.push(vm.id.clone());
        }
        let _ = self.parts.claims.send(ClaimWriters(nodes)).detach().await;
    }

    async fn leaving(&self, upstream: UpstreamId) {
        log_event!(self.parts.log, Event::UpstreamLeaving, "upstream" => upstream.to_string());
        let event = RoutingEvent::Leaving { upstream };
        let _ = self.parts.dispatcher.send(Routed(event)).detach().await;
    }

    fn read_vms(&self, this: &WeakAddress<Self>) {
        let Some(this) = this.try_upgrade() else {
            return;
        };
        let vms = Arc::clone(&self.parts.vms);
        let log = self.parts.log.clone();
        tokio::spawn(async move {
            match vms.list().await {
                Ok(vms) => drop(this.send(VmsRead(vms)).detach().await),
                Err(error) => {
                    log_event!(log, Event::VmListUnavailable, "error" => error.to_string());
                }
            }
        });
    }

    fn log(&self, note: &MembershipNote) {
        let event = match note {
            MembershipNote::PeerJoined(_) => Event::PeerJoined,
            MembershipNote::PeerUnreachable(_) => Event::PeerUnreachable,
            MembershipNote::PeerReturned(_) => Event::PeerReturned,
            MembershipNote::PeerRemoved(_) => Event::PeerRemoved,
            MembershipNote::PeerRestarted(_) => Event::PeerRestarted,
            MembershipNote::PeerLeaving(_) | MembershipNote::OwnVmLeaving => Event::PeerLeaving,
            MembershipNote::RemovalHeld { .. } => Event::RemovalHeld,
            MembershipNote::DomainUnreachable(_) => Event::DomainUnreachable,
            MembershipNote::DomainReturned(_) => Event::DomainReturned,
            MembershipNote::OwnPause { .. } => Event::NodeResumed,
            MembershipNote::NameTaken { .. } => Event::LinkFailed,
        };
        log_event!(self.parts.log, event, "note" => format!("{note:?}"));
    }
}

impl Peers {
    /// Whom the text may be had from.
    async fn tell_text(&self) {
        let contacts = self.contacts.values().flatten();
        let live = LiveNodes {
            own_domain: self.live.clone(),
            elsewhere: contacts.map(|contact| contact.node.clone()).collect(),
        };
        let _ = self.parts.text.send(live).detach().await;
    }

    async fn to_loader(&self, from: NodeId, message: NodeMessage) {
        let message = FromPeer { from, message };
        let _ = self.parts.loader.send(message).detach().await;
    }

    async fn to_text(&self, from: NodeId, message: NodeMessage) {
        let message = TextFromPeer { from, message };
        let _ = self.parts.text.send(message).detach().await;
    }

    async fn to_claims(&self, from: NodeId, message: NodeMessage) {
        let message = ClaimsFromPeer { from, message };
        let _ = self.parts.claims.send(message).detach().await;
    }

    async fn note_contacts(&mut self, summary: &DomainSummary) {
        let domain = summary.failure_domain.clone();
        for contact in &summary.contacts {
            let address = Arc::clone(&contact.address);
            self.addresses.insert(contact.node.clone(), address);
        }
        let known = self.contacts.insert(domain, summary.contacts.clone());
        if known.as_ref() != Some(&summary.contacts) {
            self.tell_text().await;
        }
    }
}

fn hint(vm: Vm) -> VmHint {
    VmHint {
        id: vm.id,
        address: vm.address.into(),
        failure_domain: vm.failure_domain,
        is_leaving: vm.state == VmState::Leaving,
    }
}

impl Handler<SendTo> for Peers {
    type Return = bool;

    async fn handle(&mut self, message: SendTo, _: &mut Context<Self>) -> bool {
        let address = self.addresses.get(&message.to);
        address.is_some_and(|address| self.send(address, &message.message))
    }
}

impl Handler<SendToDomain> for Peers {
    type Return = ();

    async fn handle(&mut self, message: SendToDomain, _: &mut Context<Self>) {
        let contacts = self.contacts.get(&message.domain);
        if let Some(contact) = contacts.and_then(|contacts| contacts.choose(&mut self.parts.rng)) {
            let address = Arc::clone(&contact.address);
            self.send(&address, &message.message);
        }
    }
}

impl Handler<Arrived> for Peers {
    type Return = ();

    async fn handle(&mut self, message: Arrived, context: &mut Context<Self>) {
        let Envelope {
            from,
            incarnation,
            message,
        } = message.0;
        let this = context.mailbox().address();
        match message {
            NodeMessage::Heartbeat(heartbeat) => {
                self.addresses
                    .insert(from.clone(), Arc::clone(&heartbeat.address));
                for summary in &heartbeat.summaries {
                    self.note_contacts(summary).await;
                }
                self.tell(
                    MembershipEvent::Heard {
                        from,
                        incarnation,
                        heartbeat,
                    },
                    &this,
                )
                .await;
            }
            NodeMessage::Summary(summary) => {
                self.note_contacts(&summary).await;
                self.tell(MembershipEvent::SummaryHeard { from, summary }, &this)
                    .await;
            }
            NodeMessage::PinAsk(ask) => {
                let reply_to = Arc::clone(&ask.reply_to);
                self.addresses.insert(ask.asker.clone(), reply_to);
                let message = NodeMessage::PinAsk(ask);
                self.to_loader(from, message).await;
            }
            NodeMessage::PinAnswer(_)
            | NodeMessage::PinReturn(_)
            | NodeMessage::PinRecall(_)
            | NodeMessage::Placement(_) => {
                self.to_loader(from, message).await;
            }
            NodeMessage::PiecesAsk { .. }
            | NodeMessage::PiecesAnswer { .. }
            | NodeMessage::HeadAsk { .. }
            | NodeMessage::HeadAnswer { .. } => {
                self.to_text(from, message).await;
            }
            NodeMessage::ClaimAsk { .. }
            | NodeMessage::ClaimAnswer { .. }
            | NodeMessage::Forward(_)
            | NodeMessage::ForwardAnswer(_) => {
                self.to_claims(from, message).await;
            }
            // A caller's resume goes straight to the engine; no node asks another one for it yet.
            NodeMessage::ResumeAsk { .. } | NodeMessage::ResumeAnswer { .. } => {}
        }
    }
}

impl Handler<Told> for Peers {
    type Return = ();

    async fn handle(&mut self, message: Told, context: &mut Context<Self>) {
        let this = context.mailbox().address();
        self.tell(message.0, &this).await;
    }
}

impl Handler<VmsRead> for Peers {
    type Return = ();

    async fn handle(&mut self, message: VmsRead, context: &mut Context<Self>) {
        let this = context.mailbox().address();
        let (entry, upstreams): (Vec<_>, Vec<_>) = message
            .0
            .into_iter()
            .partition(|vm| vm.duty == VmRole::Entry);
        self.claim_writers(&entry).await;
        let vms = entry.into_iter().map(hint).collect();
        self.tell(MembershipEvent::VmListRead { vms }, &this).await;
        for vm in upstreams
            .into_iter()
            .filter(|vm| vm.state == VmState::Leaving)
        {
            let event = MembershipEvent::UpstreamLeaving {
                upstream: vm.address.into(),
                incarnation: None,
                source: nutmegsail_membership::LeavingSource::VmList,
            };
            self.tell(event, &this).await;
        }
    }
}

impl Handler<AskStatus> for Peers {
    type Return = StatusReport;

    async fn handle(&mut self, _: AskStatus, _: &mut Context<Self>) -> StatusReport {
        self.parts.membership.status()
    }
}
