//! What a sender asks the gate of an engine, and what the gate answers.

use serde::{Deserialize, Serialize};

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
