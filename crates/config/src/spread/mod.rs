//! Spreads accepted texts to every node: which generation is in force here, and where to get it.

mod action;
mod ask;
mod event;
mod fetch;
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

use ask::Asked;
use fetch::Fetch;
use store_behind::StoreBehind;

use crate::{Deployment, Digest, Generation, Head, InForce, Piece, join};

/// Decides which text is in force on one node. Pure: it is told events and the time, and answers
/// with actions.
///
/// A few nodes of each failure domain watch the store; the others hear of a new generation from
/// peers, whose heartbeats carry generation and digest, and fetch head and pieces from them. So the
/// store's calls don't grow with the fleet, and a domain without the store still serves and spreads
/// the newest text that any of its nodes knows.
///
/// The generation in force never falls. A store that answers with an older one, by a stale read or
/// after it was restored from a copy, is reported, and watchers put the newer head back.
#[derive(Debug)]
pub struct Spread {
    node: NodeId,
    settings: SpreadSettings,
    held: Option<Held>,
    fetch: Option<Fetch>,
    asked: Option<Asked>,
    /// The newest generation that each live peer told of.
    known: BTreeMap<NodeId, Generation>,
    live: LiveNodes,
    /// This node's place among its domain's watchers, if it is one.
    rank: Option<u32>,
    /// When this watcher last read the head, apart from its watch.
    head_read_at: Option<Instant>,
    is_store_up: bool,
    behind: Option<StoreBehind>,
    /// A text that was fetched whole but cannot be read here.
    unreadable: Option<UnreadableText>,
    /// A text of a generation that this node knows with another digest, once reported.
    diverged: Option<Digest>,
    actions: Vec<SpreadAction>,
}

/// The text in force with what other nodes and the store may need of it.
#[derive(Debug)]
struct Held {
    head: Head,
    pieces: BTreeMap<Digest, Arc<str>>,
    in_force: InForce,
}

/// An accepted text that this node could not read.
#[derive(Debug)]
struct UnreadableText {
    generation: Generation,
    digest: Digest,
}

impl Spread {
    /// A node that knows no text yet.
    pub fn new(node: NodeId, settings: SpreadSettings) -> Self {
        Self {
            node,
            settings,
            held: None,
            fetch: None,
            asked: None,
            known: BTreeMap::new(),
            live: LiveNodes::default(),
            rank: None,
            head_read_at: None,
            is_store_up: false,
            behind: None,
            unreadable: None,
            diverged: None,
            actions: Vec::new(),
        }
    }

    /// The text in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.held.as_ref().map(|held| &held.in_force)
    }

    /// The head of the text in force, for a peer that asks.
    pub fn head(&self) -> Option<&Head> {
        self.held.as_ref().map(|held| &held.head)
    }

    /// Those of `digests` that this node holds, for a peer that asks.
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
        self.rank.is_some()
    }

    /// Takes in one event.
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
        if self.asked.as_ref().is_some_and(|asked| asked.peer == peer) {
            self.asked = None;
        }
        self.known.insert(peer.clone(), head.generation);
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
        fetch.take_over(self.fetch.take().map(|older| older.pieces));
        fetch.take_over(self.held.as_ref().map(|held| held.pieces.clone()));
        self.fetch = Some(fetch);
        self.advance(now, rng);
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

    /// Two texts with one generation can only come from a store that was restored from a copy and
    /// published to before the nodes put the newer head back. Neither may replace the other, or a
    /// text in force would revert; stopping would take down what still serves. So the node keeps its
    /// text and reports; the operators' next text gets a generation above both.
    fn report_divergence(&mut self, generation: Generation, theirs: Digest, source: TextSource) {
        if self.diverged.as_ref() == Some(&theirs) {
            return;
        }
        self.diverged = Some(theirs.clone());
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
            self.take_effect(rng);
        }
    }

    /// Puts the fetched text in force if it is whole, or asks for what is missing.
    fn advance(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let digests = fetch.missing();
        if digests.is_empty() {
            self.take_effect(rng);
            return;
        }
        fetch.asked_at = now;
        let from = fetch.source.clone();
        self.actions
            .push(SpreadAction::FetchPieces { from, digests });
    }

    fn take_effect(&mut self, rng: &mut impl Rng) {
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
        self.held = Some(Held {
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
        let to = peers.cloned().sample(rng, self.settings.tell_at_once);
        if !to.is_empty() {
            self.actions.push(SpreadAction::TellSummary { to });
        }
    }

    fn on_live_nodes(&mut self, live: LiveNodes, now: Instant) {
        self.live = live;
        let live = &self.live;
        self.known.retain(|peer, _| live.contains(peer));
        let watchers = watchers(&self.node, &live.own_domain, self.settings.watchers);
        let rank = watchers.iter().position(|watcher| *watcher == self.node);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok());
        match (self.rank, rank) {
            (None, Some(_)) => {
                self.head_read_at = Some(now);
                self.actions.push(SpreadAction::WatchStore);
            }
            (Some(_), None) => self.actions.push(SpreadAction::StopWatch),
            _ => {}
        }
        self.rank = rank;
    }
}
