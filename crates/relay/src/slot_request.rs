//! Requests for the slots of an upstream, and the decisions on them.

use serde::{Deserialize, Serialize};

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// How much longer an answer is in time, in milliseconds; 0 for a request that is already late.
    pub due_in_ms: u32,
    /// How long the caller waits, in milliseconds.
    pub wait_limit_ms: u32,
    /// Whether to queue the request if no slot is free.
    pub may_queue: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// The decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The request may be sent.
    Granted,
    /// The request was queued; another answer follows.
    Queued,
    /// No slot is free, and the request was not to be queued. In the queue it would wait about this
    /// long.
    Busy {
        /// Expected wait in milliseconds.
        wait_ms: u32,
    },
    /// The request cannot be served. A caller that returns after this time can expect a free slot.
    Refused {
        /// Time until then in milliseconds.
        wait_ms: u32,
    },
}

/// How a request at a brittle upstream ended, other than with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// The upstream refused it for want of room.
    Refused,
    /// Nobody waits for it any more, but the upstream may still run it.
    Abandoned,
}
