//! A change reaches every node within three seconds, at store calls that don't grow with the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use nutmegsail_config::{
    Digest, Generation, Head, LiveNodes, OperatorsText, Spread, SpreadAction, SpreadEvent,
    SpreadSettings, StoredHead, TextSource, WriterId, split,
};
use nutmegsail_platform::Revision;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The manual clock's step. A message takes one to three of them.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u64 = 10;
const STEPS_PER_GOSSIP: u64 = 50;
const STEPS_PER_WATCH: u64 = 100;
/// How long after a change store calls are counted.
const STEPS_COUNTED: u64 = 300;
const PEERS_PER_GOSSIP: usize = 3;
const LOST_SHARE: f64 = 0.1;
const DOMAINS: usize = 6;

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
}

/// A node's waiting watch of the head.
struct Watch {
    after: Revision,
    set_at: u64,
    is_answered: bool,
}

/// Nodes, a store and the messages on their way; one in ten is lost.
struct Fleet {
    nodes: Vec<Spread>,
    ids: Vec<NodeId>,
    per_domain: usize,
    rng: ChaCha8Rng,
    start: Instant,
    now: u64,
    on_their_way: BTreeMap<u64, Vec<Message>>,
    stored: Option<StoredHead>,
    stored_pieces: BTreeMap<Digest, Arc<str>>,
    watches: BTreeMap<usize, Watch>,
    store_calls: u64,
}

impl Fleet {
    fn new(per_domain: usize, seed: u64) -> Self {
        let count = per_domain * DOMAINS;
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
            on_their_way: BTreeMap::new(),
            stored: None,
            stored_pieces: BTreeMap::new(),
            watches: BTreeMap::new(),
            store_calls: 0,
        };
        for node in 0..count {
            let domain = node / per_domain * per_domain;
            let (near, far) = (domain..domain + per_domain, (domain + per_domain) % count);
            let live = LiveNodes {
                own_domain: fleet.ids[near].to_vec(),
                elsewhere: vec![fleet.ids[far].clone()],
            };
            fleet.give(node, SpreadEvent::LiveNodes(live));
        }
        fleet
    }

    fn accept(&mut self, name: &str) {
        let text = text(name);
        let pieces = split(&text);
        let before = self.stored.as_ref().map(|stored| &stored.head);
        let writer = WriterId::from(name);
        let head = Head::following(before, Generation(0), &text, &pieces, &writer);
        self.stored_pieces = pieces
            .into_iter()
            .map(|piece| (piece.digest, piece.text))
            .collect();
        let revision = Revision(head.generation.0);
        self.stored = Some(StoredHead { head, revision });
    }

    fn give(&mut self, node: usize, event: SpreadEvent) {
        let now = self.start + STEP * u32::try_from(self.now).expect("short trial");
        for action in self.nodes[node].handle(event, now, &mut self.rng) {
            match action {
                SpreadAction::AskHead { peer } => {
                    let to = self.index(&peer);
                    self.send(Message::AskHead { to, from: node });
                }
                SpreadAction::FetchPieces {
                    from: TextSource::Store,
                    digests,
                } => {
                    self.store_calls += digests.len() as u64;
                    self.send(Message::ReadPieces {
                        from: node,
                        digests,
                    });
                }
                SpreadAction::FetchPieces {
                    from: TextSource::Peer(peer),
                    digests,
                } => {
                    let to = self.index(&peer);
                    self.send(Message::AskPieces {
                        to,
                        from: node,
                        digests,
                    });
                }
                SpreadAction::TellSummary { to } => {
                    for peer in to {
                        self.tell(node, &peer);
                    }
                }
                SpreadAction::WatchStore => {
                    self.set_watch(node, Revision(0));
                }
                SpreadAction::PutInForce(_) => {}
                other => panic!("nothing else happens here: {other:?}"),
            }
        }
    }

    fn index(&self, id: &NodeId) -> usize {
        id.as_str()
            .trim_start_matches("vm-")
            .parse()
            .expect("an index")
    }

    fn tell(&mut self, node: usize, peer: &NodeId) {
        let in_force = self.nodes[node].in_force();
        let event = SpreadEvent::PeerSummary {
            peer: self.ids[node].clone(),
            generation: in_force.map_or(Generation(0), |in_force| in_force.generation),
            digest: in_force.map(|in_force| in_force.digest.clone()),
        };
        let to = self.index(peer);
        self.send(Message::Event { to, event });
    }

    /// Messages overtake each other, and some are lost.
    fn send(&mut self, message: Message) {
        if self.rng.random_bool(LOST_SHARE) {
            return;
        }
        let arrives = self.now + self.rng.random_range(1..=3);
        self.on_their_way.entry(arrives).or_default().push(message);
    }

    fn step(&mut self) {
        self.now += 1;
        for message in self.on_their_way.remove(&self.now).unwrap_or_default() {
            self.arrive(message);
        }
        self.answer_watches();
        for node in 0..self.nodes.len() {
            let turn = self.now + node as u64;
            if turn.is_multiple_of(STEPS_PER_TICK) {
                self.give(node, SpreadEvent::Tick);
            }
            if turn.is_multiple_of(STEPS_PER_GOSSIP) {
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
            self.tell(node, &peer);
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Event { to, event } => {
                if let SpreadEvent::StoreHead(Some(stored)) = &event {
                    self.set_watch(to, stored.revision);
                }
                self.give(to, event);
            }
            Message::AskHead { to, from } => {
                if let Some(head) = self.nodes[to].head().cloned() {
                    let peer = self.ids[to].clone();
                    let event = SpreadEvent::PeerHead { peer, head };
                    self.send(Message::Event { to: from, event });
                }
            }
            Message::AskPieces { to, from, digests } => {
                for text in self.nodes[to].pieces(&digests) {
                    let event = SpreadEvent::PieceArrived(text);
                    self.send(Message::Event { to: from, event });
                }
            }
            Message::ReadPieces { from, digests } => {
                let found = digests
                    .iter()
                    .filter_map(|digest| self.stored_pieces.get(digest));
                for text in found.cloned().collect::<Vec<_>>() {
                    let event = SpreadEvent::PieceArrived(text);
                    self.send(Message::Event { to: from, event });
                }
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

    /// A watch is answered once a head is newer. If the answer is lost, the wait runs out and the
    /// watch is set again.
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
                self.send(Message::Event { to: node, event });
            }
        }
    }

    /// Steps until every node runs `generation`, and tells how long that took.
    fn until_in_force(&mut self, generation: Generation) -> Duration {
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

/// How long the second text took, and how many store calls there were in the three seconds after it.
fn trial(per_domain: usize, seed: u64) -> (Duration, u64) {
    let mut fleet = Fleet::new(per_domain, seed);
    fleet.accept("first");
    fleet.until_in_force(Generation(1));
    let (from, calls) = (fleet.now, fleet.store_calls);
    fleet.accept("second");
    let took = fleet.until_in_force(Generation(2));
    while fleet.now - from < STEPS_COUNTED {
        fleet.step();
    }
    (took, fleet.store_calls - calls)
}

fn trials(per_domain: usize, count: u64) -> Vec<(Duration, u64)> {
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..4)
            .map(|worker| {
                scope.spawn(move || {
                    let seeds = (0..count).filter(|seed| seed % 4 == worker);
                    seeds
                        .map(|seed| trial(per_domain, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let join = |worker: std::thread::ScopedJoinHandle<'_, _>| worker.join().expect("joins");
        workers.into_iter().flat_map(join).collect()
    })
}

#[test]
fn a_change_is_in_force_on_360_nodes_within_three_seconds_at_store_calls_that_do_not_grow() {
    let (small, large) = (trials(6, 100), trials(60, 100));
    let mut times: Vec<Duration> = large.iter().map(|(took, _)| *took).collect();
    times.sort_unstable();
    println!("median {:?}, longest {:?}", times[50], times[99]);
    assert!(times[99] <= Duration::from_secs(3), "{:?}", times[99]);

    let calls = |trials: &[(Duration, u64)]| trials.iter().map(|(_, calls)| calls).sum::<u64>();
    let (six, sixty) = (calls(&small), calls(&large));
    println!("store calls for 100 changes: {six} at 36 nodes, {sixty} at 360");
    assert!(
        sixty <= six + six / 20,
        "{six} calls at 36 nodes, {sixty} at 360"
    );
    // For each watcher: three waits that ran out, an answered watch and a piece, and what lost
    // answers cost.
    let watchers = 2 * DOMAINS as u64;
    assert!(sixty <= 100 * watchers * 6, "{sixty}");
}
