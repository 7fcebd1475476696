//! One stream that breaks off, and whether the node at which it is taken up finds its origin.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use nutmegsail_relay::{KeeperCounts, Peer, StreamKey, is_stream_keeper, stream_keepers};
use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::fault::World;
use super::fleet::STREAM_S;
use super::way::{Batches, Notified, ReadTime, Writer};
use super::writer::{WRITE_S, wait_for_batch_s};
use super::{Fault, Fleet, Way};

/// How long a message between nodes takes.
const MESSAGE_S: f64 = 0.002;

/// The share of nodes whose list does not have the newest version yet.
const LATE_SHARE: f64 = 0.05;

/// How long a release takes, in which the upstreams are replaced one by one.
const RELEASE_S: f64 = 4.8;

/// How much later than others a late node lists an upstream.
const LATE_S: f64 = 1.0;

/// What became of the streams that were taken up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub taken_up: usize,
    pub went_on: usize,
    pub joined: usize,
    /// Those that were taken up at nodes that reach the store.
    pub in_touch: usize,
    pub in_touch_went_on: usize,
    /// Those that no batch had taken, of streams that are written to the store.
    pub unwritten: usize,
    /// Those for which the store was read.
    pub read_for: usize,
    /// Queries to other nodes.
    pub queried: usize,
}

struct Trial<'a> {
    fleet: &'a Fleet,
    world: World,
    key: StreamKey,
    began_at: usize,
    began_s: f64,
    taken_up_at: usize,
    taken_up_s: f64,
}

/// Takes up `count` streams, each around a fault of its own.
pub(crate) fn simulate_fault(
    fleet: &Fleet,
    fault: Fault,
    way: Way,
    count: usize,
    seed: u64,
) -> Outcomes {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut outcomes = Outcomes::default();
    for number in 0..count {
        let trial = Trial::new(fleet, fault, number, &mut random);
        outcomes.taken_up += 1;
        outcomes.in_touch += usize::from(trial.is_in_touch());
        match way {
            Way::Known { notified, batches } => {
                let went_on = trial.goes_on(notified, batches, &mut outcomes, &mut random);
                outcomes.went_on += usize::from(went_on);
                outcomes.in_touch_went_on += usize::from(went_on && trial.is_in_touch());
            }
            Way::HashRule | Way::AnyUpstream | Way::AdapterByShare | Way::AdapterFixed => {
                let release_s = random.random_range(0.0..RELEASE_S);
                let times = [trial.began_s, trial.taken_up_s].map(|at_s| release_s + at_s);
                let [began, resumed] = times.map(|at_s| trial.chosen_new(way, at_s, &mut random));
                outcomes.went_on += usize::from(began == resumed);
                outcomes.in_touch_went_on += usize::from(began == resumed && trial.is_in_touch());
                outcomes.joined += usize::from(began != resumed);
            }
        }
    }
    outcomes
}

impl<'a> Trial<'a> {
    fn new(fleet: &'a Fleet, fault: Fault, number: usize, random: &mut ChaCha8Rng) -> Self {
        let began_at = random.random_range(0..fleet.nodes.len());
        let world = World::new(fleet, fault, began_at, random);
        let caller_domain = match fault {
            Fault::CutAfterBegin(_) if fleet.domain(began_at) == 0 => {
                random.random_range(1..fleet.domains)
            }
            Fault::CutAfterBegin(_) => 0,
            _ => fleet.domain(began_at),
        };
        let pause_s = match fault {
            Fault::CutAfterBegin(_) => random.random_range(0.5..2.0),
            _ => random.random_range(0.02..0.3),
        };
        let mut trial = Self {
            fleet,
            world,
            key: StreamKey::of(None, &format!("stream-{number}").as_str().into()),
            began_at,
            began_s: -random.random_range(0.0..STREAM_S),
            taken_up_at: began_at,
            taken_up_s: pause_s,
        };
        trial.take_up(caller_domain, random);
        trial
    }

    /// Chooses the node at which the caller takes the stream up: one of its failure domain, else one
    /// that it reaches, else the first one that serves again there.
    fn take_up(&mut self, domain: usize, random: &mut ChaCha8Rng) {
        let at_s = self.taken_up_s;
        let serves = |node: &usize| self.world.is_alive(*node, at_s);
        let near = self.fleet.in_domain(domain).filter(serves).choose(random);
        let reached = |node: &usize| {
            serves(node) && self.world.passes(domain, self.fleet.domain(*node), at_s)
        };
        let far = || (0..self.fleet.nodes.len()).filter(reached);
        if let Some(node) = near.or_else(|| far().choose(random)) {
            self.taken_up_at = node;
            return;
        }
        let nodes: Vec<usize> = self.fleet.in_domain(domain).collect();
        let back_s = |node: &usize| self.world.back_s(*node);
        let first_s = nodes.iter().map(back_s).fold(f64::INFINITY, f64::min);
        self.taken_up_s = first_s + random.random_range(0.0..0.5);
        let serve: Vec<usize> = nodes
            .into_iter()
            .filter(|node| back_s(node) <= self.taken_up_s)
            .collect();
        self.taken_up_at = serve.choose(random).copied().unwrap_or(self.began_at);
    }

    /// Whether the node that takes the stream up reaches the store.
    fn is_in_touch(&self) -> bool {
        let domain = self.fleet.domain(self.taken_up_at);
        self.world.reaches_store(domain, self.taken_up_s)
    }

    /// Whether the stream's origin becomes known, as it is refused otherwise.
    fn goes_on(
        &self,
        notified: Notified,
        batches: Option<Batches>,
        outcomes: &mut Outcomes,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let keepers = self.notified_keepers(notified);
        let written_s = batches.map(|batches| self.written_s(notified, &keepers, batches, random));
        outcomes.unwritten += usize::from(written_s.is_some_and(|at_s| at_s > 0.0));
        if self.remembers(self.taken_up_at, &keepers) {
            return true;
        }
        let queried = self.keepers(
            notified,
            self.taken_up_at,
            self.taken_up_s,
            KeeperCounts::QUERIED,
        );
        outcomes.queried += queried.len();
        if queried.iter().any(|node| self.answers(*node, &keepers)) {
            return true;
        }
        let (Some(batches), Some(written_s)) = (batches, written_s) else {
            return false;
        };
        let read_s = match batches.read {
            ReadTime::TakenUp => self.taken_up_s,
            ReadTime::Start => self.world.back_s(self.taken_up_at),
        };
        let is_read = self.is_in_touch();
        outcomes.read_for += usize::from(is_read && batches.read == ReadTime::TakenUp);
        is_read && written_s <= read_s
    }

    /// The nodes that were notified of the stream, as its node listed them.
    fn notified_keepers(&self, notified: Notified) -> Vec<usize> {
        let arrives = |keeper: &usize| {
            let (from, to) = (self.fleet.domain(self.began_at), self.fleet.domain(*keeper));
            self.world.passes(from, to, self.began_s)
                && self.world.is_alive(*keeper, self.began_s + MESSAGE_S)
        };
        let keepers = self.keepers(
            notified,
            self.began_at,
            self.began_s,
            KeeperCounts::NOTIFIED,
        );
        keepers.into_iter().filter(arrives).collect()
    }

    /// The keepers of the stream as a node chooses them from its list.
    fn keepers(
        &self,
        notified: Notified,
        of: usize,
        at_s: f64,
        counts: KeeperCounts,
    ) -> Vec<usize> {
        match notified {
            Notified::NoNode => Vec::new(),
            Notified::AllDomains => self.any_keepers(of, at_s, counts),
            Notified::Registrars => {
                let own = (&self.fleet.nodes[of].node, self.fleet.domain_name(of));
                let (indices, listed) = self.listed(of, at_s, counts.other_domains > 0);
                let keepers = stream_keepers(&self.key, own, &listed, counts);
                let index =
                    |keeper: &Peer| listed.iter().position(|node| std::ptr::eq(node, keeper));
                let places = keepers.into_iter().filter_map(index);
                places.map(|place| indices[place]).collect()
            }
        }
    }

    /// The registrars on a node's list, by their numbers.
    fn listed(&self, of: usize, at_s: f64, with_others: bool) -> (Vec<usize>, Vec<Peer>) {
        let domain = self.fleet.domain(of);
        let counts = |node: &usize| with_others || self.fleet.domain(*node) == domain;
        let nodes = self.fleet.registrars.iter().copied().filter(counts);
        let nodes = nodes.filter(|node| self.world.is_listed(*node, at_s));
        let nodes: Vec<usize> = nodes.collect();
        let peers = nodes.iter().map(|node| self.fleet.nodes[*node].clone());
        let peers = peers.collect();
        (nodes, peers)
    }

    /// Keepers in all failure domains, of which any node can be one.
    fn any_keepers(&self, of: usize, at_s: f64, counts: KeeperCounts) -> Vec<usize> {
        let mut keepers = Vec::new();
        for domain in 0..self.fleet.domains {
            let listed = self.fleet.in_domain(domain);
            let listed = listed.filter(|node| self.world.is_listed(*node, at_s) || *node == of);
            let mut ranked: Vec<usize> = listed.collect();
            ranked.sort_by_cached_key(|node| {
                let mut hasher = DefaultHasher::new();
                (self.key.as_bytes(), node).hash(&mut hasher);
                hasher.finish()
            });
            let count = match domain == self.fleet.domain(of) {
                true => counts.own_domain,
                false if counts == KeeperCounts::NOTIFIED => 1,
                false => counts.other_domains,
            };
            keepers.extend(ranked.into_iter().take(count));
        }
        keepers.retain(|node| *node != of);
        keepers
    }

    /// Whether a node knows the origin without a query.
    fn remembers(&self, node: usize, keepers: &[usize]) -> bool {
        (node == self.began_at || keepers.contains(&node))
            && (self.world).runs_through(node, self.began_s + MESSAGE_S, self.taken_up_s)
    }

    fn answers(&self, node: usize, keepers: &[usize]) -> bool {
        let (from, to) = (self.fleet.domain(node), self.fleet.domain(self.taken_up_at));
        self.remembers(node, keepers) && self.world.passes(from, to, self.taken_up_s)
    }

    /// When the store has the origin, which may be never.
    fn written_s(
        &self,
        notified: Notified,
        keepers: &[usize],
        batches: Batches,
        random: &mut impl Rng,
    ) -> f64 {
        let mut writers: Vec<usize> = match batches.writer {
            Writer::OwnNode => vec![self.began_at],
            Writer::FirstKeeper | Writer::Keepers => [keepers, &[self.began_at]].concat(),
        };
        writers.retain(|node| match batches.writer {
            Writer::OwnNode => true,
            Writer::FirstKeeper => self.is_writer(*node),
            Writer::Keepers => *node != self.began_at || self.is_own_keeper(notified),
        });
        let times = writers.into_iter().map(|writer| {
            let streams_per_s = self.streams_per_writer_s(batches.writer);
            let wait_s = wait_for_batch_s(&self.key, streams_per_s, batches.interval_ms, random);
            let taken_s = self.began_s + MESSAGE_S + wait_s;
            let domain = self.fleet.domain(writer);
            let is_written = self.world.reaches_store(domain, taken_s + WRITE_S)
                && (self.world).runs_through(writer, self.began_s, taken_s + WRITE_S);
            match is_written {
                true => taken_s + WRITE_S,
                false => f64::INFINITY,
            }
        });
        times.fold(f64::INFINITY, f64::min)
    }

    /// Whether a node takes itself for the first keeper.
    fn is_writer(&self, node: usize) -> bool {
        let own = (&self.fleet.nodes[node].node, self.fleet.domain_name(node));
        let (_, listed) = self.listed(node, self.began_s, false);
        is_stream_keeper(&self.key, own, &listed, 1)
    }

    /// Whether the node where the stream began is one of its keepers.
    fn is_own_keeper(&self, notified: Notified) -> bool {
        let keepers = self.keepers(
            notified,
            self.began_at,
            self.began_s,
            KeeperCounts::NOTIFIED,
        );
        keepers.len() < KeeperCounts::NOTIFIED.own_domain
    }

    /// How many streams a second wait at a writer.
    fn streams_per_writer_s(&self, role: Writer) -> f64 {
        let fleet = self.fleet;
        let per_domain = fleet.streams_per_s / fleet.domains as f64;
        let nodes = fleet.nodes.len() as f64 / fleet.domains as f64;
        let registrars = fleet.registrars.len() as f64 / fleet.domains as f64;
        match role {
            Writer::OwnNode => per_domain / nodes,
            Writer::FirstKeeper => per_domain / registrars,
            Writer::Keepers => 2.0 * per_domain / registrars,
        }
    }

    /// Whether a rule chooses the new version, at a time of a release.
    fn chosen_new(&self, way: Way, at_s: f64, random: &mut ChaCha8Rng) -> bool {
        let hash = f64::from(self.key.as_bytes()[0]) / 256.0;
        let is_late = random.random_bool(LATE_SHARE);
        let listed_s = at_s - if is_late { LATE_S } else { 0.0 };
        match way {
            Way::HashRule => {
                listed_s > 0.0 && listed_s < RELEASE_S && hash < 0.5 || listed_s >= RELEASE_S
            }
            Way::AdapterByShare => hash < listed_s / RELEASE_S,
            Way::AdapterFixed => hash < 0.5,
            Way::AnyUpstream | Way::Known { .. } => random.random_bool(0.5),
        }
    }
}
