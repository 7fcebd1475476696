//! Distributes accepted texts to every node: which generation is in force on a node, and where the
//! node fetches newer ones.

mod action;
mod event;
mod fetch;
mod requests;
mod settings;
mod store_behind;
mod watchers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::NodeId;
use rand::Rng;
use rand::seq::IteratorRandom;

pub use action::{SpreadAction, SpreadReport};
pub use event::{LiveNodes, SpreadEvent, TextSource};
pub use settings::SpreadSettings;
pub use watchers::watchers;

use fetch::Fetch;
use requests::HeadRequest;
use store_behind::StoreBehind;

use crate::{Deployment, Digest, Generation, Head, InForce, Piece, join};

/// Decides which text is in force on one node. It does no I/O: it receives events with the time and
/// returns actions.
///
/// A few nodes of each failure domain watch the store. The others learn of a new generation from
/// the heartbeats of peers, which carry generation and digest, and fetch head and pieces from a
/// peer. The number of calls to the store therefore does not grow with the fleet, and a failure
/// domain that cannot reach the store still serves and distributes the newest text that any of its
/// nodes has.
///
/// The generation in force never decreases. A store that returns an older one, because of a stale
/// read or because it was restored from an older copy, is reported, and the watchers restore the
/// newer head.
#[derive(Debug)]
pub struct Spread {
    node: NodeId,
    settings: SpreadSettings,
    held: Option<HeldText>,
    fetch: Option<Fetch>,
    head_request: Option<HeadRequest>,
    /// The generation last received from each live peer.
    peer_generations: BTreeMap<NodeId, Generation>,
    live: LiveNodes,
    /// This node's rank among the watchers of its failure domain, if it is one.
    watcher_rank: Option<u32>,
    /// When this watcher last read the head, apart from its watch calls.
    head_read_at: Option<Instant>,
    is_store_up: bool,
    behind: Option<StoreBehind>,
    /// A text that was fetched completely but cannot be parsed here.
    unreadable: Option<UnreadableText>,
    /// The digest of the diverging text that was last reported, so that it is reported only once.
    reported_divergence: Option<Digest>,
    actions: Vec<SpreadAction>,
}

/// The text in force, with its head and pieces for peers and for restoring the store.
#[derive(Debug)]
struct HeldText {
    head: Head,
    pieces: BTreeMap<Digest, Arc<str>>,
    in_force: InForce,
}

/// An accepted text that this node could not parse.
#[derive(Debug)]
struct UnreadableText {
    generation: Generation,
    digest: Digest,
}

impl Spread {
    /// Creates the state of a node that has no text yet.
    pub fn new(node: NodeId, settings: SpreadSettings) -> Self {
        Self {
            node,
            settings,
            held: None,
            fetch: None,
            head_request: None,
            peer_generations: BTreeMap::new(),
            live: LiveNodes::default(),
            watcher_rank: None,
            head_read_at: None,
            is_store_up: false,
            behind: None,
            unreadable: None,
            reported_divergence: None,
            actions: Vec::new(),
        }
    }

    /// The text in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.held.as_ref().map(|held| &held.in_force)
    }

    /// The head of the text in force, to answer a peer's request.
    pub fn head(&self) -> Option<&Head> {
        self.held.as_ref().map(|held| &held.head)
    }

    /// The pieces with these digests that this node holds, to answer a peer's request.
    pub fn pieces(&self, digests: &[Digest]) -> Vec<Arc<str>> {
        let held = self.held.iter().map(|held| &held.pieces);
        let find = |pieces: &BTreeMap<Digest, Arc<str>>| -> Vec<Arc<str>> {
            let found = digests.iter().filter_map(|digest| pieces.get(digest));
            found.cloned().collect()
        };
        held.flat_map(find).collect()
    }

    /// Whether this node watches the store for its failure domain.
    pub fn is_watcher(&self) -> bool {
        self.watcher_rank.is_some()
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(
        &mut self,
        event: SpreadEvent,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<SpreadAction> {
        match event {
            SpreadEvent::StoreHead(found) => self.on_store_head(found, now, rng),
            SpreadEvent::PeerHead { peer, head } => self.on_peer_head(peer, head, now, rng),
            SpreadEvent::PieceArrived(text) => self.on_piece(text, rng),
            SpreadEvent::PeerSummary {
                peer,
                generation,
                digest,
            } => self.on_summary(peer, generation, digest.as_ref(), now),
            SpreadEvent::LiveNodes(live) => self.on_live_nodes(live, now),
            SpreadEvent::StoreDown => self.is_store_up = false,
            SpreadEvent::StoreUp => self.is_store_up = true,
            SpreadEvent::Tick => self.on_tick(now, rng),
        }
        std::mem::take(&mut self.actions)
    }

    fn generation(&self) -> Generation {
        let held = self.held.as_ref();
        held.map_or(Generation(0), |held| held.head.generation)
    }

    fn on_peer_head(&mut self, peer: NodeId, head: Head, now: Instant, rng: &mut impl Rng) {
        if self
            .head_request
            .as_ref()
            .is_some_and(|head_request| head_request.peer == peer)
        {
            self.head_request = None;
        }
        self.peer_generations.insert(peer.clone(), head.generation);
        self.on_head(head, TextSource::Peer(peer), now, rng);
    }

    fn on_head(&mut self, head: Head, source: TextSource, now: Instant, rng: &mut impl Rng) {
        if head.generation < self.generation() || self.is_unreadable(&head.digest) {
            return;
        }
        let same_generation = self.known_digest(head.generation);
        if let Some(ours) = same_generation {
            if *ours != head.digest {
                self.report_divergence(head.generation, head.digest, source);
            }
            return;
        }
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.head.generation > head.generation)
        {
            return;
        }
        let mut fetch = Fetch::new(head, source, now);
        fetch.reuse_pieces(self.fetch.take().map(|older| older.pieces));
        fetch.reuse_pieces(self.held.as_ref().map(|held| held.pieces.clone()));
        self.fetch = Some(fetch);
        self.fetch_missing(now, rng);
    }

    fn is_unreadable(&self, digest: &Digest) -> bool {
        let unreadable = self.unreadable.as_ref();
        unreadable.is_some_and(|text| text.digest == *digest)
    }

    /// The digest of `generation`, if it is the one in force or being fetched.
    fn known_digest(&self, generation: Generation) -> Option<&Digest> {
        let held = self.held.as_ref().map(|held| &held.head);
        let fetched = self.fetch.as_ref().map(|fetch| &fetch.head);
        let mut heads = held.into_iter().chain(fetched);
        let head = heads.find(|head| head.generation == generation);
        head.map(|head| &head.digest)
    }

    /// Reports two texts with the same generation. They arise only if the store was restored from
    /// an older copy and a text was published before the nodes restored the newer head. Neither
    /// text may replace the other, since that would undo an accepted text, and stopping would end a
    /// service that still works. The node keeps its text; the operators' next text gets a
    /// generation above both.
    fn report_divergence(&mut self, generation: Generation, theirs: Digest, source: TextSource) {
        if self.reported_divergence.as_ref() == Some(&theirs) {
            return;
        }
        self.reported_divergence = Some(theirs.clone());
        let report = SpreadReport::Diverged {
            generation,
            theirs,
            in_force: self.held.as_ref().map(|held| held.head.digest.clone()),
            source,
        };
        self.actions.push(SpreadAction::Report(report));
    }

    fn on_piece(&mut self, text: Arc<str>, rng: &mut impl Rng) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        fetch.add(Piece::new(text));
        if fetch.missing().is_empty() {
            self.apply_fetched(rng);
        }
    }

    /// Puts the fetched text in force if it is complete, or requests its missing pieces.
    fn fetch_missing(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let digests = fetch.missing();
        if digests.is_empty() {
            self.apply_fetched(rng);
            return;
        }
        fetch.requested_at = now;
        let from = fetch.source.clone();
        self.actions
            .push(SpreadAction::FetchPieces { from, digests });
    }

    /// Joins and parses the fetched text and puts it in force, or reports it as unreadable.
    fn apply_fetched(&mut self, rng: &mut impl Rng) {
        let Some(fetch) = self.fetch.take() else {
            return;
        };
        let Fetch { head, pieces, .. } = fetch;
        let deployment = match join(&head, &pieces) {
            Ok(text) => Deployment::parse_text(&text).map_err(|faults| faults.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match deployment {
            Err(reason) => {
                let generation = head.generation;
                self.unreadable = Some(UnreadableText {
                    generation,
                    digest: head.digest,
                });
                let report = SpreadReport::Unreadable { generation, reason };
                self.actions.push(SpreadAction::Report(report));
            }
            Ok(deployment) => self.put_in_force(head, pieces, deployment, rng),
        }
    }

    fn put_in_force(
        &mut self,
        head: Head,
        pieces: BTreeMap<Digest, Arc<str>>,
        deployment: Deployment,
        rng: &mut impl Rng,
    ) {
        assert!(
            self.held.is_none() || head.generation > self.generation(),
            "the generation in force never falls: {} after {}",
            head.generation,
            self.generation()
        );
        let in_force = InForce {
            generation: head.generation,
            digest: head.digest.clone(),
            deployment: Arc::new(deployment),
        };
        self.actions
            .push(SpreadAction::PutInForce(in_force.clone()));
        self.held = Some(HeldText {
            head,
            pieces,
            in_force,
        });
        self.behind = None;
        self.unreadable = None;
        let peers = self
            .live
            .own_domain
            .iter()
            .filter(|peer| **peer != self.node);
        let to = peers
            .cloned()
            .sample(rng, self.settings.announcement_fanout);
        if !to.is_empty() {
            self.actions.push(SpreadAction::TellSummary { to });
        }
    }

    fn on_live_nodes(&mut self, live: LiveNodes, now: Instant) {
        self.live = live;
        let live = &self.live;
        self.peer_generations.retain(|peer, _| live.contains(peer));
        let watchers = watchers(&self.node, &live.own_domain, self.settings.watchers);
        let watcher_rank = watchers.iter().position(|watcher| *watcher == self.node);
        let watcher_rank = watcher_rank.and_then(|watcher_rank| u32::try_from(watcher_rank).ok());
        match (self.watcher_rank, watcher_rank) {
            (None, Some(_)) => {
                self.head_read_at = Some(now);
                self.actions.push(SpreadAction::WatchStore);
            }
            (Some(_), None) => self.actions.push(SpreadAction::StopWatch),
            _ => {}
        }
        self.watcher_rank = watcher_rank;
    }
}
