//! What it costs to know where streams began, while no fault shows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegsail_relay::{
    KeeperCounts, OriginBatch, OriginBatches, Peer, StreamKey, StreamOrigin, is_stream_keeper,
    stream_keepers,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::fleet::{RESUMABLE_S, STREAM_S};
use super::way::{Batches, Notified, ReadTime, Writer};
use super::writer::{batches, origin, random_wait_s};
use super::{Fleet, Layout, Way};

/// What is measured, after as long a time in which writers find their pace.
const MEASURED_S: f64 = 3.0;

/// How long nodes remember a stream.
const REMEMBERED_S: f64 = 70.0;

/// How long the store keeps a batch, on average.
const STORED_S: f64 = 25.0;

/// A new lease for the batches of the next while.
const LEASES_PER_S: f64 = 0.1;

/// Headers of a datagram over UDP and IP, and what the message adds to its records.
const DATAGRAM_BYTES: f64 = 28.0 + 4.0;

/// Headers of a call to the store and of its answer, with TCP and IP.
const CALL_BYTES: f64 = 400.0;

/// A key in the store, and what a transaction or an item adds to its value.
const KEY_BYTES: f64 = 90.0;

/// What a stream adds to a value, and how much longer values are in transit.
const STREAM_BYTES: f64 = 9.0;
const BASE64: f64 = 4.0 / 3.0;

const SHARDS: f64 = 8.0;

/// The most items in a page of a read.
const PAGE_ITEMS: f64 = 500.0;

/// What the fleet pays.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    pub writes_per_s: f64,
    /// In and out, between nodes and to the store.
    pub bytes_per_node_s: f64,
    /// The same at the busiest node.
    pub bytes_at_busiest_s: f64,
    /// Streams that the busiest node remembers.
    pub records_at_busiest: f64,
    /// Keys in the store.
    pub stored_keys: f64,
    pub stored_kb: f64,
    /// Calls to the store once all nodes were killed and streams are taken up.
    pub reads_after_all_killed: f64,
    pub read_mb_after_all_killed: f64,
}

struct Sim<'a> {
    fleet: &'a Fleet,
    notified: Notified,
    batches: Option<Batches>,
    measured_from: Instant,
    origin: StreamOrigin,
    record_bytes: f64,
    /// Of each failure domain, with their numbers.
    registrars: Vec<(Vec<usize>, Vec<Peer>)>,
    writers: BTreeMap<usize, OriginBatches>,
    bytes: Vec<f64>,
    records: Vec<f64>,
    writes: usize,
    keys: f64,
    value_bytes: f64,
}

/// Counts what a fleet sends and writes.
pub(crate) fn simulate_cost(fleet: &Fleet, way: Way, seed: u64) -> Cost {
    let Way::Known { notified, batches } = way else {
        return Cost::default();
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = fleet.nodes.len();
    let base = Instant::now();
    let mut sim = Sim {
        fleet,
        notified,
        batches,
        measured_from: base + Duration::from_secs_f64(MEASURED_S),
        origin: origin(),
        record_bytes: record_bytes(),
        registrars: (0..fleet.domains)
            .map(|domain| registrars(fleet, domain))
            .collect(),
        writers: BTreeMap::new(),
        bytes: vec![0.0; count],
        records: vec![0.0; count],
        writes: 0,
        keys: 0.0,
        value_bytes: 0.0,
    };
    let mut at_s = 0.0;
    let mut number = 0;
    while at_s < 2.0 * MEASURED_S {
        at_s += random_wait_s(fleet.streams_per_s, &mut random);
        let now = base + Duration::from_secs_f64(at_s);
        let key = StreamKey::of(None, &format!("{seed}-{number}").as_str().into());
        let began_at = random.random_range(0..count);
        sim.begin(&key, began_at, now, at_s >= MEASURED_S);
        number += 1;
    }
    let writers: Vec<usize> = sim.writers.keys().copied().collect();
    for writer in writers {
        sim.flush_until(writer, base + Duration::from_secs_f64(2.0 * MEASURED_S));
    }
    sim.cost(&mut random)
}

fn registrars(fleet: &Fleet, domain: usize) -> (Vec<usize>, Vec<Peer>) {
    let near = fleet.registrars.iter().copied();
    let near: Vec<usize> = near.filter(|node| fleet.domain(*node) == domain).collect();
    let peers = near.iter().map(|node| fleet.nodes[*node].clone()).collect();
    (near, peers)
}

impl Sim<'_> {
    fn begin(&mut self, key: &StreamKey, began_at: usize, now: Instant, is_measured: bool) {
        let keepers = self.notified_keepers(key, began_at);
        if is_measured {
            self.records[began_at] += 1.0;
            for keeper in &keepers {
                self.records[*keeper] += 1.0;
                self.bytes[*keeper] += self.record_bytes;
                self.bytes[began_at] += self.record_bytes;
            }
        }
        let Some(batched) = self.batches else {
            return;
        };
        for writer in self.writers_of(key, began_at, &keepers, batched.writer) {
            self.flush_until(writer, now);
            let waiting = self.writers.entry(writer);
            let waiting = waiting.or_insert_with(|| batches(batched.interval_ms));
            waiting.push(*key, self.origin.clone(), now);
        }
    }

    fn notified_keepers(&self, key: &StreamKey, began_at: usize) -> Vec<usize> {
        let fleet = self.fleet;
        let own = (&fleet.nodes[began_at].node, fleet.domain_name(began_at));
        match self.notified {
            Notified::NoNode => Vec::new(),
            Notified::AllDomains => {
                // Any nodes: these are as busy as those with the highest hash.
                let first = usize::from(key.as_bytes()[0]) + usize::from(key.as_bytes()[1]) * 256;
                let domain = fleet.domain(began_at);
                let near: Vec<usize> = fleet
                    .in_domain(domain)
                    .filter(|node| *node != began_at)
                    .collect();
                let far = (0..fleet.domains)
                    .filter(|other| *other != domain)
                    .map(|other| {
                        let nodes: Vec<usize> = fleet.in_domain(other).collect();
                        nodes[first % nodes.len()]
                    });
                let near = (0..near.len().min(2)).map(|place| near[(first + place) % near.len()]);
                near.chain(far).collect()
            }
            Notified::Registrars => {
                let (nodes, peers) = &self.registrars[fleet.domain(began_at)];
                let keepers = stream_keepers(key, own, peers, KeeperCounts::NOTIFIED);
                let place =
                    |keeper: &Peer| peers.iter().position(|peer| std::ptr::eq(peer, keeper));
                let places = keepers.into_iter().filter_map(place);
                places.map(|place| nodes[place]).collect()
            }
        }
    }

    fn writers_of(
        &self,
        key: &StreamKey,
        began_at: usize,
        keepers: &[usize],
        role: Writer,
    ) -> Vec<usize> {
        let fleet = self.fleet;
        let (_, registrars) = &self.registrars[fleet.domain(began_at)];
        let is_writer = |node: &usize| {
            let own = (&fleet.nodes[*node].node, fleet.domain_name(*node));
            is_stream_keeper(key, own, registrars, 1)
        };
        let all = keepers.iter().copied().chain([began_at]);
        match role {
            Writer::OwnNode => vec![began_at],
            Writer::FirstKeeper => all.filter(is_writer).collect(),
            Writer::Keepers => {
                let is_keeper = keepers.len() < KeeperCounts::NOTIFIED.own_domain;
                all.filter(|node| *node != began_at || is_keeper).collect()
            }
        }
    }

    /// Writes what a node has due until `now`.
    fn flush_until(&mut self, writer: usize, now: Instant) {
        let layout = self.batches.map(|batched| batched.layout);
        let Some(waiting) = self.writers.get_mut(&writer) else {
            return;
        };
        while let Some(due) = waiting.due_at().filter(|due| *due <= now) {
            let streams = waiting.take_batch(due).map_or(0, |batch| batch.len());
            waiting.written();
            if due < self.measured_from {
                continue;
            }
            let keys = match layout {
                Some(Layout::Shards) => shards_with(streams),
                Some(Layout::Domains) | None => 1.0,
            };
            let value_bytes = keys * one_stream_bytes() + (streams as f64 - keys) * STREAM_BYTES;
            self.writes += 1;
            self.keys += keys;
            self.value_bytes += value_bytes;
            self.bytes[writer] += CALL_BYTES + keys * KEY_BYTES + value_bytes * BASE64;
        }
    }

    fn cost(&self, random: &mut ChaCha8Rng) -> Cost {
        let count = self.fleet.nodes.len() as f64;
        let leases_per_s = self.writers.len() as f64 * LEASES_PER_S;
        let stored_keys = self.keys / MEASURED_S * STORED_S;
        let stored_bytes =
            self.value_bytes / MEASURED_S * STORED_S * BASE64 + stored_keys * KEY_BYTES;
        let busiest_per_s = |of: &[f64]| of.iter().copied().fold(0.0, f64::max) / MEASURED_S;
        let reads = self.prefixes_read(random);
        let prefixes = match self.batches.map(|batched| (batched.read, batched.layout)) {
            Some((ReadTime::Start, _)) | None => 1.0,
            Some((_, Layout::Shards)) => SHARDS,
            Some((_, Layout::Domains)) => self.fleet.domains as f64,
        };
        let pages = (stored_keys / prefixes / PAGE_ITEMS).ceil();
        Cost {
            writes_per_s: self.writes as f64 / MEASURED_S + leases_per_s,
            bytes_per_node_s: self.bytes.iter().sum::<f64>() / MEASURED_S / count,
            bytes_at_busiest_s: busiest_per_s(&self.bytes),
            records_at_busiest: busiest_per_s(&self.records) * REMEMBERED_S,
            stored_keys,
            stored_kb: stored_bytes / 1e3,
            reads_after_all_killed: reads * pages,
            read_mb_after_all_killed: reads * stored_bytes / prefixes / 1e6,
        }
    }

    /// How often some prefix is read, if each node reads it once for all streams that are taken up
    /// there.
    fn prefixes_read(&self, random: &mut ChaCha8Rng) -> f64 {
        let Some(batched) = self.batches else {
            return 0.0;
        };
        let count = self.fleet.nodes.len();
        let taken_up = (self.fleet.streams_per_s * STREAM_S) as usize;
        let mut prefixes = BTreeSet::new();
        for _ in 0..taken_up {
            let node = random.random_range(0..count);
            let prefix = match (batched.read, batched.layout) {
                (ReadTime::Start, _) | (_, Layout::Domains) => 0,
                (ReadTime::TakenUp, Layout::Shards) => random.random_range(0..SHARDS as usize),
            };
            prefixes.insert((node, prefix));
        }
        match batched.read {
            ReadTime::Start => count as f64,
            ReadTime::TakenUp => prefixes.len() as f64,
        }
    }
}

/// How many of the shards a flush of so many streams touches, on average.
fn shards_with(streams: usize) -> f64 {
    let streams = i32::try_from(streams).unwrap_or(i32::MAX);
    SHARDS * (1.0 - (1.0 - 1.0 / SHARDS).powi(streams))
}

/// The size of a value with one stream.
fn one_stream_bytes() -> f64 {
    let mut batch = OriginBatch::default();
    batch.push(&StreamKey::of(None, &"any".into()), &origin());
    batch.to_bytes().len() as f64
}

/// The size of the datagram about one stream.
fn record_bytes() -> f64 {
    let key = StreamKey::of(None, &"0caa45a4d9acfcf1".into());
    let record = postcard::to_stdvec(&(key, origin()));
    record.map_or(0, |record| record.len()) as f64 + DATAGRAM_BYTES
}

const _: () = assert!(RESUMABLE_S <= STORED_S);
