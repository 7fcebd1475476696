//! The state of one request.

use std::time::Instant;

use smallvec::SmallVec;

use crate::Arrival;
use crate::class_queue::QueuePosition;

/// Whether a request is waiting or dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the queue of its class.
    Waiting(QueuePosition),
    /// Sent to an upstream.
    Dispatched {
        upstream: usize,
        since: Instant,
        has_first_byte: bool,
        is_cancelled: bool,
    },
}

/// The state of one request from arrival to end.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) arrival: Arrival,
    pub(crate) service: usize,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// Upstreams that failed or refused the request; it is not sent to them again.
    pub(crate) tried: SmallVec<[u32; 4]>,
    pub(crate) may_have_run: bool,
    pub(crate) was_cancelled: bool,
    pub(crate) arrived: Instant,
    /// Its position in the queue; a retry waits at the same position.
    pub(crate) position: QueuePosition,
}

impl RequestState {
    pub(crate) fn has_tried(&self, upstream: usize) -> bool {
        self.tried.contains(&(upstream as u32))
    }
}
