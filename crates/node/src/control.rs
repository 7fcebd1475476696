//! The control thread: one thread whose actors own the state of each duty.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use nutmegsail_base::Incarnation;
use nutmegsail_config::{InForce, SpreadEvent, TextStore};
use nutmegsail_idempotency::ClaimEvent;
use nutmegsail_membership::{Membership, MembershipEvent};
use nutmegsail_placement::PlacementSettings;
use nutmegsail_routing::RoutingEvent;
use nutmegsail_wire::{Envelope, Link};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::mpsc;
use xtra::{Address, Mailbox};

use crate::claims_keeper::{ClaimTold, ClaimsKeeper, ClaimsParts};
use crate::dispatcher::{Dispatcher, Routed};
use crate::engine_watch::EngineWatch;
use crate::loader::{Loader, LoaderParts};
use crate::loader_message::LoaderTick;
use crate::owners::Owners;
use crate::peers::{Arrived, Peers, PeersParts, Told};
use crate::text_keeper::{TextKeeper, TextParts, TextTold};
use crate::{NodeSettings, Outside};

/// How many messages an actor may leave unread before its senders wait.
const MAILBOX: usize = 8192;

/// How often the claims look at the time: their group commits are this much apart at least.
const CLAIMS_TICK: Duration = Duration::from_millis(4);

/// How often the spread of texts looks at the time.
const TEXT_TICK: Duration = Duration::from_millis(100);

/// What the control thread is made of.
pub(crate) struct ControlParts {
    /// The node's settings.
    pub(crate) settings: NodeSettings,
    /// Everything outside.
    pub(crate) outside: Outside,
    /// The run of the process.
    pub(crate) incarnation: Incarnation,
    /// The link to other nodes.
    pub(crate) link: Arc<Link>,
    /// What arrives over it.
    pub(crate) arrivals: mpsc::Receiver<Envelope>,
    /// What the traffic threads read.
    pub(crate) in_force: Arc<ArcSwapOption<InForce>>,
    /// The log.
    pub(crate) log: Logger,
}

/// The actors of the control thread.
#[derive(Clone)]
pub(crate) struct Control {
    /// The router's.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// The loader.
    pub(crate) loader: Address<Loader>,
    /// The claims.
    pub(crate) claims: Address<ClaimsKeeper>,
    /// Membership.
    pub(crate) peers: Address<Peers>,
    /// Ownership of engines.
    pub(crate) owners: Owners,
}

impl Control {
    /// Starts the actors on the runtime that this is called in, which must be the control thread's.
    pub(crate) fn spawn(parts: ControlParts) -> Self {
        let (dispatcher, dispatcher_box) = Mailbox::bounded(MAILBOX);
        let (loader, loader_box) = Mailbox::bounded(MAILBOX);
        let (claims, claims_box) = Mailbox::bounded(MAILBOX);
        let (text, text_box) = Mailbox::bounded(MAILBOX);
        let (peers, peers_box) = Mailbox::bounded(MAILBOX);
        let clock = Arc::clone(&parts.outside.clock);
        let rng = ChaCha8Rng::seed_from_u64(parts.incarnation.0);
        let owners = parts.owners();
        let control = Self {
            dispatcher,
            loader,
            claims,
            peers,
            owners,
        };
        let actor = Dispatcher::new(clock, rng.clone(), control.loader.clone());
        tokio::spawn(xtra::run(dispatcher_box, actor));
        tokio::spawn(xtra::run(loader_box, Loader::new(parts.loader(&control))));
        tokio::spawn(xtra::run(
            claims_box,
            ClaimsKeeper::new(parts.claims(&control)),
        ));
        tokio::spawn(xtra::run(
            text_box,
            TextKeeper::new(parts.text(&control, rng.clone())),
        ));
        let actor = Peers::new(parts.peers(&control, text.clone(), rng));
        tokio::spawn(xtra::run(peers_box, actor));
        parts.start_tasks(&control, text);
        control
    }
}

impl ControlParts {
    fn owners(&self) -> Owners {
        let ttl = Duration::from_millis(self.settings.control.ownership_ttl_ms);
        let store = Arc::clone(&self.outside.store);
        let clock = Arc::clone(&self.outside.clock);
        Owners::new(
            store,
            clock,
            self.settings.node.clone(),
            self.incarnation,
            ttl,
        )
    }

    fn loader(&self, control: &Control) -> LoaderParts {
        let (node, domain) = (&self.settings.node, &self.settings.failure_domain);
        LoaderParts {
            node: node.clone(),
            address: self.link.address().to_string().into(),
            settings: PlacementSettings::new(node.clone(), domain.clone()),
            clock: Arc::clone(&self.outside.clock),
            engines: Arc::clone(&self.outside.engines),
            owners: control.owners.clone(),
            dispatcher: control.dispatcher.clone(),
            peers: control.peers.clone(),
            log: self.log.clone(),
        }
    }

    fn claims(&self, control: &Control) -> ClaimsParts {
        ClaimsParts {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            clock: Arc::clone(&self.outside.clock),
            store: Arc::clone(&self.outside.store),
            peers: control.peers.clone(),
            log: self.log.clone(),
        }
    }

    fn text(&self, control: &Control, rng: ChaCha8Rng) -> TextParts {
        let watch = EngineWatch {
            engines: Arc::clone(&self.outside.engines),
            plain: Arc::clone(&self.outside.plain),
            clock: Arc::clone(&self.outside.clock),
            failure_domain: self.settings.failure_domain.clone(),
            interval: Duration::from_millis(self.settings.control.report_interval_ms),
            dispatcher: control.dispatcher.clone(),
            loader: control.loader.clone(),
            peers: control.peers.clone(),
        };
        TextParts {
            node: self.settings.node.clone(),
            store: TextStore::new(Arc::clone(&self.outside.store)),
            watch_wait: Duration::from_millis(self.settings.control.watch_wait_ms),
            clock: Arc::clone(&self.outside.clock),
            rng,
            failure_domain: self.settings.failure_domain.clone(),
            in_force: Arc::clone(&self.in_force),
            watch,
            dispatcher: control.dispatcher.clone(),
            loader: control.loader.clone(),
            claims: control.claims.clone(),
            peers: control.peers.clone(),
            log: self.log.clone(),
        }
    }

    fn peers(&self, control: &Control, text: Address<TextKeeper>, rng: ChaCha8Rng) -> PeersParts {
        let membership = Membership::new(
            self.settings.membership.clone(),
            self.settings.node.clone(),
            self.link.address().to_string().into(),
            self.settings.failure_domain.clone(),
            self.incarnation,
        );
        PeersParts {
            membership,
            link: Arc::clone(&self.link),
            clock: Arc::clone(&self.outside.clock),
            rng,
            vms: Arc::clone(&self.outside.vms),
            dispatcher: control.dispatcher.clone(),
            loader: control.loader.clone(),
            claims: control.claims.clone(),
            text,
            log: self.log.clone(),
        }
    }

    fn start_tasks(self, control: &Control, text: Address<TextKeeper>) {
        let tick = self.settings.control.tick();
        let heartbeat = self.settings.membership.interval();
        let addresses = self
            .settings
            .seeds
            .iter()
            .map(|seed| seed.as_str().into())
            .collect();
        let (dispatcher, loader) = (control.dispatcher.clone(), control.loader.clone());
        let (claims, peers) = (control.claims.clone(), control.peers.clone());
        every(tick, dispatcher, || Routed(RoutingEvent::Tick));
        every(tick, loader, || LoaderTick);
        every(CLAIMS_TICK, claims, || ClaimTold(ClaimEvent::Tick));
        tokio::spawn(beat(heartbeat, addresses, peers.clone()));
        tokio::spawn(receive(self.arrivals, peers));
        let renew = Duration::from_millis(self.settings.control.ownership_ttl_ms / 4);
        tokio::spawn(renew_lease(
            renew,
            control.owners.clone(),
            control.loader.clone(),
        ));
        every(TEXT_TICK, text, || TextTold(SpreadEvent::Tick));
    }
}

fn every<A, M>(interval: Duration, actor: Address<A>, message: fn() -> M)
where
    A: xtra::Actor + xtra::Handler<M, Return = ()>,
    M: Send + 'static,
{
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            // Waits until the tick has been handled, so that ticks never pile up in the mailbox.
            if actor.send(message()).await.is_err() {
                return;
            }
        }
    });
}

async fn beat(interval: Duration, seeds: Vec<Arc<str>>, peers: Address<Peers>) {
    let _ = peers
        .send(Told(MembershipEvent::Seeds { addresses: seeds }))
        .await;
    every(interval, peers, || Told(MembershipEvent::Tick));
}

async fn receive(mut arrivals: mpsc::Receiver<Envelope>, peers: Address<Peers>) {
    while let Some(envelope) = arrivals.recv().await {
        if peers.send(Arrived(envelope)).detach().await.is_err() {
            return;
        }
    }
}

async fn renew_lease(interval: Duration, owners: Owners, loader: Address<Loader>) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while loader.is_connected() {
        ticks.tick().await;
        owners.renew(&loader).await;
    }
}
