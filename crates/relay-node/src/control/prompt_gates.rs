//! Paces the prompts of the engines that this node is responsible for.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{EnginePace, PromptAnswer, PromptGate};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use crate::traffic_message::{PromptId, PromptMessage};

/// Shortest time between two notices to one node that the gate is active. The node asks for 10 s
/// after each.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(4);

/// Prompt tokens per ms that an engine prefills, as long as nothing is known of the fleet.
const INITIAL_TOKENS_PER_MS: f64 = 20.0;

/// The shortest time between two looks at what is due: the resolution of timers.
const MIN_GRANT_INTERVAL: Duration = Duration::from_millis(1);

type PromptKey = (SocketAddr, PromptId);

#[derive(Debug)]
struct EngineGate {
    gate: PromptGate<PromptKey>,
    /// Whether it was active at the last check.
    was_active: bool,
    /// When each node was last notified that the gate is active.
    notified_at: HashMap<SocketAddr, Instant>,
}

impl EngineGate {
    /// Whether the gate is active and `node` has to be notified.
    fn must_notify(&mut self, node: SocketAddr, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ANNOUNCEMENT_INTERVAL;
        if !self.gate.is_active(now) || self.notified_at.get(&node).is_some_and(is_recent) {
            return false;
        }
        self.notified_at.retain(|_, at| is_recent(at));
        self.notified_at.insert(node, now);
        true
    }
}

/// The gates of the engines whose prompts this node paces.
#[derive(Debug, Default)]
pub(crate) struct PromptGates {
    gates: RefCell<HashMap<UpstreamId, EngineGate>>,
    /// When the next grant is due.
    next_due: Cell<Option<Instant>>,
}

impl PromptGates {
    /// When [`ControlState::grant_due_prompts`] has something to decide.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.next_due.get()
    }

    /// The paces that were learned from first events, in prompt tokens per millisecond.
    pub(super) fn learned_paces(&self) -> Vec<(UpstreamId, f64)> {
        let gates = self.gates.borrow();
        let learned = gates
            .iter()
            .filter(|(_, entry)| entry.gate.pace().updated_at().is_some());
        learned
            .map(|(engine, entry)| (engine.clone(), entry.gate.tokens_per_ms()))
            .collect()
    }

    fn update_next_due(&self, now: Instant) {
        let gates = self.gates.borrow();
        let due = gates.values().filter_map(|entry| entry.gate.next_due(now));
        let earliest = now + MIN_GRANT_INTERVAL;
        self.next_due.set(due.min().map(|due| due.max(earliest)));
    }
}

impl ControlState {
    /// Handles a message about prompts; answers are passed to `send`.
    pub(crate) fn handle_prompt_message(
        &self,
        message: &PromptMessage,
        sender: SocketAddr,
        send: impl Fn(PromptMessage, SocketAddr),
    ) {
        let now = Instant::now();
        let upstream = match message {
            PromptMessage::Sent { upstream, .. } | PromptMessage::Ask { upstream, .. } => {
                self.open_prompt_gate(upstream, now);
                upstream.clone()
            }
            PromptMessage::FirstEvent { upstream, .. }
            | PromptMessage::Pause { upstream, .. }
            | PromptMessage::End { upstream, .. } => upstream.clone(),
            // These go to the sockets of traffic threads.
            PromptMessage::Paced { .. } | PromptMessage::Answer { .. } => return,
        };
        let mut gates = self.prompt_gates.gates.borrow_mut();
        let Some(entry) = gates.get_mut(&upstream) else {
            return;
        };
        let gate = &mut entry.gate;
        let mut decided = Vec::new();
        match message {
            PromptMessage::Sent { id, ask, .. } => {
                gate.note_sent((sender, *id), *ask, now);
            }
            PromptMessage::Ask { id, ask, .. } => {
                let answer = gate.ask((sender, *id), *ask, now);
                decided.push(((sender, *id), answer));
            }
            PromptMessage::FirstEvent { id, took_ms, .. } => {
                gate.first_event(&(sender, *id), millis(*took_ms), now);
                decided = gate.grant_due(now);
            }
            PromptMessage::Pause { id, pause_ms, .. } => {
                gate.record_pause(&(sender, *id), millis(*pause_ms), now);
            }
            PromptMessage::End { id, spacing_ms, .. } => {
                if let Some(spacing_ms) = spacing_ms {
                    gate.record_spacing(millis(*spacing_ms), now);
                }
                decided = gate.end(&(sender, *id), None, now);
            }
            PromptMessage::Paced { .. } | PromptMessage::Answer { .. } => {}
        }
        send_answers(&upstream, gate, decided, now, &send);
        let is_asker = matches!(
            message,
            PromptMessage::Sent { .. } | PromptMessage::Ask { .. }
        );
        if is_asker && entry.must_notify(sender, now) {
            let upstream = upstream.clone();
            send(PromptMessage::Paced { upstream }, sender);
        }
        self.log_activity(&upstream, entry, now);
        drop(gates);
        self.prompt_gates.update_next_due(now);
    }

    /// Grants the prompts that are due; the answers are passed to `send`.
    pub(crate) fn grant_due_prompts(&self, send: impl Fn(PromptMessage, SocketAddr)) {
        let now = Instant::now();
        let mut gates = self.prompt_gates.gates.borrow_mut();
        for (upstream, entry) in gates.iter_mut() {
            if entry.gate.next_due(now).is_some_and(|due| due <= now) {
                let decided = entry.gate.grant_due(now);
                send_answers(upstream, &entry.gate, decided, now, &send);
            }
        }
        drop(gates);
        self.prompt_gates.update_next_due(now);
    }

    /// Drops the gates of engines that are no longer listed, and counts the active ones.
    pub(crate) fn review_prompt_gates(&self) {
        let now = Instant::now();
        let mut gates = self.prompt_gates.gates.borrow_mut();
        if gates.is_empty() {
            return;
        }
        gates.retain(|upstream, _| self.upstreams.borrow().contains_key(upstream));
        for (upstream, entry) in gates.iter_mut() {
            self.log_activity(upstream, entry, now);
        }
        let active = gates.values().filter(|entry| entry.was_active);
        self.shared.metrics.prompts.active_gates(active.count());
    }

    /// Creates the gate of a listed engine if there is none.
    fn open_prompt_gate(&self, upstream: &UpstreamId, now: Instant) {
        let mut gates = self.prompt_gates.gates.borrow_mut();
        if gates.contains_key(upstream) || self.upstream(upstream).is_none() {
            return;
        }
        let fleet = self.shared.paced.fleet_pace();
        let pace = EnginePace::new(fleet.unwrap_or(INITIAL_TOKENS_PER_MS));
        let entry = EngineGate {
            gate: PromptGate::new(pace, now),
            was_active: false,
            notified_at: HashMap::new(),
        };
        gates.insert(upstream.clone(), entry);
    }

    /// Logs when the gate becomes active or inactive.
    fn log_activity(&self, upstream: &UpstreamId, entry: &mut EngineGate, now: Instant) {
        let is_active = entry.gate.is_active(now);
        if std::mem::replace(&mut entry.was_active, is_active) == is_active {
            return;
        }
        let counts = entry.gate.pause_counts(now);
        let event = match is_active {
            true => Event::PacingBegun,
            false => Event::PacingEnded,
        };
        log_event!(
            self.log, event,
            "upstream" => upstream.to_string(), "pauses" => counts.paused,
            "streams" => counts.streams, "pace" => entry.gate.tokens_per_ms()
        );
    }
}

fn send_answers(
    upstream: &UpstreamId,
    gate: &PromptGate<PromptKey>,
    decided: Vec<(PromptKey, PromptAnswer)>,
    now: Instant,
    send: &impl Fn(PromptMessage, SocketAddr),
) {
    let pace = (gate.tokens_per_ms() * 1e3) as u32;
    let updated_at = gate.pace().updated_at();
    let age = updated_at.map(|at| now.saturating_duration_since(at));
    let pace_age_ms = age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
    for ((node, id), answer) in decided {
        let answer = PromptMessage::Answer {
            id,
            upstream: upstream.clone(),
            answer,
            pace,
            pace_age_ms,
        };
        send(answer, node);
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
