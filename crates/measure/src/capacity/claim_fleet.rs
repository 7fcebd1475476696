//! Claims of once-only calls against a store that answers in 5 ms.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;
use nutmegsail_base::{Clock as _, Incarnation, ManualClock, NodeId, RequestId, StoreNumber};
use nutmegsail_idempotency::{
    ClaimAction, ClaimEvent, ClaimOutcome, ClaimSettings, Claims, IdempotencyKey, LiveNode,
    RecordedAnswer, RequestDigest, StoredRecord, SwapFault,
};
use nutmegsail_wire::{NodeMessage, Payload};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use uuid::Builder;

use super::DOMAINS;
use super::heartbeat_fleet::message_bytes;

const RUN: Duration = Duration::from_secs(10);
const STORE: Duration = Duration::from_millis(5);
const HOP: Duration = Duration::from_micros(500);
const CALL: Duration = Duration::from_millis(80);
const SHORTEST_WAKE: Duration = Duration::from_millis(1);

/// Whom a node takes for a shard's writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriterView {
    /// One of all nodes, as the VM list names them.
    Fleet,
    /// One of its own failure domain, as long as nothing has told it of others.
    OwnDomain,
}

/// Once-only calls on a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimLoad {
    pub(crate) nodes: usize,
    pub(crate) calls_per_s: f64,
    pub(crate) view: WriterView,
}

/// What the claims cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClaimCost {
    pub(crate) store_writes_per_s: f64,
    pub(crate) store_reads_per_s: f64,
    pub(crate) store_written_bytes_per_s: f64,
    /// Claim messages that a node sends.
    pub(crate) bytes_per_s_a_node: f64,
    /// Of the node that sends most: a shard's writer.
    pub(crate) bytes_per_s_highest: f64,
    pub(crate) claim_wait_p95_ms: f64,
    /// Calls that were refused, as a share.
    pub(crate) refused_share: f64,
}

enum Item {
    Event(usize, ClaimEvent),
    Store(usize, ClaimAction),
    Wake(usize),
    Arrive,
}

struct Fleet {
    load: ClaimLoad,
    clock: ManualClock,
    now: Duration,
    claims: Vec<Claims>,
    ids: Vec<NodeId>,
    by_id: HashMap<NodeId, usize>,
    store: BTreeMap<String, StoredRecord>,
    revision: u64,
    due: BTreeMap<(Duration, u64), Item>,
    numbered: u64,
    wakes: HashMap<usize, Duration>,
    began: HashMap<RequestId, Duration>,
    waits: Vec<Duration>,
    refused: usize,
    reads: u64,
    writes: u64,
    written_bytes: usize,
    sent_bytes: Vec<usize>,
    rng: ChaCha8Rng,
}

/// What claims cost under `load`, arrivals at random times at random nodes.
pub(crate) fn measure_claims(load: ClaimLoad, seed: u64) -> ClaimCost {
    let mut fleet = Fleet::new(load, seed);
    fleet.run();
    fleet.waits.sort_unstable();
    let (calls, seconds) = (fleet.waits.len(), RUN.as_secs_f64());
    let sent = fleet.sent_bytes.iter();
    let highest = sent.clone().max().copied().unwrap_or(0);
    let p95 = fleet.waits.get(calls * 95 / 100).copied();
    ClaimCost {
        store_writes_per_s: fleet.writes as f64 / seconds,
        store_reads_per_s: fleet.reads as f64 / seconds,
        store_written_bytes_per_s: fleet.written_bytes as f64 / seconds,
        bytes_per_s_a_node: sent.sum::<usize>() as f64 / seconds / load.nodes as f64,
        bytes_per_s_highest: highest as f64 / seconds,
        claim_wait_p95_ms: p95.unwrap_or_default().as_secs_f64() * 1e3,
        refused_share: fleet.refused as f64 / (fleet.refused + calls).max(1) as f64,
    }
}

impl Fleet {
    fn new(load: ClaimLoad, seed: u64) -> Self {
        let id = |at: usize| NodeId::from(format!("domain-{}-node-{at:03}", at % DOMAINS));
        let ids: Vec<NodeId> = (0..load.nodes).map(id).collect();
        let core = |id: &NodeId| Claims::new(ClaimSettings::default(), id.clone(), Incarnation(1));
        let mut fleet = Self {
            load,
            clock: ManualClock::default(),
            now: Duration::ZERO,
            claims: ids.iter().map(core).collect(),
            by_id: ids.iter().cloned().zip(0..).collect(),
            ids,
            store: BTreeMap::new(),
            revision: 0,
            due: BTreeMap::new(),
            numbered: 0,
            wakes: HashMap::new(),
            began: HashMap::new(),
            waits: Vec::new(),
            refused: 0,
            reads: 0,
            writes: 0,
            written_bytes: 0,
            sent_bytes: vec![0; load.nodes],
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for at in 0..load.nodes {
            let nodes = fleet.live(at);
            fleet.tell(at, ClaimEvent::LiveNodes { nodes });
            let nodes = fleet.candidates(at);
            fleet.tell(at, ClaimEvent::WriterCandidates { nodes });
        }
        fleet.push(Duration::ZERO, Item::Arrive);
        fleet
    }

    /// The nodes of the failure domain of `at`.
    fn live(&self, at: usize) -> Vec<LiveNode> {
        let live = |other: usize| LiveNode {
            node: self.ids[other].clone(),
            incarnation: Incarnation(1),
        };
        let own = (0..self.load.nodes).filter(|other| other % DOMAINS == at % DOMAINS);
        own.map(live).collect()
    }

    /// The nodes that `at` chooses writers from.
    fn candidates(&self, at: usize) -> Vec<NodeId> {
        match self.load.view {
            WriterView::Fleet => self.ids.clone(),
            WriterView::OwnDomain => self.live(at).into_iter().map(|live| live.node).collect(),
        }
    }

    fn run(&mut self) {
        while let Some(first) = self.due.first_entry() {
            let at = first.key().0;
            if at > RUN {
                break;
            }
            let item = first.remove();
            self.clock.advance(at - self.now);
            self.now = at;
            match item {
                Item::Event(node, event) => self.tell(node, event),
                Item::Store(node, action) => self.answer(node, action),
                Item::Wake(node) => self.wake(node),
                Item::Arrive => self.arrive(),
            }
        }
    }

    fn arrive(&mut self) {
        let node = self.rng.random_range(0..self.load.nodes);
        let issued = self.clock.wall_time();
        let issued = issued
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let id = Builder::from_unix_timestamp_millis(issued.as_millis() as u64, &self.rng.random());
        let key = IdempotencyKey::parse(&id.into_uuid().to_string()).expect("a fresh key");
        let request = RequestId::from(format!("request-{}", self.began.len()));
        self.began.insert(request.clone(), self.now);
        let digest = RequestDigest::of("POST", "/bookings/confirm", &"spa-desk".into(), b"{}");
        let begin = ClaimEvent::Begin {
            request,
            key,
            digest,
        };
        self.tell(node, begin);
        let gap_s = -(1.0 - self.rng.random::<f64>()).max(1e-9).ln() / self.load.calls_per_s;
        self.push(Duration::from_secs_f64(gap_s), Item::Arrive);
    }

    fn wake(&mut self, node: usize) {
        if self.wakes.get(&node).is_some_and(|at| *at <= self.now) {
            self.wakes.remove(&node);
            self.tell(node, ClaimEvent::Tick);
        }
    }

    fn tell(&mut self, node: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        let (now, wall) = (self.clock.now(), self.clock.wall_time());
        self.claims[node].handle(event, now, wall, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
        self.plan_wake(node, now);
    }

    fn plan_wake(&mut self, node: usize, now: Instant) {
        let Some(wake) = self.claims[node].next_wake() else {
            return;
        };
        let after = wake.saturating_duration_since(now).max(SHORTEST_WAKE);
        let at = self.now + after;
        if self.wakes.get(&node).is_none_or(|planned| *planned > at) {
            self.wakes.insert(node, at);
            self.push(after, Item::Wake(node));
        }
    }

    fn carry_out(&mut self, node: usize, action: ClaimAction) {
        match action {
            ClaimAction::Run { request } => self.let_run(node, request),
            ClaimAction::Refuse { .. } => self.refused += 1,
            ClaimAction::AskWriter { to, token, entries } => {
                let message = NodeMessage::ClaimAsk {
                    token: token.0,
                    entries: payload(&entries),
                };
                let from = self.ids[node].clone();
                let event = ClaimEvent::WriterAsked {
                    from,
                    token,
                    entries,
                };
                self.send(node, &to, message, event);
            }
            ClaimAction::AnswerAsked { to, token, results } => {
                let message = NodeMessage::ClaimAnswer {
                    token: token.0,
                    results: payload(&results),
                };
                let event = ClaimEvent::WriterAnswered { token, results };
                self.send(node, &to, message, event);
            }
            ClaimAction::Swap { .. } | ClaimAction::Delete { .. } => {
                self.writes += 1;
                self.push(STORE, Item::Store(node, action));
            }
            ClaimAction::Read { .. } | ClaimAction::List { .. } => {
                self.reads += 1;
                self.push(STORE, Item::Store(node, action));
            }
            ClaimAction::Answer { .. } | ClaimAction::Forward { .. } => {}
        }
    }

    fn let_run(&mut self, node: usize, request: RequestId) {
        let began = self.began.get(&request).copied().unwrap_or_default();
        self.waits.push(self.now - began);
        let dispatched = ClaimEvent::Dispatched {
            request: request.clone(),
        };
        self.push(Duration::ZERO, Item::Event(node, dispatched));
        let outcome = ClaimOutcome::Answered(RecordedAnswer::new(201, Bytes::from_static(b"{}")));
        self.push(
            CALL,
            Item::Event(node, ClaimEvent::Finished { request, outcome }),
        );
    }

    fn send(&mut self, from: usize, to: &NodeId, message: NodeMessage, event: ClaimEvent) {
        self.sent_bytes[from] += message_bytes(&self.ids[from], message);
        if let Some(to) = self.by_id.get(to).copied() {
            self.push(HOP, Item::Event(to, event));
        }
    }

    fn answer(&mut self, node: usize, action: ClaimAction) {
        let event = match action {
            ClaimAction::Read { token, key } => ClaimEvent::ReadDone {
                token,
                result: Ok(self.store.get(&*key).cloned()),
            },
            ClaimAction::List { token, prefix } => {
                let keys = self.store.keys().filter(|key| key.starts_with(&*prefix));
                let keys = keys.take(64).map(|key| key.as_str().into()).collect();
                ClaimEvent::ListDone {
                    token,
                    result: Ok(keys),
                }
            }
            ClaimAction::Swap {
                token,
                key,
                expected_revision,
                value,
            } => {
                let result = self.swap(&key, expected_revision, value);
                ClaimEvent::SwapDone { token, result }
            }
            _ => return,
        };
        self.tell(node, event);
    }

    fn swap(
        &mut self,
        key: &str,
        expected: StoreNumber,
        value: Bytes,
    ) -> Result<StoreNumber, SwapFault> {
        let current = self.store.get(key).cloned();
        let revision = current.as_ref().map(|stored| stored.revision);
        if revision.unwrap_or_default() != expected {
            return Err(SwapFault::Conflict { current });
        }
        self.revision += 1;
        self.written_bytes += value.len();
        let revision = StoreNumber::without_era(self.revision);
        self.store
            .insert(key.to_owned(), StoredRecord { value, revision });
        Ok(revision)
    }

    fn push(&mut self, after: Duration, item: Item) {
        self.numbered += 1;
        self.due.insert((self.now + after, self.numbered), item);
    }
}

fn payload(value: &impl Serialize) -> Payload {
    Payload::from(postcard::to_stdvec(value).unwrap_or_default())
}
