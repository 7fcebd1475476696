//! Explores every order of events in a small model: two nodes, one key, a store whose answers may
//! be lost and whose writes may be delayed, lost and duplicated messages, a restart, and passing
//! time.
//!
//! A paused node needs no event of its own: in some orders a node receives nothing until everything
//! else has happened.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use nutmegsail_base::{Incarnation, RequestId, RunState, StoreNumber};
use nutmegsail_idempotency::*;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(300);

/// How often each kind of event and fault may still occur on a path.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    begins: [u8; 2],
    lost_answers: u8,
    not_done: u8,
    lost_messages: u8,
    doubled_messages: u8,
    restarts: u8,
    time_steps: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Begin { node: usize },
    Restart,
    PassTime,
    Tick { node: usize },
    Pending { at: usize, fate: Fate },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Normal,
    Lost,
    Doubled,
    NotDone,
    Refused,
    Broken,
}

#[derive(Clone, Debug)]
enum Pending {
    /// An answer of the store, for one incarnation.
    Answer {
        node: usize,
        incarnation: u64,
        event: ClaimEvent,
    },
    /// A message, for any incarnation of the node.
    Message {
        node: usize,
        event: ClaimEvent,
    },
    Call {
        node: usize,
        incarnation: u64,
        action: ClaimAction,
    },
    /// A write whose answer was lost. It may take effect at any time, or never.
    LateSwap {
        action: ClaimAction,
    },
    Dispatch {
        node: usize,
        request: RequestId,
    },
}

struct Model {
    start: Instant,
    elapsed: Duration,
    key: IdempotencyKey,
    nodes: [Claims; 2],
    incarnations: [u64; 2],
    store: BTreeMap<String, (Bytes, u64)>,
    revision: u64,
    pending: Vec<Pending>,
    budget: Budget,
    requests: u32,
    allowed_runs: Vec<RequestId>,
    runs: u32,
    answered: Vec<RequestId>,
}

impl Model {
    fn new(start: Instant, budget: Budget) -> Self {
        let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001").expect("a key");
        let mut model = Self {
            start,
            elapsed: Duration::ZERO,
            key,
            nodes: [claims(0, 1), claims(1, 1)],
            incarnations: [1, 1],
            store: BTreeMap::new(),
            revision: 0,
            pending: Vec::new(),
            budget,
            requests: 0,
            allowed_runs: Vec::new(),
            runs: 0,
            answered: Vec::new(),
        };
        model.announce_live_nodes();
        model
    }

    fn announce_live_nodes(&mut self) {
        let live = |node: usize| LiveNode {
            node: node_id(node),
            incarnation: Incarnation(self.incarnations[node]),
        };
        let nodes = vec![live(0), live(1)];
        for node in 0..2 {
            self.handle_event(
                node,
                ClaimEvent::LiveNodes {
                    nodes: nodes.clone(),
                },
            );
        }
    }

    fn handle_event(&mut self, node: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_millis(self.key.issued_unix_ms());
        let now = self.start + self.elapsed;
        self.nodes[node].handle(event, now, wall + self.elapsed, &mut actions);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: ClaimAction) {
        let incarnation = self.incarnations[node];
        match action {
            ClaimAction::Run { request } => {
                assert!(
                    !self.answered.contains(&request),
                    "answered, then allowed to run"
                );
                self.allowed_runs.push(request.clone());
                self.pending.push(Pending::Dispatch { node, request });
            }
            ClaimAction::Answer { request, .. } => {
                assert!(self.runs > 0, "an answer of a call that never ran");
                self.answered.push(request);
            }
            ClaimAction::Refuse {
                request, run_state, ..
            } => {
                let is_wrongly_denied =
                    run_state == RunState::NotRun && self.allowed_runs.contains(&request);
                assert!(!is_wrongly_denied, "allowed to run, but refused as not run");
                self.answered.push(request);
            }
            ClaimAction::AskWriter { to, token, entries } => {
                let event = ClaimEvent::WriterAsked {
                    from: node_id(node),
                    token,
                    entries,
                };
                self.pending.push(Pending::Message {
                    node: index(&to),
                    event,
                });
            }
            ClaimAction::AnswerAsked { to, token, results } => {
                let event = ClaimEvent::WriterAnswered { token, results };
                self.pending.push(Pending::Message {
                    node: index(&to),
                    event,
                });
            }
            action => self.pending.push(Pending::Call {
                node,
                incarnation,
                action,
            }),
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        for node in 0..2 {
            if self.budget.begins[node] > 0 {
                choices.push(Choice::Begin { node });
            }
            let now = self.start + self.elapsed;
            if self.nodes[node].next_wake().is_some_and(|at| at <= now) {
                choices.push(Choice::Tick { node });
            }
        }
        if self.budget.restarts > 0 {
            choices.push(Choice::Restart);
        }
        if self.budget.time_steps > 0 {
            choices.push(Choice::PassTime);
        }
        for (at, pending) in self.pending.iter().enumerate() {
            let fates = self.fates(pending).into_iter();
            choices.extend(fates.map(|fate| Choice::Pending { at, fate }));
        }
        choices
    }

    fn fates(&self, pending: &Pending) -> Vec<Fate> {
        let mut fates = vec![Fate::Normal];
        let mut add = |fate, is_possible: bool| fates.extend(is_possible.then_some(fate));
        match pending {
            Pending::Answer { .. } | Pending::LateSwap { .. } => {}
            Pending::Message { .. } => {
                add(Fate::Lost, self.budget.lost_messages > 0);
                add(Fate::Doubled, self.budget.doubled_messages > 0);
            }
            Pending::Call { action, .. } => {
                let is_swap = matches!(action, ClaimAction::Swap { .. });
                add(Fate::Lost, is_swap && self.budget.lost_answers > 0);
                add(Fate::NotDone, is_swap && self.budget.not_done > 0);
            }
            Pending::Dispatch { .. } => {
                add(Fate::Refused, true);
                add(Fate::Broken, true);
            }
        }
        fates
    }

    fn apply(&mut self, choice: Choice) {
        match choice {
            Choice::Begin { node } => {
                self.budget.begins[node] -= 1;
                self.requests += 1;
                let request = RequestId::from(format!("r{}", self.requests));
                let key = self.key.clone();
                let digest = RequestDigest::of("POST", "/bookings", &"spa-desk".into(), b"");
                self.handle_event(
                    node,
                    ClaimEvent::Begin {
                        request,
                        key,
                        digest,
                    },
                );
            }
            Choice::Restart => {
                self.budget.restarts -= 1;
                self.incarnations[0] += 1;
                self.nodes[0] = claims(0, self.incarnations[0]);
                self.pending.retain(|pending| match pending {
                    Pending::Answer { node, .. } | Pending::Dispatch { node, .. } => *node != 0,
                    _ => true,
                });
                self.announce_live_nodes();
            }
            Choice::PassTime => {
                self.budget.time_steps -= 1;
                self.elapsed += STEP;
            }
            Choice::Tick { node } => self.handle_event(node, ClaimEvent::Tick),
            Choice::Pending { at, fate } => {
                let pending = self.pending.remove(at);
                self.process(pending, fate);
            }
        }
        self.drop_failed_writes();
    }

    /// Drops delayed writes whose condition fails. Revisions only increase, so it can never hold
    /// again.
    fn drop_failed_writes(&mut self) {
        let store = &self.store;
        self.pending.retain(|pending| match pending {
            Pending::LateSwap {
                action:
                    ClaimAction::Swap {
                        key,
                        expected_revision,
                        ..
                    },
            } => {
                let revision = store.get(&**key).map_or(0, |(_, revision)| *revision);
                StoreNumber::without_era(revision) == *expected_revision
            }
            _ => true,
        });
    }

    fn process(&mut self, pending: Pending, fate: Fate) {
        match pending {
            Pending::Answer {
                node,
                incarnation,
                event,
            } => {
                if self.incarnations[node] == incarnation {
                    self.handle_event(node, event);
                }
            }
            Pending::Message { node, event } => self.deliver(node, event, fate),
            Pending::Call {
                node,
                incarnation,
                action,
            } => {
                self.call_store(node, incarnation, action, fate);
            }
            Pending::LateSwap { action } => {
                self.execute(&action);
            }
            Pending::Dispatch { node, request, .. } => self.dispatch(node, request, fate),
        }
    }

    fn deliver(&mut self, node: usize, event: ClaimEvent, fate: Fate) {
        match fate {
            Fate::Lost => self.budget.lost_messages -= 1,
            Fate::Doubled => {
                self.budget.doubled_messages -= 1;
                let copy = event.clone();
                self.pending.push(Pending::Message { node, event: copy });
                self.handle_event(node, event);
            }
            _ => self.handle_event(node, event),
        }
    }

    fn dispatch(&mut self, node: usize, request: RequestId, fate: Fate) {
        self.handle_event(
            node,
            ClaimEvent::Dispatched {
                request: request.clone(),
            },
        );
        let outcome = match fate {
            Fate::Refused => ClaimOutcome::NotRun,
            Fate::Broken => ClaimOutcome::Unknown,
            _ => ClaimOutcome::Answered(RecordedAnswer::new(201, "booked")),
        };
        self.runs += u32::from(fate != Fate::Refused);
        assert!(self.runs <= 1, "the call ran twice");
        self.handle_event(node, ClaimEvent::Finished { request, outcome });
    }

    fn call_store(&mut self, node: usize, incarnation: u64, action: ClaimAction, fate: Fate) {
        let event = match (fate, &action) {
            (Fate::Lost, ClaimAction::Swap { token, .. }) => {
                self.budget.lost_answers -= 1;
                let token = *token;
                self.pending.push(Pending::LateSwap { action });
                ClaimEvent::SwapDone {
                    token,
                    result: Err(SwapFault::Ambiguous),
                }
            }
            (Fate::NotDone, ClaimAction::Swap { token, .. }) => {
                self.budget.not_done -= 1;
                ClaimEvent::SwapDone {
                    token: *token,
                    result: Err(SwapFault::NotDone),
                }
            }
            _ => self.execute(&action),
        };
        if self.incarnations[node] == incarnation {
            self.pending.push(Pending::Answer {
                node,
                incarnation,
                event,
            });
        }
    }

    fn execute(&mut self, action: &ClaimAction) -> ClaimEvent {
        match action {
            ClaimAction::Read { token, key } => {
                let result = Ok(self.stored(key));
                ClaimEvent::ReadDone {
                    token: *token,
                    result,
                }
            }
            ClaimAction::Swap {
                token,
                key,
                expected_revision,
                value,
            } => {
                let current = self.stored(key);
                let revision = current.as_ref().map(|stored| stored.revision);
                let revision = revision.unwrap_or_default();
                let result = if revision == *expected_revision {
                    self.revision += 1;
                    self.store
                        .insert(key.to_string(), (value.clone(), self.revision));
                    Ok(StoreNumber::without_era(self.revision))
                } else {
                    Err(SwapFault::Conflict { current })
                };
                ClaimEvent::SwapDone {
                    token: *token,
                    result,
                }
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

    /// A hash of everything that later events depend on.
    fn fingerprint(&self) -> u128 {
        let text = format!(
            "{:?}{:?}{:?}{:?}{:?}{:?}{:?}{}",
            self.elapsed,
            self.nodes,
            self.incarnations,
            self.store,
            self.pending,
            self.budget,
            self.allowed_runs,
            self.runs,
        );
        xxhash_rust::xxh3::xxh3_128(text.as_bytes())
    }
}

fn node_id(node: usize) -> nutmegsail_base::NodeId {
    format!("node-{node}").into()
}

fn index(node: &nutmegsail_base::NodeId) -> usize {
    usize::from(node.as_str() == "node-1")
}

fn claims(node: usize, incarnation: u64) -> Claims {
    let settings = ClaimSettings {
        commit_interval: Duration::ZERO,
        outcome_delay: Duration::ZERO,
        store_backoff: Duration::ZERO,
        writer_timeout: STEP,
        outcome_timeout: STEP,
        claim_timeout: STEP * 2,
        collect_interval: Duration::from_secs(3600),
        ..ClaimSettings::default()
    };
    Claims::new(settings, node_id(node), Incarnation(incarnation))
}

/// Explores every path and returns the number of states and of those in which the call has run.
/// Each state is reached by replaying its choices, since `Claims` cannot be cloned: that would
/// duplicate rights to dispatch.
fn explore(budget: Budget) -> (usize, usize) {
    let start = Instant::now();
    let mut seen = HashSet::new();
    let mut ran = 0;
    let mut paths: VecDeque<Vec<Choice>> = VecDeque::from([Vec::new()]);
    while let Some(path) = paths.pop_back() {
        let mut model = Model::new(start, budget);
        for choice in &path {
            model.apply(*choice);
        }
        if !seen.insert(model.fingerprint()) {
            continue;
        }
        ran += usize::from(model.runs == 1);
        for choice in model.choices() {
            let mut longer = path.clone();
            longer.push(choice);
            paths.push_back(longer);
        }
    }
    (seen.len(), ran)
}

#[rstest]
#[case::two_callers([1, 1], Budget::default())]
#[case::lost_answer([1, 1], Budget { lost_answers: 1, ..Budget::default() })]
#[case::lost_answers([1, 0], Budget { lost_answers: 2, ..Budget::default() })]
#[case::lost_answer_and_time([1, 0], Budget { lost_answers: 1, time_steps: 1, ..Budget::default() })]
#[case::failed_write([1, 1], Budget { not_done: 1, ..Budget::default() })]
#[case::lost_message([1, 0], Budget { lost_messages: 1, time_steps: 1, ..Budget::default() })]
#[case::lost_message_of_the_other([0, 1], Budget { lost_messages: 1, time_steps: 1, ..Budget::default() })]
#[case::doubled_message([1, 1], Budget { doubled_messages: 1, ..Budget::default() })]
#[case::restart([1, 1], Budget { restarts: 1, ..Budget::default() })]
#[case::restart_and_lost_answer([2, 0], Budget { restarts: 1, lost_answers: 1, ..Budget::default() })]
fn no_order_of_events_runs_the_call_twice(#[case] begins: [u8; 2], #[case] faults: Budget) {
    let budget = Budget { begins, ..faults };
    let (states, ran) = explore(budget);
    println!("{budget:?}: {states} states, in {ran} of them the call has run");
    assert!(ran > 0);
}

/// Larger models. They take half a minute in a release build, so they are left to long runs.
#[rstest]
#[case::lost_answer_and_more_time([1, 0], Budget { lost_answers: 1, time_steps: 2, ..Budget::default() })]
#[case::lost_message([1, 1], Budget { lost_messages: 1, time_steps: 1, ..Budget::default() })]
#[case::restart_and_time([1, 1], Budget { restarts: 1, time_steps: 1, ..Budget::default() })]
#[ignore = "for long runs: cargo test --release -- --ignored"]
fn no_order_of_events_in_larger_models_runs_the_call_twice(
    #[case] begins: [u8; 2],
    #[case] faults: Budget,
) {
    no_order_of_events_runs_the_call_twice(begins, faults);
}
