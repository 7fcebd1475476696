//! What nodes know of upstreams that ended, and what they tell each other of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    BrokenRequest, NodeRecord, Recipients, RequestDigest, RequestTraits, SuspectUpdate, Suspects,
    Suspicion, collectors_of,
};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Failure domains; nodes and upstreams stand in them in turn.
pub(crate) const DOMAINS: usize = 3;

/// Datagrams that are lost.
const LOST_SHARE: f64 = 0.03;

/// Nodes that are told of all that is known, by each node, every [`STANDING_TURNS`] exchanges.
const STANDING_NODES: usize = 4;
const STANDING_TURNS: u64 = 5;
const TOLD_AT_ONCE: usize = 12;

/// A way to find requests that crash upstreams, and to keep them from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashWay {
    /// Nothing is remembered beyond a request's own attempt.
    Forgetful,
    /// Each node counts what it saw.
    EachNode,
    /// One end is told to one node of each failure domain, a second one to all nodes.
    Homes,
    /// Each end is told to all nodes.
    TellAll,
    /// As [`CrashWay::Homes`], and refused after the second end.
    LimitTwo,
    /// As [`CrashWay::Homes`], and held against all that ran on the upstream.
    BlameAll,
}

/// What all nodes know.
pub(crate) struct Fleet {
    way: CrashWay,
    nodes: Vec<Suspects>,
    records: Vec<NodeRecord>,
    pub(crate) messages: u64,
    turns: u64,
}

impl Fleet {
    pub(crate) fn new(way: CrashWay, nodes: usize) -> Self {
        let records = (0..nodes).map(|number| NodeRecord {
            node: format!("node-{number}").as_str().into(),
            failure_domain: format!("domain-{}", number % DOMAINS).as_str().into(),
            address: ([127, 0, 0, 1], number as u16).into(),
            forward_address: None,
            out_of_reach: Vec::new(),
        });
        Self {
            way,
            nodes: vec![Suspects::default(); nodes],
            records: records.collect(),
            messages: 0,
            turns: 0,
        }
    }

    /// Whether `node` sends the request.
    pub(crate) fn suspicion(&self, node: usize, digest: &RequestDigest, now: Instant) -> Suspicion {
        let known = &self.nodes[node];
        match self.way {
            CrashWay::Forgetful => Suspicion::None,
            CrashWay::LimitTwo if known.ages(digest, now).len() >= 2 => Suspicion::Crashes,
            _ => known.suspicion(digest, now),
        }
    }

    pub(crate) fn begin_trial(&mut self, node: usize, digest: &RequestDigest, now: Instant) {
        self.nodes[node].begin_trial(digest, now);
    }

    pub(crate) fn end_trial(&mut self, node: usize, digest: &RequestDigest) {
        self.nodes[node].end_trial(digest);
    }

    /// Whether the end of its upstream is held against a request.
    pub(crate) fn is_blamed(&self, broken: &BrokenRequest) -> bool {
        self.way == CrashWay::BlameAll || broken.is_starting()
    }

    pub(crate) fn strike(
        &mut self,
        node: usize,
        digest: RequestDigest,
        upstream: &UpstreamId,
        now: Instant,
    ) {
        self.nodes[node].strike(digest, upstream, now);
    }

    pub(crate) fn clear(&mut self, node: usize, digest: &RequestDigest, now: Instant) {
        self.nodes[node].clear(digest, now);
    }

    /// Nodes tell each other what is new; `reaches` says whether one hears the other.
    pub(crate) fn exchange(
        &mut self,
        now: Instant,
        random: &mut ChaCha8Rng,
        reaches: impl Fn(usize, usize) -> bool,
    ) {
        self.turns += 1;
        if matches!(self.way, CrashWay::Forgetful | CrashWay::EachNode) {
            return;
        }
        let is_standing = self.turns.is_multiple_of(STANDING_TURNS);
        for node in 0..self.nodes.len() {
            for (to, told) in self.by_listener(node, now) {
                self.messages += told.len().div_ceil(TOLD_AT_ONCE) as u64;
                if reaches(node, to) && random.random::<f64>() >= LOST_SHARE {
                    self.take(node, to, &told, now);
                }
            }
            if !is_standing {
                continue;
            }
            let standing = self.nodes[node].repeated_updates(TOLD_AT_ONCE, now);
            for _ in 0..STANDING_NODES {
                let to = random.random_range(0..self.nodes.len());
                if !standing.is_empty() && to != node {
                    self.messages += 1;
                    if reaches(node, to) {
                        self.take(node, to, &standing, now);
                    }
                }
            }
        }
    }

    /// Whether every node refuses the request.
    pub(crate) fn knows_everywhere(&self, digest: &RequestDigest, now: Instant) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.suspicion(digest, now) == Suspicion::Crashes)
    }

    /// What a node tells now, by who hears it.
    fn by_listener(&mut self, from: usize, now: Instant) -> BTreeMap<usize, Vec<SuspectUpdate>> {
        let mut heard: BTreeMap<usize, Vec<SuspectUpdate>> = BTreeMap::new();
        for (audience, told) in self.nodes[from].due_updates(now) {
            let is_for_all = audience == Recipients::All || self.way == CrashWay::TellAll;
            let listeners: Vec<usize> = match is_for_all {
                true => (0..self.nodes.len()).collect(),
                false => {
                    let homes = collectors_of(told.digest(), &self.records).into_iter();
                    homes.map(|home| usize::from(home.address.port())).collect()
                }
            };
            for to in listeners.into_iter().filter(|to| *to != from) {
                heard.entry(to).or_default().push(told.clone());
            }
        }
        heard
    }

    fn take(&mut self, from: usize, to: usize, told: &[SuspectUpdate], now: Instant) {
        for told in told {
            self.nodes[to].take(&self.records[from].node, told, now);
        }
    }
}

/// The age of a request at an upstream, as its node sees it.
pub(crate) fn broken(digest: RequestDigest, began: Option<Instant>, now: Instant) -> BrokenRequest {
    BrokenRequest {
        traits: RequestTraits::new(digest, &[]),
        since_first_event: began
            .filter(|began| *began <= now)
            .map(|began| now.saturating_duration_since(began).max(Duration::ZERO)),
    }
}
