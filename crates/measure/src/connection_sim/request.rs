//! A request of a caller.

use super::costs::{PLAIN_PATIENCE_US, STREAM_PATIENCE_US};

/// What a caller has got of its first try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TryState {
    /// The node has not read it.
    Unread,
    /// The node is at work on it.
    Read,
    /// Refused or closed without being read; the caller asks another node.
    UnreadElsewhere,
    /// The caller gave up, and no node has read it.
    UnreadLost,
    Served,
    /// It was read, and refused, or not answered in time.
    NotServed,
}

/// A request, and the events of its answer if it is a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub sent_us: u64,
    pub is_stream: bool,
    pub state: TryState,
    /// Which of the nodes that got most new connections it was sent to, if any.
    pub node: Option<usize>,
    /// Events that its upstream has yet to send.
    pub events_left: u32,
    /// Events that the node has yet to pass on.
    pub pending: u32,
    /// When the caller last got something.
    pub progress_us: u64,
}

impl Request {
    /// How long the caller waits for the next part of its answer.
    pub(super) fn patience_us(&self) -> u64 {
        match self.is_stream {
            true => STREAM_PATIENCE_US,
            false => PLAIN_PATIENCE_US,
        }
    }

    /// Whether the caller has given up by `now_us`.
    pub(super) fn is_given_up(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.progress_us) > self.patience_us()
    }

    /// Records that the node closed its connection without reading it, or that it did not open.
    pub(super) fn turn_away(&mut self, now_us: u64) {
        self.state = match self.is_given_up(now_us)
            || (!self.is_stream && now_us >= self.sent_us + PLAIN_PATIENCE_US)
        {
            true => TryState::UnreadLost,
            false => TryState::UnreadElsewhere,
        };
    }
}
