//! What nodes know of upstreams that ended, and what they send each other of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    BrokenRequest, NodeRecord, Recipients, RequestTraits, SuspectTrait, SuspectUpdate,
    SuspectedPart, Suspects, Suspicion, collectors_of,
};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Failure domains; nodes and upstreams stand in them in turn.
pub(crate) const DOMAINS: usize = 3;

/// Datagrams that are lost.
const LOST_SHARE: f64 = 0.03;

/// Nodes that are sent all that is known, by each node, every [`REPEAT_TURNS`] exchanges.
const REPEAT_NODES: usize = 2;
const REPEAT_TURNS: u64 = 5;
const MAX_PER_DATAGRAM: usize = 12;

/// The bytes of a datagram beside its updates: headers of the network, and the sender's name.
const DATAGRAM_BYTES: usize = 48;

/// A way to find requests that crash upstreams, and to keep them from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashWay {
    /// As nutmegsail does.
    Kept,
    /// Nothing is remembered beyond a request's own attempt.
    Forgetful,
    /// Each node counts what it saw.
    EachNode,
    /// Requests are known by their whole content only.
    WholeRequests,
    /// Each strike of a part goes to all nodes.
    PartsToAll,
    /// Each strike goes to all nodes.
    TellAll,
    /// Updates go out with the next exchange.
    NextExchange,
    /// Refused after the second end.
    LimitTwo,
    /// Three ends refuse a part, whenever its copies were sent.
    OneRound,
    /// Copies are never held back.
    NoTrials,
    /// Nothing but a whole answer clears a part.
    ClearedByWholeAnswers,
    /// Nothing clears a part.
    CountsAlone,
    /// Suspected requests go to random upstreams.
    Scattered,
    /// Suspected requests go where their shared parts are cached, like all others.
    StaysHome,
    /// All that ran there are blamed.
    BlameAll,
    /// All nodes know at once how likely each trait is the cause of all ends.
    Likelihood,
}

/// What all nodes know.
pub(crate) struct Fleet {
    way: CrashWay,
    nodes: Vec<Suspects>,
    records: Vec<NodeRecord>,
    likelihood: Likelihood,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    turns: u64,
}

/// Which upstream a suspected request is sent to.
pub(crate) enum Placement {
    Random,
    /// The first one in the order of the suspected part.
    ByRank(SuspectedPart),
}

/// A change of what a node has to send.
pub(crate) type IsNews = bool;

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
            likelihood: Likelihood::default(),
            messages: 0,
            bytes: 0,
            turns: 0,
        }
    }

    /// Whether requests are known by the parts of their prompts.
    pub(crate) fn knows_parts(&self) -> bool {
        self.way != CrashWay::WholeRequests
    }

    /// Whether `node` sends the request.
    pub(crate) fn suspicion(&self, node: usize, traits: &RequestTraits, now: Instant) -> Suspicion {
        let known = &self.nodes[node];
        let fewest = |limit: usize| {
            let mut ages = traits.iter().map(|suspect| known.ages(&suspect, now).len());
            ages.any(|ends| ends >= limit)
        };
        match self.way {
            CrashWay::Forgetful => Suspicion::None,
            CrashWay::Likelihood => self.likelihood.suspicion(traits),
            CrashWay::LimitTwo if fewest(2) => Suspicion::Crashes,
            CrashWay::OneRound if fewest(3) => Suspicion::Crashes,
            CrashWay::NoTrials => match known.suspicion(traits, now) {
                Suspicion::OnTrial => Suspicion::None,
                other => other,
            },
            _ => known.suspicion(traits, now),
        }
    }

    /// Where a suspected request is sent in place of where its shared parts are cached.
    pub(crate) fn place(
        &self,
        node: usize,
        traits: &RequestTraits,
        now: Instant,
    ) -> Option<Placement> {
        let suspected = self.nodes[node].suspected_part(traits, now)?;
        match self.way {
            CrashWay::StaysHome => None,
            CrashWay::Scattered => Some(Placement::Random),
            _ => Some(Placement::ByRank(suspected)),
        }
    }

    pub(crate) fn begin(&mut self, node: usize, traits: &RequestTraits, now: Instant) -> IsNews {
        self.nodes[node].begin(traits, now);
        self.nodes[node].has_news()
    }

    pub(crate) fn end_parts(
        &mut self,
        node: usize,
        traits: &RequestTraits,
        now: Instant,
    ) -> IsNews {
        self.nodes[node].end_parts(traits, now);
        self.nodes[node].has_news()
    }

    pub(crate) fn end_request(
        &mut self,
        node: usize,
        traits: &RequestTraits,
        now: Instant,
    ) -> IsNews {
        self.nodes[node].end_request(traits, now);
        self.nodes[node].has_news()
    }

    /// Whether the end of its upstream is held against a request.
    pub(crate) fn is_blamed(&self, broken: &BrokenRequest) -> bool {
        self.way == CrashWay::BlameAll || broken.is_starting()
    }

    pub(crate) fn strike(
        &mut self,
        node: usize,
        broken: &BrokenRequest,
        upstream: &UpstreamId,
        now: Instant,
    ) -> IsNews {
        match self.way {
            CrashWay::Likelihood => self.likelihood.strike(broken, upstream),
            CrashWay::BlameAll => {
                let broken = BrokenRequest {
                    since_first_event: None,
                    ..broken.clone()
                };
                self.nodes[node].strike(&broken, upstream, now);
            }
            _ => self.nodes[node].strike(broken, upstream, now),
        }
        self.nodes[node].has_news()
    }

    /// An answer has run on for a while.
    pub(crate) fn begun(
        &mut self,
        node: usize,
        traits: &RequestTraits,
        began: Instant,
        now: Instant,
    ) -> IsNews {
        match self.way {
            CrashWay::CountsAlone | CrashWay::ClearedByWholeAnswers => {}
            CrashWay::Likelihood => self.likelihood.clear(traits),
            _ => self.nodes[node].record_begun(traits, began, now),
        }
        self.nodes[node].has_news()
    }

    pub(crate) fn answered(
        &mut self,
        node: usize,
        traits: &RequestTraits,
        began: Instant,
        now: Instant,
    ) -> IsNews {
        match self.way {
            CrashWay::CountsAlone => {}
            _ => self.nodes[node].record_answered(traits, began, now),
        }
        self.nodes[node].has_news()
    }

    /// Whether updates go out at once.
    pub(crate) fn sends_at_once(&self) -> bool {
        !matches!(
            self.way,
            CrashWay::Forgetful
                | CrashWay::EachNode
                | CrashWay::NextExchange
                | CrashWay::Likelihood
        )
    }

    /// A node sends what is due.
    pub(crate) fn send(
        &mut self,
        node: usize,
        now: Instant,
        random: &mut ChaCha8Rng,
        reaches: &impl Fn(usize, usize) -> bool,
    ) -> Vec<usize> {
        let mut received = Vec::new();
        for (to, updates) in self.by_receiver(node, now) {
            self.count(&updates);
            if reaches(node, to) && random.random::<f64>() >= LOST_SHARE {
                self.take(node, to, &updates, now);
                received.push(to);
            }
        }
        received.retain(|to| self.nodes[*to].has_news());
        received
    }

    /// All nodes send what is due, and now and then what they know.
    pub(crate) fn exchange(
        &mut self,
        now: Instant,
        random: &mut ChaCha8Rng,
        reaches: &impl Fn(usize, usize) -> bool,
    ) {
        self.turns += 1;
        if matches!(
            self.way,
            CrashWay::Forgetful | CrashWay::EachNode | CrashWay::Likelihood
        ) {
            return;
        }
        let is_repeat = self.turns.is_multiple_of(REPEAT_TURNS);
        for node in 0..self.nodes.len() {
            self.send(node, now, random, reaches);
            if !is_repeat {
                continue;
            }
            let repeated = self.nodes[node].repeated_updates(MAX_PER_DATAGRAM, now);
            for _ in 0..REPEAT_NODES {
                let to = random.random_range(0..self.nodes.len());
                if !repeated.is_empty() && to != node {
                    self.count(&repeated);
                    if reaches(node, to) {
                        self.take(node, to, &repeated, now);
                    }
                }
            }
        }
    }

    fn count(&mut self, updates: &[SuspectUpdate]) {
        let datagrams = updates.len().div_ceil(MAX_PER_DATAGRAM);
        self.messages += datagrams as u64;
        let sizes = updates.iter().map(postcard::to_stdvec);
        let bytes: usize = sizes.map(|bytes| bytes.unwrap_or_default().len()).sum();
        self.bytes += (bytes + datagrams * DATAGRAM_BYTES) as u64;
    }

    /// Whether every node refuses the request.
    pub(crate) fn knows_everywhere(&self, traits: &RequestTraits, now: Instant) -> bool {
        let mut nodes = 0..self.nodes.len();
        nodes.all(|node| self.suspicion(node, traits, now) == Suspicion::Crashes)
    }

    /// What a node sends now, by receiver.
    fn by_receiver(&mut self, from: usize, now: Instant) -> BTreeMap<usize, Vec<SuspectUpdate>> {
        let mut by_receiver: BTreeMap<usize, Vec<SuspectUpdate>> = BTreeMap::new();
        for (recipients, update) in self.nodes[from].due_updates(now) {
            let is_for_all = match (self.way, update.suspect()) {
                (CrashWay::TellAll, _) => true,
                (CrashWay::PartsToAll, SuspectTrait::PromptPart(_)) => true,
                _ => recipients == Recipients::All,
            };
            let receivers: Vec<usize> = match is_for_all {
                true => (0..self.nodes.len()).collect(),
                false => {
                    let collectors = collectors_of(update.suspect(), &self.records).into_iter();
                    collectors
                        .map(|node| usize::from(node.address.port()))
                        .collect()
                }
            };
            for to in receivers.into_iter().filter(|to| *to != from) {
                by_receiver.entry(to).or_default().push(update.clone());
            }
        }
        by_receiver
    }

    fn take(&mut self, from: usize, to: usize, updates: &[SuspectUpdate], now: Instant) {
        let mut replies = Vec::new();
        for update in updates {
            let reply = self.nodes[to].take(&self.records[from].node, update, now);
            replies.extend(reply);
        }
        if !replies.is_empty() {
            self.count(&replies);
        }
        for reply in &replies {
            self.nodes[from].take(&self.records[to].node, reply, now);
        }
    }
}

/// How likely each trait is the cause of the ends, known to all nodes at once.
#[derive(Default)]
struct Likelihood {
    /// The odds that a trait crashes upstreams, once an upstream ended under it.
    odds: HashMap<SuspectTrait, f64>,
    /// The traits that were there, by upstream that ended.
    ends: HashMap<UpstreamId, BTreeSet<SuspectTrait>>,
}

impl Likelihood {
    /// The odds before any upstream ended, and the probability that one ends for another reason while
    /// a request is starting there.
    const PRIOR: f64 = 1e-4;
    const OTHER_REASON: f64 = 0.02;
    const REFUSED_ODDS: f64 = 9.0;

    fn strike(&mut self, broken: &BrokenRequest, upstream: &UpstreamId) {
        let there = self.ends.entry(upstream.clone()).or_default();
        let is_starting = broken
            .since_first_event
            .is_none_or(|ago| ago < Duration::from_millis(250));
        for suspect in broken.traits.iter().filter(|_| is_starting) {
            if there.insert(suspect) {
                let odds = self.odds.entry(suspect).or_insert(Self::PRIOR);
                *odds /= Self::OTHER_REASON;
            }
        }
    }

    fn clear(&mut self, traits: &RequestTraits) {
        for suspect in traits.iter() {
            self.odds.remove(&suspect);
        }
    }

    fn suspicion(&self, traits: &RequestTraits) -> Suspicion {
        let odds = traits.iter().filter_map(|suspect| self.odds.get(&suspect));
        match odds.copied().fold(0.0, f64::max) {
            odds if odds >= Self::REFUSED_ODDS => Suspicion::Crashes,
            _ => Suspicion::None,
        }
    }
}
