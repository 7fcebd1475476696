//! A simulated fleet: nodes of several failure domains, a store, and messages that are lost or
//! reordered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use nutmegsail_config::{
    Digest, Generation, Head, LiveNodes, OperatorsText, Piece, Spread, SpreadAction, SpreadEvent,
    SpreadSettings, StoredHead, TextSource, WriterId, split,
};
use nutmegsail_store::Revision;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The step of the simulated clock. A message takes one to three steps.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u64 = 10;
const STEPS_PER_GOSSIP: u64 = 50;
const STEPS_PER_WATCH: u64 = 100;
const PEERS_PER_GOSSIP: usize = 3;
const LOSS_RATE: f64 = 0.1;

fn text(name: &str) -> OperatorsText {
    let text = format!(
        "deployment = {{ name = \"{name}\", failure_domains = [\"hall\"] }}\n\
         services.desk = {{ kind = \"plain\", deadline_ms = 900, upstreams.hall = [\"10.0.0.1:1\"] }}\n"
    );
    OperatorsText::new("t.toml", text)
}

enum Message {
    Event {
        to: usize,
        event: SpreadEvent,
    },
    AskHead {
        to: usize,
        from: usize,
    },
    AskPieces {
        to: usize,
        from: usize,
        digests: Vec<Digest>,
    },
    ReadPieces {
        from: usize,
        digests: Vec<Digest>,
    },
    /// The answer to a read of the head that is not a watch.
    HeadRead {
        to: usize,
        event: SpreadEvent,
    },
    Restore {
        from: usize,
        found: Option<Revision>,
        head: Head,
        pieces: Vec<Piece>,
    },
}

/// A copy of the store.
struct Copy {
    stored: Option<StoredHead>,
    pieces: BTreeMap<Digest, Arc<str>>,
}

/// A node's open watch of the head.
struct Watch {
    after: Revision,
    set_at: u64,
    is_answered: bool,
}

/// Nodes, a store and the messages in flight, one in ten of which is lost.
pub struct Fleet {
    pub nodes: Vec<Spread>,
    ids: Vec<NodeId>,
    per_domain: usize,
    rng: ChaCha8Rng,
    start: Instant,
    pub now: u64,
    in_flight: BTreeMap<u64, Vec<Message>>,
    pub stored: Option<StoredHead>,
    stored_pieces: BTreeMap<Digest, Arc<str>>,
    watches: BTreeMap<usize, Watch>,
    revision: u64,
    copy: Option<Copy>,
    /// Failure domains that cannot reach the others.
    pub cut_off: BTreeSet<usize>,
    /// Failure domains that cannot reach the store.
    pub without_store: BTreeSet<usize>,
    /// The newest generation that was in force anywhere.
    pub newest: Generation,
    pub store_calls: u64,
}

impl Fleet {
    pub fn new(domains: usize, per_domain: usize, seed: u64) -> Self {
        let count = per_domain * domains;
        let ids: Vec<NodeId> = (0..count)
            .map(|n| NodeId::from(format!("vm-{n}")))
            .collect();
        let settings = SpreadSettings::default();
        let nodes = ids
            .iter()
            .map(|id| Spread::new(id.clone(), settings))
            .collect();
        let mut fleet = Self {
            nodes,
            ids,
            per_domain,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            in_flight: BTreeMap::new(),
            stored: None,
            stored_pieces: BTreeMap::new(),
            watches: BTreeMap::new(),
            revision: 0,
            copy: None,
            cut_off: BTreeSet::new(),
            without_store: BTreeSet::new(),
            newest: Generation(0),
            store_calls: 0,
        };
        for node in 0..count {
            let domain = node / per_domain * per_domain;
            let (near, far) = (domain..domain + per_domain, (domain + per_domain) % count);
            let live = LiveNodes {
                own_domain: fleet.ids[near].to_vec(),
                elsewhere: vec![fleet.ids[far].clone()],
            };
            fleet.deliver(node, SpreadEvent::LiveNodes(live));
        }
        fleet
    }

    pub fn accept(&mut self, name: &str) {
        let text = text(name);
        let pieces = split(&text);
        let before = self.stored.as_ref().map(|stored| &stored.head);
        let writer = WriterId::from(name);
        let head = Head::following(before, Generation(0), &text, &pieces, &writer);
        self.stored_pieces = pieces
            .into_iter()
            .map(|piece| (piece.digest, piece.text))
            .collect();
        self.store(head);
    }

    fn store(&mut self, head: Head) {
        self.revision += 1;
        let revision = Revision::without_era(self.revision);
        self.stored = Some(StoredHead { head, revision });
    }

    pub fn take_copy(&mut self) {
        self.copy = Some(Copy {
            stored: self.stored.clone(),
            pieces: self.stored_pieces.clone(),
        });
    }

    /// Restores the last copy. The store's revision stays as it is, as if writes to other keys had
    /// raised it again before any watch could see that it fell.
    pub fn restore_copy(&mut self) {
        if let Some(copy) = self.copy.take() {
            self.stored = copy.stored;
            self.stored_pieces = copy.pieces;
        }
    }

    pub fn heal(&mut self) {
        self.cut_off.clear();
        self.without_store.clear();
    }

    fn domain(&self, node: usize) -> usize {
        node / self.per_domain
    }

    fn can_talk(&self, one: usize, other: usize) -> bool {
        let (one, other) = (self.domain(one), self.domain(other));
        one == other || !(self.cut_off.contains(&one) || self.cut_off.contains(&other))
    }

    pub fn deliver(&mut self, node: usize, event: SpreadEvent) {
        let now = self.start + STEP * u32::try_from(self.now).expect("short trial");
        for action in self.nodes[node].handle(event, now, &mut self.rng) {
            match action {
                SpreadAction::AskHead { peer } => {
                    let to = self.index(&peer);
                    self.send_to(to, node, Message::AskHead { to, from: node });
                }
                SpreadAction::FetchPieces {
                    from: TextSource::Store,
                    digests,
                } => {
                    self.store_calls += digests.len() as u64;
                    let message = Message::ReadPieces {
                        from: node,
                        digests,
                    };
                    self.send_to_store(node, message);
                }
                SpreadAction::FetchPieces {
                    from: TextSource::Peer(peer),
                    digests,
                } => {
                    let to = self.index(&peer);
                    let message = Message::AskPieces {
                        to,
                        from: node,
                        digests,
                    };
                    self.send_to(to, node, message);
                }
                SpreadAction::TellSummary { to } => {
                    for peer in to {
                        self.send_summary(node, &peer);
                    }
                }
                SpreadAction::WatchStore => self.set_watch(node, Revision::NONE),
                SpreadAction::ReadHead => {
                    self.store_calls += 1;
                    let event = SpreadEvent::StoreHead(self.stored.clone());
                    self.send_to_store(node, Message::HeadRead { to: node, event });
                }
                SpreadAction::RestoreHead {
                    found,
                    head,
                    pieces,
                } => {
                    self.store_calls += 2;
                    let message = Message::Restore {
                        from: node,
                        found: found.map(|found| found.revision),
                        head,
                        pieces,
                    };
                    self.send_to_store(node, message);
                }
                SpreadAction::PutInForce(text) => self.newest = self.newest.max(text.generation),
                SpreadAction::StopWatch => {
                    self.watches.remove(&node);
                }
                SpreadAction::Report(_) => {}
            }
        }
    }

    fn index(&self, id: &NodeId) -> usize {
        id.as_str()
            .trim_start_matches("vm-")
            .parse()
            .expect("an index")
    }

    fn send_summary(&mut self, node: usize, peer: &NodeId) {
        let in_force = self.nodes[node].in_force();
        let event = SpreadEvent::PeerSummary {
            peer: self.ids[node].clone(),
            generation: in_force.map_or(Generation(0), |in_force| in_force.generation),
            digest: in_force.map(|in_force| in_force.digest.clone()),
        };
        let to = self.index(peer);
        self.send_to(to, node, Message::Event { to, event });
    }

    /// Sends between two nodes, if their failure domains reach each other.
    fn send_to(&mut self, to: usize, from: usize, message: Message) {
        if self.can_talk(from, to) {
            self.send(message);
        }
    }

    /// Sends between a node and the store. A node that cannot reach the store notices at once.
    fn send_to_store(&mut self, node: usize, message: Message) {
        if self.without_store.contains(&self.domain(node)) {
            self.deliver(node, SpreadEvent::StoreDown);
        } else {
            self.send(message);
        }
    }

    /// Sends a message with a random delay, so that messages are reordered, or loses it.
    fn send(&mut self, message: Message) {
        if self.rng.random_bool(LOSS_RATE) {
            return;
        }
        let arrives = self.now + self.rng.random_range(1..=3);
        self.in_flight.entry(arrives).or_default().push(message);
    }

    pub fn step(&mut self) {
        self.now += 1;
        for message in self.in_flight.remove(&self.now).unwrap_or_default() {
            self.arrive(message);
        }
        self.answer_watches();
        for node in 0..self.nodes.len() {
            let staggered_step = self.now + node as u64;
            if staggered_step.is_multiple_of(STEPS_PER_TICK) {
                self.deliver(node, SpreadEvent::Tick);
            }
            if staggered_step.is_multiple_of(STEPS_PER_GOSSIP) {
                self.gossip(node);
            }
        }
    }

    fn gossip(&mut self, node: usize) {
        let domain = node / self.per_domain * self.per_domain;
        let near = &self.ids[domain..domain + self.per_domain];
        let peers = near.sample(&mut self.rng, PEERS_PER_GOSSIP).cloned();
        let peers = peers.collect::<Vec<_>>();
        for peer in peers {
            self.send_summary(node, &peer);
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Event { to, event } => {
                if let SpreadEvent::StoreHead(Some(stored)) = &event {
                    self.set_watch(to, stored.revision);
                }
                self.deliver(to, event);
            }
            Message::HeadRead { to, event } => self.deliver(to, event),
            Message::AskHead { to, from } => {
                if let Some(head) = self.nodes[to].head().cloned() {
                    let peer = self.ids[to].clone();
                    let event = SpreadEvent::PeerHead { peer, head };
                    self.send_to(from, to, Message::Event { to: from, event });
                }
            }
            Message::AskPieces { to, from, digests } => {
                for text in self.nodes[to].pieces(&digests) {
                    let event = SpreadEvent::PieceArrived(text);
                    self.send_to(from, to, Message::Event { to: from, event });
                }
            }
            Message::ReadPieces { from, digests } => {
                let found = digests
                    .iter()
                    .filter_map(|digest| self.stored_pieces.get(digest));
                for text in found.cloned().collect::<Vec<_>>() {
                    let event = SpreadEvent::PieceArrived(text);
                    self.send_to_store(from, Message::Event { to: from, event });
                }
            }
            Message::Restore {
                from,
                found,
                head,
                pieces,
            } => {
                let current = self.stored.as_ref().map(|stored| stored.revision);
                if current == found {
                    let pieces = pieces.into_iter();
                    self.stored_pieces = pieces.map(|piece| (piece.digest, piece.text)).collect();
                    self.store(head);
                }
                let event = SpreadEvent::StoreHead(self.stored.clone());
                self.send_to_store(from, Message::HeadRead { to: from, event });
            }
        }
    }

    fn set_watch(&mut self, node: usize, after: Revision) {
        self.store_calls += 1;
        let watch = Watch {
            after,
            set_at: self.now,
            is_answered: false,
        };
        self.watches.insert(node, watch);
    }

    /// Answers watches for which there is a newer head. If the answer is lost, the watch times out
    /// and is set again.
    fn answer_watches(&mut self) {
        for node in self.watches.keys().copied().collect::<Vec<_>>() {
            let watch = self.watches.get_mut(&node).expect("listed");
            let after = watch.after;
            if self.now - watch.set_at >= STEPS_PER_WATCH {
                self.set_watch(node, after);
            } else if let Some(stored) = &self.stored
                && stored.revision > after
                && !watch.is_answered
            {
                watch.is_answered = true;
                let event = SpreadEvent::StoreHead(Some(stored.clone()));
                self.send_to_store(node, Message::Event { to: node, event });
            }
        }
    }

    /// Steps until `generation` is in force on every node, and returns how long that took.
    pub fn until_in_force(&mut self, generation: Generation) -> Duration {
        let from = self.now;
        let is_there =
            |node: &Spread| node.in_force().map(|text| text.generation) == Some(generation);
        while !self.nodes.iter().all(is_there) {
            assert!(
                self.now - from < 1_000,
                "generation {generation} does not arrive"
            );
            self.step();
        }
        STEP * u32::try_from(self.now - from).expect("short trial")
    }
}
