//! A few nodes, a store and an upstream in one thread, on a clock that moves only when told to.
//!
//! Every run is a function of its seed. The world checks the promises to callers at each step.
#![allow(dead_code, reason = "each test file uses another part of the world")]
#![allow(clippy::unwrap_used, reason = "test code outside of test functions")]
#![allow(clippy::needless_pass_by_value, reason = "messages are handed over")]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use nutmegsail_base::{
    Clock as _, Incarnation, ManualClock, NodeId, RequestId, ResultCode, RunState, StoreNumber,
};
use nutmegsail_idempotency::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};

/// What becomes of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFate {
    Done,
    NotDone,
    /// The answer is lost; the write takes effect at once, later, or never.
    Lost {
        takes_effect_after: Option<Duration>,
    },
}

/// What becomes of a call at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    Answered,
    Broken,
    Refused,
}

/// How often things go wrong, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub swap_not_done: u64,
    pub swap_lost: u64,
    pub read_fails: u64,
    pub message_lost: u64,
    pub message_twice: u64,
    pub message_late: u64,
    pub call_broken: u64,
    pub call_refused: u64,
}

/// How long things take.
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
    pub is_cut: bool,
    pub domain: usize,
    pub clock_error_s: i64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Answer(RecordedAnswer),
    Refused(ResultCode, RunState),
    Ran(CallFate),
}

struct Attempt {
    key: IdempotencyKey,
    body: u8,
    begun: Duration,
    /// The attempt at another node that this one was passed on for.
    passed_on_from: Option<RequestId>,
}

pub struct World {
    pub clock: ManualClock,
    pub elapsed: Duration,
    pub settings: ClaimSettings,
    pub nodes: Vec<Node>,
    pub store: BTreeMap<String, (Bytes, u64)>,
    pub store_revision: u64,
    pub store_down: bool,
    pub faults: Faults,
    pub delays: Delays,
    /// Fates of the next writes and calls, before chance decides.
    pub next_swaps: Vec<SwapFate>,
    pub next_calls: Vec<CallFate>,
    pub told: BTreeMap<RequestId, Told>,
    pub ran: HashMap<IdempotencyKey, Vec<RequestId>>,
    pub let_run: HashSet<RequestId>,
    pub claim_waits: Vec<Duration>,
    pub store_writes: u64,
    pub store_reads: u64,
    pub written_bytes: u64,
    pub asked_bytes: u64,
    attempts: HashMap<RequestId, Attempt>,
    queue: BTreeMap<(Duration, u64), Item>,
    queued: u64,
    requests: u64,
    rng: ChaCha8Rng,
    wakes: HashMap<usize, Duration>,
}

impl World {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let settings = ClaimSettings {
            retention: Duration::from_secs(3600),
            kept: Duration::from_secs(3660),
            ..ClaimSettings::default()
        };
        Self::with_settings(nodes, seed, settings)
    }

    pub fn with_settings(nodes: usize, seed: u64, settings: ClaimSettings) -> Self {
        let nodes = (0..nodes).map(|at| Node::new(at, 1, &settings)).collect();
        let mut world = Self {
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
            told: BTreeMap::new(),
            ran: HashMap::new(),
            let_run: HashSet::new(),
            claim_waits: Vec::new(),
            store_writes: 0,
            store_reads: 0,
            written_bytes: 0,
            asked_bytes: 0,
            attempts: HashMap::new(),
            queue: BTreeMap::new(),
            queued: 0,
            requests: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            wakes: HashMap::new(),
        };
        world.spread_live_nodes();
        world
    }

    /// A key issued now, by the true time.
    pub fn key(&mut self) -> IdempotencyKey {
        let at = self.wall();
        self.key_issued(at)
    }

    pub fn key_issued(&mut self, at: SystemTime) -> IdempotencyKey {
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

    /// The node that writes for the key's shard, and one that does not.
    pub fn writer_and_other(&self, key: &IdempotencyKey) -> (usize, usize) {
        let writer = self.writer(ChainPlace::of(key).shard);
        (writer, (writer + 1) % self.nodes.len())
    }

    /// The node that removes old records.
    pub fn collector(&self) -> usize {
        self.writer(0)
    }

    fn writer(&self, shard: u8) -> usize {
        let ids = self.nodes.iter().map(|node| &node.id);
        let writer = writer_of(shard, ids).unwrap();
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.id == *writer).unwrap()
    }

    /// How many dispatches of `key` may have reached the upstream.
    pub fn runs(&self, key: &IdempotencyKey) -> usize {
        self.ran.get(key).map_or(0, Vec::len)
    }

    pub fn wall(&self) -> SystemTime {
        self.clock.wall_time()
    }

    /// A caller sends a call to `node`.
    pub fn begin(&mut self, node: usize, key: &IdempotencyKey, body: u8) -> RequestId {
        self.begin_for(node, key, body, None)
    }

    fn begin_for(
        &mut self,
        node: usize,
        key: &IdempotencyKey,
        body: u8,
        passed_on_from: Option<RequestId>,
    ) -> RequestId {
        self.requests += 1;
        let request = RequestId::from(format!("r{}", self.requests));
        let attempt = Attempt {
            key: key.clone(),
            body,
            begun: self.elapsed,
            passed_on_from,
        };
        self.attempts.insert(request.clone(), attempt);
        let digest = RequestDigest::of("POST", "/bookings", &"spa-desk".into(), &[body]);
        let event = ClaimEvent::Begin {
            request: request.clone(),
            key: key.clone(),
            digest,
        };
        let incarnation = self.nodes[node].incarnation;
        self.put(
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
        self.nodes[node].is_cut = old.is_cut;
        self.nodes[node].domain = old.domain;
        self.nodes[node].clock_error_s = old.clock_error_s;
        self.spread_live_nodes();
    }

    /// Tells every node which others it can reach.
    pub fn spread_live_nodes(&mut self) {
        for to in 0..self.nodes.len() {
            let own = &self.nodes[to];
            let reachable = |from: &Node| from.is_cut == own.is_cut && from.domain == own.domain;
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
            self.put(Duration::ZERO, candidates);
            let event = ClaimEvent::LiveNodes { nodes };
            self.put(
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
            self.put(
                Duration::ZERO,
                Item::Event {
                    node,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// Lets `by` pass, with all that happens meanwhile.
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

    fn put(&mut self, after: Duration, item: Item) {
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
        // The store carries out calls of paused and of dead nodes, too.
        let needs_node = !matches!(item, Item::StoreCall { .. });
        if needs_node && self.nodes[node].incarnation != incarnation {
            return;
        }
        if needs_node && self.nodes[node].paused_until > self.elapsed {
            let wait = self.nodes[node].paused_until - self.elapsed;
            self.put(wait, item);
            return;
        }
        match item {
            Item::Event { node, event, .. } => self.tell_node(node, event),
            Item::StoreCall {
                node,
                incarnation,
                call,
                is_answered,
            } => {
                let answer = self.execute(call);
                if is_answered {
                    let half = self.delays.store / 2;
                    self.put(
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
                // An earlier wake was planned after this one: that one has done the work.
                if self.wakes.get(&node).is_some_and(|at| *at <= self.elapsed) {
                    self.wakes.remove(&node);
                    self.tell_node(node, ClaimEvent::Tick);
                }
            }
        }
    }

    /// Lets a node handle an event at once.
    pub fn tell_node(&mut self, node: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        let (now, wall) = (self.clock.now(), self.node_wall(node));
        self.nodes[node]
            .claims
            .handle(event, now, wall, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
        self.plan_wake(node, now);
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

    fn plan_wake(&mut self, node: usize, now: Instant) {
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
            self.put(after, Item::Wake { node, incarnation });
        }
    }

    fn carry_out(&mut self, node: usize, action: ClaimAction) {
        match action {
            ClaimAction::Run { request } => self.let_run(node, request),
            ClaimAction::Answer { request, recorded } => self.tell(request, Told::Answer(recorded)),
            ClaimAction::Refuse {
                request,
                code,
                run_state,
                ..
            } => {
                self.tell(request, Told::Refused(code, run_state));
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
                self.asked_bytes += postcard::to_allocvec(&entries).unwrap().len() as u64;
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
                self.asked_bytes += postcard::to_allocvec(&results).unwrap().len() as u64;
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
        let is_cut = self.nodes[from].is_cut != self.nodes[to].is_cut;
        if is_cut || self.chance(self.faults.message_lost) {
            return;
        }
        // A message finds whatever incarnation runs there when it arrives.
        let copies = if self.chance(self.faults.message_twice) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = self.chance(self.faults.message_late);
            let after = self.delays.hop
                + if is_late {
                    self.random_ms(6000)
                } else {
                    Duration::ZERO
                };
            let incarnation = self.nodes[to].incarnation;
            self.put(
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
        if self.nodes[from].is_cut != self.nodes[to].is_cut {
            let incarnation = self.nodes[from].incarnation;
            let event = ClaimEvent::Forwarded {
                request,
                result: ForwardResult::NotSent,
            };
            self.put(
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
                self.put(
                    half,
                    Item::Event {
                        node,
                        incarnation,
                        event,
                    },
                );
            } else {
                self.put(
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
                self.put(
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
                    self.put(after, late);
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
        self.put(
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

    fn let_run(&mut self, node: usize, request: RequestId) {
        assert!(
            self.let_run.insert(request.clone()),
            "{request} was let run twice"
        );
        assert!(
            !self.told.contains_key(&request),
            "{request} was told its end and then let run"
        );
        let attempt = &self.attempts[&request];
        self.claim_waits.push(self.elapsed - attempt.begun);
        let incarnation = self.nodes[node].incarnation;
        let after = Duration::from_micros(100);
        self.put(
            after,
            Item::Dispatch {
                node,
                incarnation,
                request,
            },
        );
    }

    fn dispatch(&mut self, node: usize, request: RequestId) {
        self.tell_node(
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
        self.put(
            self.delays.call,
            Item::Event {
                node,
                incarnation,
                event,
            },
        );
        self.tell(request, Told::Ran(fate));
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

    /// Checks and keeps what a caller is told.
    fn tell(&mut self, request: RequestId, told: Told) {
        let attempt = &self.attempts[&request];
        if let Told::Answer(answer) = &told {
            assert!(
                self.ran.contains_key(&attempt.key),
                "an answer to a call that never ran"
            );
            assert_eq!(*answer.body, [b'a' + attempt.body], "another call's answer");
        }
        if let Told::Refused(_, RunState::NotRun) = told {
            assert!(
                !self.let_run.contains(&request),
                "{request} ran and was told it did not"
            );
        }
        let passed_on_from = attempt.passed_on_from.clone();
        if let Some(origin) = passed_on_from {
            self.told.entry(origin).or_insert_with(|| told.clone());
        }
        let before = self.told.insert(request.clone(), told);
        assert!(before.is_none(), "{request} was told its end twice");
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
            is_cut: false,
            domain: 0,
            clock_error_s: 0,
        }
    }
}
