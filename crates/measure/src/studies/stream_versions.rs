//! How a node knows at which software version a stream began.

use nutmegsail_relay::{KeeperCounts, Peer, StreamKey, StreamOrigin, stream_keepers};
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "stream-versions",
    about: "Streams that callers resume at other nodes during a release, over 6, 72 and 360 nodes: nodes that tell \
            keepers or all nodes, ask all, follow a rule or any upstream; nodes killed, a failure domain cut off.",
    run: study,
};

/// Nodes and failure domains.
const FLEETS: [(usize, usize); 3] = [(6, 3), (72, 6), (360, 6)];

/// Resumable streams that begin at each node, in each second: all requests of a fleet at its limit.
const STREAMS_PER_NODE_S: f64 = 5.0;

/// How long a record is kept.
const LIFETIME_S: f64 = 70.0;

/// Headers of a datagram over UDP and IP, and what the message adds to its records.
const DATAGRAM_BYTES: usize = 28 + 4;

/// Streams in one run.
const STREAMS: usize = 2_000;

/// The share of nodes whose list does not have the newest version yet.
const LATE_SHARE: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The node that began a stream is gone.
    OneKilled,
    /// So is each other node, with even odds.
    HalfKilled,
    /// All nodes have started again.
    AllKilled,
    /// Streams begin and are resumed while one failure domain is cut off from the others.
    Cut,
    /// A tenth of the nodes were gone before the stream began, and its node did not know that.
    StaleList,
}

const FAULTS: [(&str, Fault); 5] = [
    ("its node killed", Fault::OneKilled),
    ("half of the nodes killed", Fault::HalfKilled),
    ("all nodes killed", Fault::AllKilled),
    ("a failure domain cut off", Fault::Cut),
    ("a tenth of the list gone", Fault::StaleList),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Keepers,
    TellAll,
    AskAll,
    Rule,
    AnyUpstream,
}

const WAYS: [(&str, Way); 5] = [
    ("nutmegsail: keepers are told and asked", Way::Keepers),
    ("all nodes are told", Way::TellAll),
    ("all nodes are asked", Way::AskAll),
    ("a hash of the id chooses the version", Way::Rule),
    ("any upstream", Way::AnyUpstream),
];

/// What came of one run.
#[derive(Default)]
struct Run {
    continued: usize,
    joined: usize,
    bytes_per_node_s: f64,
    records_per_node: f64,
}

/// One stream and the state of the fleet around it.
struct Trial<'a> {
    nodes: &'a [Peer],
    fault: Fault,
    is_alive: Vec<bool>,
    /// Whether each node's list has both versions.
    knows_new: Vec<bool>,
    key: StreamKey,
    began_at: usize,
    resumed_at: usize,
}

impl<'a> Trial<'a> {
    fn new(nodes: &'a [Peer], fault: Fault, number: usize, random: &mut ChaCha8Rng) -> Self {
        let began_at = random.random_range(0..nodes.len());
        let mut is_alive = vec![true; nodes.len()];
        for (node, is_alive) in is_alive.iter_mut().enumerate() {
            *is_alive = match fault {
                Fault::OneKilled => node != began_at,
                Fault::HalfKilled => node != began_at && random.random_bool(0.5),
                Fault::StaleList => node != began_at && random.random_bool(0.9),
                Fault::AllKilled | Fault::Cut => true,
            };
        }
        let others: Vec<usize> = (0..nodes.len())
            .filter(|node| *node != began_at && is_alive[*node])
            .collect();
        let late = |_| !random.random_bool(LATE_SHARE);
        let knows_new = (0..nodes.len()).map(late).collect();
        Self {
            nodes,
            fault,
            is_alive,
            knows_new,
            key: StreamKey::of(None, &format!("stream-{number}").as_str().into()),
            began_at,
            resumed_at: others.choose(random).copied().unwrap_or(began_at),
        }
    }

    /// Whether a message passes between two nodes.
    fn passes(&self, from: usize, to: usize) -> bool {
        let cut = &self.nodes[0].failure_domain;
        let is_cut = |node: usize| self.nodes[node].failure_domain == *cut;
        self.fault != Fault::Cut || is_cut(from) == is_cut(to)
    }

    fn keepers(&self, of: usize, listed: &[Peer], counts: KeeperCounts) -> Vec<usize> {
        let own = (&self.nodes[of].node, &self.nodes[of].failure_domain);
        let keepers = stream_keepers(&self.key, own, listed, counts);
        let index = |keeper: &Peer| self.nodes.iter().position(|node| node == keeper);
        keepers.into_iter().filter_map(index).collect()
    }

    /// Whether the node at which the stream is resumed learns of its origin.
    fn is_known(&self, way: Way) -> bool {
        let (from, to) = (self.began_at, self.resumed_at);
        let is_ruled = matches!(way, Way::Rule | Way::AnyUpstream);
        if self.fault == Fault::AllKilled && !is_ruled {
            return false;
        }
        let listed = self.nodes.iter().zip(&self.is_alive);
        let listed: Vec<Peer> = listed
            .filter(|(_, is_alive)| **is_alive)
            .map(|(node, _)| node.clone())
            .collect();
        match way {
            Way::Keepers => {
                let told = self.keepers(from, self.nodes, KeeperCounts::TOLD);
                let mut asked = self.keepers(to, &listed, KeeperCounts::ASKED);
                asked.push(to);
                let knows = |node: &usize| {
                    let was_told = told.contains(node) && self.passes(from, *node);
                    self.is_alive[*node] && (was_told || *node == from) && self.passes(*node, to)
                };
                asked.iter().any(knows)
            }
            Way::TellAll => self.passes(from, to),
            Way::AskAll => self.is_alive[from] && self.passes(from, to),
            Way::Rule | Way::AnyUpstream => true,
        }
    }

    /// The version that a hash of the id chooses at a node.
    fn ruled(&self, node: usize) -> usize {
        usize::from(self.key.as_bytes()[0]) % (1 + usize::from(self.knows_new[node]))
    }
}

fn simulate(nodes: &[Peer], fault: Fault, way: Way, seed: u64) -> Run {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut run = Run::default();
    let mut told = 0;
    for number in 0..STREAMS {
        let trial = Trial::new(nodes, fault, number, &mut random);
        let version = match way {
            Way::Rule => trial.ruled(trial.began_at),
            _ => random.random_range(0..2),
        };
        let resumed = match way {
            Way::Rule => trial.ruled(trial.resumed_at),
            Way::AnyUpstream => random.random_range(0..2),
            Way::Keepers | Way::TellAll | Way::AskAll => version,
        };
        told += match way {
            Way::Keepers => trial
                .keepers(trial.began_at, nodes, KeeperCounts::TOLD)
                .len(),
            Way::TellAll => nodes.len() - 1,
            Way::AskAll | Way::Rule | Way::AnyUpstream => 0,
        };
        if trial.is_known(way) {
            run.continued += usize::from(resumed == version);
            run.joined += usize::from(resumed != version);
        }
    }
    let told_per_node_s = told as f64 / STREAMS as f64 * STREAMS_PER_NODE_S;
    run.bytes_per_node_s = told_per_node_s * record_bytes() as f64;
    run.records_per_node = (told_per_node_s + STREAMS_PER_NODE_S) * LIFETIME_S;
    run
}

/// The size of the datagram about one stream.
fn record_bytes() -> usize {
    let origin = StreamOrigin {
        service: "spa-scribe".into(),
        software: "v1.1".into(),
    };
    let key = StreamKey::of(None, &"0caa45a4d9acfcf1".into());
    let record = postcard::to_stdvec(&(key, origin));
    record.map_or(0, |record| record.len()) + DATAGRAM_BYTES
}

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for (count, domains) in FLEETS {
        let node = |number: usize| Peer {
            node: format!("front-hall-{number}").as_str().into(),
            failure_domain: format!("domain-{}", number % domains).as_str().into(),
            address: ([10, 0, 0, 1], 80).into(),
            forward_address: ([10, 0, 0, 1], 81).into(),
        };
        let nodes: Vec<Peer> = (0..count).map(node).collect();
        for (fault_name, fault) in FAULTS {
            for (way_name, way) in WAYS {
                let runs = seeds.iter().map(|seed| simulate(&nodes, fault, way, *seed));
                let runs: Vec<Run> = runs.collect();
                let reads: [Read<Run>; 4] = [
                    ("continued_share", |run| {
                        run.continued as f64 / STREAMS as f64
                    }),
                    ("joined_share", |run| run.joined as f64 / STREAMS as f64),
                    ("bytes_per_node_s", |run| run.bytes_per_node_s),
                    ("records_per_node", |run| run.records_per_node),
                ];
                let deployment = format!("{count} nodes, {fault_name}");
                rows.push(Row::over_runs(deployment, way_name, &runs, &reads));
            }
        }
    }
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "continued_share: resumed streams that go on at the version that began them; joined_share: at the other; \
             the rest is refused. Bytes and records: five streams a second begin at each node, all resumable."
                .to_owned(),
        ],
    }
}
