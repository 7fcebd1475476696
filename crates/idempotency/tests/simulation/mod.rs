//! Simulates nodes, a store and an upstream in one thread with a manual clock.
//!
//! Each run depends only on its seed. The guarantees to callers are checked at each step.
#![allow(
    dead_code,
    reason = "each test file uses a different part of the simulation"
)]
#![allow(clippy::unwrap_used, reason = "test code outside of test functions")]
#![allow(clippy::needless_pass_by_value, reason = "messages are consumed")]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use nutmegsail_base::{
    Clock as _, Incarnation, ManualClock, NodeId, RequestId, ResultCode, RunState, StoreNumber,
};
use nutmegsail_idempotency::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};

/// How the store handles a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFate {
    Done,
    NotDone,
    /// The answer is lost. The write takes effect after this time, or never.
    Lost {
        takes_effect_after: Option<Duration>,
    },
}

/// How a call ends at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    Answered,
    Broken,
    Refused,
}

/// The rates of random faults, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub swap_not_done: u64,
    pub swap_lost: u64,
    pub read_fails: u64,
    pub message_lost: u64,
    pub message_duplicated: u64,
    pub message_delayed: u64,
    pub call_broken: u64,
    pub call_refused: u64,
}

/// How long calls and messages take.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    pub store: Duration,
    pub hop: Duration,
    pub call: Duration,
    pub store_timeout: Duration,
}

impl Default for Delays {
    fn default() -> Self {
        Self {
            store: Duration::from_millis(5),
            hop: Duration::from_micros(500),
            call: Duration::from_millis(80),
            store_timeout: Duration::from_millis(500),
        }
    }
}

enum Item {
    Event {
        node: usize,
        incarnation: u64,
        event: ClaimEvent,
    },
    StoreCall {
        node: usize,
        incarnation: u64,
        call: ClaimAction,
        is_answered: bool,
    },
    Dispatch {
        node: usize,
        incarnation: u64,
        request: RequestId,
    },
    Wake {
        node: usize,
        incarnation: u64,
    },
}

pub struct Node {
    pub id: NodeId,
    pub incarnation: u64,
    pub claims: Claims,
    pub paused_until: Duration,
    pub is_partitioned: bool,
    pub domain: usize,
    pub clock_error_s: i64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Answer(RecordedAnswer),
    Refused(ResultCode, RunState),
    Ran(CallFate),
}

struct Attempt {
    key: IdempotencyKey,
    body: u8,
    begun_at: Duration,
    /// The attempt at another node from which this one was forwarded.
    forwarded_from: Option<RequestId>,
}

pub struct Simulation {
    pub clock: ManualClock,
    pub elapsed: Duration,
    pub settings: ClaimSettings,
    pub nodes: Vec<Node>,
    pub store: BTreeMap<String, (Bytes, u64)>,
    pub store_revision: u64,
    pub store_down: bool,
    pub faults: Faults,
    pub delays: Delays,
    /// The fates of the next writes and calls; once they are used up, fates are random.
    pub next_swaps: Vec<SwapFate>,
    pub next_calls: Vec<CallFate>,
    pub responses: BTreeMap<RequestId, Response>,
    pub ran: HashMap<IdempotencyKey, Vec<RequestId>>,
    pub allowed_runs: HashSet<RequestId>,
    pub claim_waits: Vec<Duration>,
    pub store_writes: u64,
    pub store_reads: u64,
    pub written_bytes: u64,
    pub message_bytes: u64,
    attempts: HashMap<RequestId, Attempt>,
    queue: BTreeMap<(Duration, u64), Item>,
    queued: u64,
    requests: u64,
    rng: ChaCha8Rng,
    wakes: HashMap<usize, Duration>,
}

impl Simulation {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let settings = ClaimSettings {
            retention: Duration::from_secs(3600),
            record_retention: Duration::from_secs(3660),
            ..ClaimSettings::default()
        };
        Self::with_settings(nodes, seed, settings)
    }

    pub fn with_settings(nodes: usize, seed: u64, settings: ClaimSettings) -> Self {
        let nodes = (0..nodes).map(|at| Node::new(at, 1, &settings)).collect();
        let mut sim = Self {
            clock: ManualClock::default(),
            elapsed: Duration::ZERO,
            settings,
            nodes,
            store: BTreeMap::new(),
            store_revision: 0,
            store_down: false,
            faults: Faults::default(),
            delays: Delays::default(),
            next_swaps: Vec::new(),
            next_calls: Vec::new(),
            responses: BTreeMap::new(),
            ran: HashMap::new(),
            allowed_runs: HashSet::new(),
            claim_waits: Vec::new(),
            store_writes: 0,
            store_reads: 0,
            written_bytes: 0,
            message_bytes: 0,
            attempts: HashMap::new(),
            queue: BTreeMap::new(),
            queued: 0,
            requests: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            wakes: HashMap::new(),
        };
        sim.announce_live_nodes();
        sim
    }

    /// Creates a key issued now, by the true time.
    pub fn key(&mut self) -> IdempotencyKey {
        let at = self.wall();
        self.key_issued_at(at)
    }

    pub fn key_issued_at(&mut self, at: SystemTime) -> IdempotencyKey {
        let text = self.uuid(at).to_string();
        IdempotencyKey::parse(&text).unwrap()
    }

    pub fn ticket(&mut self, node: usize) -> IdempotencyKey {
        let id = self.uuid(self.wall());
        let Node {
            id: node,
            incarnation,
            ..
        } = &self.nodes[node];
        IdempotencyKey::with_ticket(id, node.clone(), Incarnation(*incarnation))
    }

    fn uuid(&mut self, at: SystemTime) -> uuid::Uuid {
        let ms = at
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let mut random = [0; 10];
        self.rng.fill_bytes(&mut random);
        uuid::Builder::from_unix_timestamp_millis(ms, &random).into_uuid()
    }

    /// The writer of the key's shard, and another node.
    pub fn writer_and_other(&self, key: &IdempotencyKey) -> (usize, usize) {
        let writer = self.writer(ChainPlace::of(key).shard);
        (writer, (writer + 1) % self.nodes.len())
    }

    /// The node that deletes old records.
    pub fn garbage_collector(&self) -> usize {
        self.writer(0)
    }

    fn writer(&self, shard: u8) -> usize {
        let ids = self.nodes.iter().map(|node| &node.id);
        let writer = writer_of(shard, ids).unwrap();
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.id == *writer).unwrap()
    }

    /// The number of dispatches of `key` that the upstream may have run.
    pub fn runs(&self, key: &IdempotencyKey) -> usize {
        self.ran.get(key).map_or(0, Vec::len)
    }

    pub fn wall(&self) -> SystemTime {
        self.clock.wall_time()
    }

    /// Sends a caller's call to `node`.
    pub fn begin(&mut self, node: usize, key: &IdempotencyKey, body: u8) -> RequestId {
        self.begin_for(node, key, body, None)
    }

    fn begin_for(
        &mut self,
        node: usize,
        key: &IdempotencyKey,
        body: u8,
        forwarded_from: Option<RequestId>,
    ) -> RequestId {
        self.requests += 1;
        let request = RequestId::from(format!("r{}", self.requests));
        let attempt = Attempt {
            key: key.clone(),
            body,
            begun_at: self.elapsed,
            forwarded_from,
        };
        self.attempts.insert(request.clone(), attempt);
        let digest = RequestDigest::of("POST", "/bookings", &"spa-desk".into(), &[body]);
        let event = ClaimEvent::Begin {
            request: request.clone(),
            key: key.clone(),
            digest,
        };
        let incarnation = self.nodes[node].incarnation;
        self.schedule(
            Duration::ZERO,
            Item::Event {
                node,
                incarnation,
                event,
            },
        );
        request
    }

    pub fn pause(&mut self, node: usize, by: Duration) {
        let until = self.elapsed + by;
        let paused_until = &mut self.nodes[node].paused_until;
        *paused_until = (*paused_until).max(until);
    }

    pub fn restart(&mut self, node: usize) {
        self.wakes.remove(&node);
        let incarnation = self.nodes[node].incarnation + 1;
        let fresh = Node::new(node, incarnation, &self.settings);
        let old = std::mem::replace(&mut self.nodes[node], fresh);
        self.nodes[node].is_partitioned = old.is_partitioned;
        self.nodes[node].domain = old.domain;
        self.nodes[node].clock_error_s = old.clock_error_s;
        self.announce_live_nodes();
    }

    /// Sends every node the candidates for writers and the live nodes that it can reach.
    pub fn announce_live_nodes(&mut self) {
        for to in 0..self.nodes.len() {
            let own = &self.nodes[to];
            let reachable = |from: &Node| {
                from.is_partitioned == own.is_partitioned && from.domain == own.domain
            };
            let nodes = self.nodes.iter().filter(|from| reachable(from));
            let nodes = nodes
                .map(|node| LiveNode {
                    node: node.id.clone(),
                    incarnation: Incarnation(node.incarnation),
                })
                .collect();
            let incarnation = self.nodes[to].incarnation;
            let all = self.nodes.iter().map(|node| node.id.clone()).collect();
            let event = ClaimEvent::WriterCandidates { nodes: all };
            let candidates = Item::Event {
                node: to,
                incarnation,
                event,
            };
            self.schedule(Duration::ZERO, candidates);
            let event = ClaimEvent::LiveNodes { nodes };
            self.schedule(
                Duration::ZERO,
                Item::Event {
                    node: to,
                    incarnation,
                    event,
                },
            );
        }
    }

    pub fn set_store_down(&mut self, is_down: bool) {
        self.store_down = is_down;
        for node in 0..self.nodes.len() {
            let incarnation = self.nodes[node].incarnation;
            let event = if is_down {
                ClaimEvent::StoreDown
            } else {
                ClaimEvent::StoreUp
            };
            self.schedule(
                Duration::ZERO,
                Item::Event {
                    node,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// Advances the clock by `by` and processes everything that is scheduled until then.
    pub fn run_for(&mut self, by: Duration) {
        let end = self.elapsed + by;
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let item = self.queue.remove(&(at, number)).unwrap();
            self.advance_to(at);
            self.step(item);
        }
        self.advance_to(end);
    }

    fn advance_to(&mut self, at: Duration) {
        self.clock.advance(at - self.elapsed);
        self.elapsed = at;
    }

    fn schedule(&mut self, after: Duration, item: Item) {
        self.queued += 1;
        self.queue.insert((self.elapsed + after, self.queued), item);
    }

    fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && u64::from(self.rng.next_u32()) % 100 < percent
    }

    fn random_ms(&mut self, below: u64) -> Duration {
        Duration::from_millis(u64::from(self.rng.next_u32()) % below)
    }

    fn step(&mut self, item: Item) {
        let (Item::Event {
            node, incarnation, ..
        }
        | Item::StoreCall {
            node, incarnation, ..
        }
        | Item::Dispatch {
            node, incarnation, ..
        }
        | Item::Wake { node, incarnation }) = item;
        // The store also carries out the calls of paused and dead nodes.
        let needs_node = !matches!(item, Item::StoreCall { .. });
        if needs_node && self.nodes[node].incarnation != incarnation {
            return;
        }
        if needs_node && self.nodes[node].paused_until > self.elapsed {
            let wait = self.nodes[node].paused_until - self.elapsed;
            self.schedule(wait, item);
            return;
        }
        match item {
            Item::Event { node, event, .. } => self.handle_event(node, event),
            Item::StoreCall {
                node,
                incarnation,
                call,
                is_answered,
            } => {
                let answer = self.execute(call);
                if is_answered {
                    let half = self.delays.store / 2;
                    self.schedule(
                        half,
                        Item::Event {
                            node,
                            incarnation,
                            event: answer,
                        },
                    );
                }
            }
            Item::Dispatch { node, request, .. } => self.dispatch(node, request),
            Item::Wake { node, .. } => {
                // If an earlier wake was scheduled after this one, it has done the work already.
                if self.wakes.get(&node).is_some_and(|at| *at <= self.elapsed) {
                    self.wakes.remove(&node);
                    self.handle_event(node, ClaimEvent::Tick);
                }
            }
        }
    }

    /// Has a node handle an event immediately.
    pub fn handle_event(&mut self, node: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        let (now, wall) = (self.clock.now(), self.node_wall(node));
        self.nodes[node]
            .claims
            .handle(event, now, wall, &mut actions);
        for action in actions {
            self.perform(node, action);
        }
        self.schedule_wake(node, now);
    }

    fn node_wall(&self, node: usize) -> SystemTime {
        let error_s = self.nodes[node].clock_error_s;
        let error = Duration::from_secs(error_s.unsigned_abs());
        if error_s < 0 {
            self.wall() - error
        } else {
            self.wall() + error
        }
    }

    fn schedule_wake(&mut self, node: usize, now: Instant) {
        let Some(at) = self.nodes[node].claims.next_wake() else {
            return;
        };
        let after = at
            .saturating_duration_since(now)
            .max(Duration::from_millis(1));
        let at = self.elapsed + after;
        if self.wakes.get(&node).is_none_or(|planned| *planned > at) {
            self.wakes.insert(node, at);
            let incarnation = self.nodes[node].incarnation;
            self.schedule(after, Item::Wake { node, incarnation });
        }
    }

    fn perform(&mut self, node: usize, action: ClaimAction) {
        match action {
            ClaimAction::Run { request } => self.allow_run(node, request),
            ClaimAction::Answer { request, recorded } => {
                self.respond(request, Response::Answer(recorded));
            }
            ClaimAction::Refuse {
                request,
                code,
                run_state,
                ..
            } => {
                self.respond(request, Response::Refused(code, run_state));
            }
            ClaimAction::Forward {
                request,
                to,
                incarnation,
            } => {
                self.forward(node, request, &to, incarnation);
            }
            ClaimAction::Delete { key } => {
                assert!(is_past_retention(
                    &key,
                    &self.settings,
                    self.node_wall(node)
                ));
                self.store_writes += 1;
                self.store_revision += 1;
                self.store.remove(&*key);
            }
            ClaimAction::AskWriter { to, token, entries } => {
                self.message_bytes += postcard::to_allocvec(&entries).unwrap().len() as u64;
                let from = self.nodes[node].id.clone();
                self.send(
                    node,
                    &to,
                    ClaimEvent::WriterAsked {
                        from,
                        token,
                        entries,
                    },
                );
            }
            ClaimAction::AnswerAsked { to, token, results } => {
                self.message_bytes += postcard::to_allocvec(&results).unwrap().len() as u64;
                self.send(node, &to, ClaimEvent::WriterAnswered { token, results });
            }
            call @ (ClaimAction::Read { .. }
            | ClaimAction::Swap { .. }
            | ClaimAction::List { .. }) => {
                self.call_store(node, call);
            }
        }
    }

    fn send(&mut self, from: usize, to: &NodeId, event: ClaimEvent) {
        let to = self.nodes.iter().position(|node| node.id == *to).unwrap();
        let is_partitioned = self.nodes[from].is_partitioned != self.nodes[to].is_partitioned;
        if is_partitioned || self.chance(self.faults.message_lost) {
            return;
        }
        // The message goes to the incarnation that is running now; a later one drops it.
        let copies = if self.chance(self.faults.message_duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = self.chance(self.faults.message_delayed);
            let after = self.delays.hop
                + if is_late {
                    self.random_ms(6000)
                } else {
                    Duration::ZERO
                };
            let incarnation = self.nodes[to].incarnation;
            self.schedule(
                after,
                Item::Event {
                    node: to,
                    incarnation,
                    event: event.clone(),
                },
            );
        }
    }

    fn forward(&mut self, from: usize, request: RequestId, to: &NodeId, incarnation: Incarnation) {
        let to = self.nodes.iter().position(|node| node.id == *to).unwrap();
        let Attempt { key, body, .. } = &self.attempts[&request];
        let (key, body) = (key.clone(), *body);
        if self.nodes[from].is_partitioned != self.nodes[to].is_partitioned {
            let incarnation = self.nodes[from].incarnation;
            let event = ClaimEvent::Forwarded {
                request,
                result: ForwardResult::NotSent,
            };
            self.schedule(
                self.delays.hop,
                Item::Event {
                    node: from,
                    incarnation,
                    event,
                },
            );
            return;
        }
        assert_eq!(key.ticket().unwrap().incarnation, incarnation);
        self.begin_for(to, &key, body, Some(request));
    }

    fn call_store(&mut self, node: usize, call: ClaimAction) {
        let incarnation = self.nodes[node].incarnation;
        let half = self.delays.store / 2;
        let ClaimAction::Swap { token, .. } = call else {
            self.store_reads += 1;
            let fails = self.store_down || self.chance(self.faults.read_fails);
            if fails {
                let event = match call {
                    ClaimAction::Read { token, .. } => ClaimEvent::ReadDone {
                        token,
                        result: Err(StoreFault),
                    },
                    ClaimAction::List { token, .. } => ClaimEvent::ListDone {
                        token,
                        result: Err(StoreFault),
                    },
                    _ => unreachable!("only reads come here"),
                };
                self.schedule(
                    half,
                    Item::Event {
                        node,
                        incarnation,
                        event,
                    },
                );
            } else {
                self.schedule(
                    half,
                    Item::StoreCall {
                        node,
                        incarnation,
                        call,
                        is_answered: true,
                    },
                );
            }
            return;
        };
        self.store_writes += 1;
        let fault = match self.draw_swap_fate() {
            SwapFate::Done => {
                self.schedule(
                    half,
                    Item::StoreCall {
                        node,
                        incarnation,
                        call,
                        is_answered: true,
                    },
                );
                return;
            }
            SwapFate::NotDone => SwapFault::NotDone,
            SwapFate::Lost { takes_effect_after } => {
                if let Some(after) = takes_effect_after {
                    let late = Item::StoreCall {
                        node,
                        incarnation,
                        call,
                        is_answered: false,
                    };
                    self.schedule(after, late);
                }
                SwapFault::Ambiguous
            }
        };
        let after = if fault == SwapFault::Ambiguous {
            self.delays.store_timeout
        } else {
            half
        };
        let event = ClaimEvent::SwapDone {
            token,
            result: Err(fault),
        };
        self.schedule(
            after,
            Item::Event {
                node,
                incarnation,
                event,
            },
        );
    }

    fn draw_swap_fate(&mut self) -> SwapFate {
        if !self.next_swaps.is_empty() {
            return self.next_swaps.remove(0);
        }
        if self.store_down || self.chance(self.faults.swap_not_done) {
            return SwapFate::NotDone;
        }
        if !self.chance(self.faults.swap_lost) {
            return SwapFate::Done;
        }
        let takes_effect_after = match self.rng.next_u32() % 3 {
            0 => None,
            1 => Some(self.delays.store / 2),
            _ => Some(self.random_ms(5000)),
        };
        SwapFate::Lost { takes_effect_after }
    }

    fn execute(&mut self, call: ClaimAction) -> ClaimEvent {
        match call {
            ClaimAction::Read { token, key } => {
                let result = Ok(self.stored(&key));
                ClaimEvent::ReadDone { token, result }
            }
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
                let current = self.stored(&key);
                let revision = current.as_ref().map(|stored| stored.revision);
                let revision = revision.unwrap_or_default();
                let result = if revision == expected_revision {
                    self.store_revision += 1;
                    self.written_bytes += value.len() as u64;
                    assert!(value.len() <= 1_000_000 && key.len() <= 200);
                    self.store
                        .insert(key.to_string(), (value, self.store_revision));
                    Ok(StoreNumber::without_era(self.store_revision))
                } else {
                    Err(SwapFault::Conflict { current })
                };
                ClaimEvent::SwapDone { token, result }
            }
            other => unreachable!("not a store call: {other:?}"),
        }
    }

    fn stored(&self, key: &str) -> Option<StoredRecord> {
        let (value, revision) = self.store.get(key)?;
        Some(StoredRecord {
            value: value.clone(),
            revision: StoreNumber::without_era(*revision),
        })
    }

    fn allow_run(&mut self, node: usize, request: RequestId) {
        assert!(
            self.allowed_runs.insert(request.clone()),
            "{request} was allowed to run twice"
        );
        assert!(
            !self.responses.contains_key(&request),
            "{request} was answered and then allowed to run"
        );
        let attempt = &self.attempts[&request];
        self.claim_waits.push(self.elapsed - attempt.begun_at);
        let incarnation = self.nodes[node].incarnation;
        let after = Duration::from_micros(100);
        self.schedule(
            after,
            Item::Dispatch {
                node,
                incarnation,
                request,
            },
        );
    }

    fn dispatch(&mut self, node: usize, request: RequestId) {
        self.handle_event(
            node,
            ClaimEvent::Dispatched {
                request: request.clone(),
            },
        );
        let fate = self.draw_call_fate();
        let attempt = &self.attempts[&request];
        if fate != CallFate::Refused {
            let runs = self.ran.entry(attempt.key.clone()).or_default();
            runs.push(request.clone());
            assert_eq!(runs.len(), 1, "{} ran twice: {runs:?}", attempt.key);
        }
        let outcome = match fate {
            CallFate::Answered => {
                ClaimOutcome::Answered(RecordedAnswer::new(201, vec![b'a' + attempt.body]))
            }
            CallFate::Broken => ClaimOutcome::Unknown,
            CallFate::Refused => ClaimOutcome::NotRun,
        };
        let incarnation = self.nodes[node].incarnation;
        let event = ClaimEvent::Finished {
            request: request.clone(),
            outcome,
        };
        self.schedule(
            self.delays.call,
            Item::Event {
                node,
                incarnation,
                event,
            },
        );
        self.respond(request, Response::Ran(fate));
    }

    fn draw_call_fate(&mut self) -> CallFate {
        if !self.next_calls.is_empty() {
            return self.next_calls.remove(0);
        }
        if self.chance(self.faults.call_broken) {
            return CallFate::Broken;
        }
        if self.chance(self.faults.call_refused) {
            return CallFate::Refused;
        }
        CallFate::Answered
    }

    /// Checks and records the response to a caller.
    fn respond(&mut self, request: RequestId, response: Response) {
        let attempt = &self.attempts[&request];
        if let Response::Answer(answer) = &response {
            assert!(
                self.ran.contains_key(&attempt.key),
                "answered, but the call never ran"
            );
            assert_eq!(*answer.body, [b'a' + attempt.body], "another call's answer");
        }
        if let Response::Refused(_, RunState::NotRun) = response {
            assert!(
                !self.allowed_runs.contains(&request),
                "{request} was allowed to run but refused as not run"
            );
        }
        let forwarded_from = attempt.forwarded_from.clone();
        if let Some(origin) = forwarded_from {
            self.responses
                .entry(origin)
                .or_insert_with(|| response.clone());
        }
        let before = self.responses.insert(request.clone(), response);
        assert!(before.is_none(), "{request} was answered twice");
    }
}

impl Node {
    fn new(at: usize, incarnation: u64, settings: &ClaimSettings) -> Self {
        let id = NodeId::from(format!("node-{at}"));
        Self {
            claims: Claims::new(settings.clone(), id.clone(), Incarnation(incarnation)),
            id,
            incarnation,
            paused_until: Duration::ZERO,
            is_partitioned: false,
            domain: 0,
            clock_error_s: 0,
        }
    }
}
