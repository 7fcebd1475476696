//! One request from its arrival to its end.

use std::time::Instant;

use smallvec::SmallVec;

use crate::Arrival;
use crate::class_queue::QueuePlace;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In its class's queue.
    Waiting(QueuePlace),
    /// At one upstream.
    Dispatched {
        upstream: usize,
        since: Instant,
        has_first_byte: bool,
        is_cancelled: bool,
    },
}

/// One request from its arrival to its end.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) arrival: Arrival,
    pub(crate) service: usize,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    /// Upstreams that failed or refused it; none of them gets it again.
    pub(crate) tried: SmallVec<[u32; 4]>,
    pub(crate) may_have_run: bool,
    pub(crate) was_cancelled: bool,
    pub(crate) arrived: Instant,
    /// Its place in the queue whenever it waits.
    pub(crate) place: QueuePlace,
}

impl RequestState {
    pub(crate) fn has_tried(&self, upstream: usize) -> bool {
        self.tried.contains(&(upstream as u32))
    }
}
