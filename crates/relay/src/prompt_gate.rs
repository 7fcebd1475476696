//! Pacing of the prompts that are sent to one engine.

use std::hash::Hash;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::EnginePace;

/// A request to send a prompt to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptAsk {
    /// Tokens of the prompt that the engine has to prefill.
    pub tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The route's longest pause between two events, in milliseconds; 0 for none.
    pub longest_pause_ms: u32,
    /// Time left in which a first event is on time, in milliseconds; 0 if it is already late.
    pub due_in_ms: u32,
    /// How long the caller waits, in milliseconds.
    pub wait_limit_ms: u32,
    /// Whether to queue the request if its answer would be late at this engine.
    pub may_queue: bool,
}

/// The decision on a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptAnswer {
    /// The prompt may be sent.
    Granted,
    /// The request was queued; another answer follows.
    Queued,
    /// The answer would be late at this engine, and the request was not to be queued.
    Busy {
        /// Expected wait in milliseconds.
        wait_ms: u32,
    },
    /// The request cannot start within its caller's wait limit.
    Refused {
        /// Time in milliseconds after which there is room.
        wait_ms: u32,
    },
}

/// Streams of the period that decides whether a gate is active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PauseCounts {
    /// Streams that were sent.
    pub streams: u32,
    /// Streams that had a pause over their limit.
    pub paused: u32,
}

/// The gate of one engine process. `K` identifies a request.
#[derive(Clone, Debug)]
pub struct PromptGate<K> {
    pace: EnginePace,
    keys: PhantomData<K>,
}

impl<K: Copy + Eq + Hash> PromptGate<K> {
    /// Creates the gate of an engine process of which only an estimate of its pace is known.
    pub fn new(pace: EnginePace, now: Instant) -> Self {
        let _ = now;
        let keys = PhantomData;
        Self { pace, keys }
    }

    /// Records a request that was sent without asking. Returns whether the gate is active; the
    /// sender then asks from then on.
    pub fn note_sent(&mut self, key: K, ask: PromptAsk, now: Instant) -> bool {
        let _ = (key, ask);
        self.is_active(now)
    }

    /// Grants the request, queues it or turns it away.
    pub fn ask(&mut self, key: K, ask: PromptAsk, now: Instant) -> PromptAnswer {
        let _ = (key, ask, now);
        PromptAnswer::Granted
    }

    /// Records that the first event of a request came after `took`, so that its prompt is
    /// prefilled. Room made by it is granted by [`Self::grant_due`].
    pub fn first_event(&mut self, key: &K, took: Duration, now: Instant) {
        let _ = (key, took, now);
    }

    /// Records that a request ended or no longer waits, with the longest pause between two of its
    /// events if it is known. Returns the decisions on queued requests.
    pub fn end(
        &mut self,
        key: &K,
        longest_pause: Option<Duration>,
        now: Instant,
    ) -> Vec<(K, PromptAnswer)> {
        let _ = (key, longest_pause);
        self.grant_due(now)
    }

    /// Records a pause over the route's limit.
    pub fn record_pause(&mut self, key: &K, pause: Duration, now: Instant) {
        let _ = (key, pause, now);
    }

    /// Records the usual time between two events of a stream.
    pub fn record_spacing(&mut self, spacing: Duration) {
        let _ = spacing;
    }

    /// Grants queued requests while there is room, refuses those whose callers have stopped
    /// waiting, and returns the decisions made.
    pub fn grant_due(&mut self, now: Instant) -> Vec<(K, PromptAnswer)> {
        let _ = now;
        Vec::new()
    }

    /// When [`Self::grant_due`] has something to decide, unless a request ends before.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let _ = now;
        None
    }

    /// Whether prompts are paced.
    pub fn is_active(&self, now: Instant) -> bool {
        let _ = now;
        false
    }

    /// Prompt tokens that the engine prefills per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.pace.tokens_per_ms()
    }

    /// The learned pace of the engine.
    pub fn pace(&self) -> &EnginePace {
        &self.pace
    }

    /// Streams and long pauses of the last period.
    pub fn pause_counts(&self, now: Instant) -> PauseCounts {
        let _ = now;
        PauseCounts::default()
    }

    /// Whether no request is held back or counts, and nothing recent would make the gate active.
    pub fn is_idle(&self, now: Instant) -> bool {
        let _ = now;
        true
    }
}
