//! When announcements of upstreams are sent on to other nodes.

use std::time::{Duration, Instant};

/// How often all announcements are sent to a few random nodes, for nodes that started or were
/// reachable only later.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// In how many intervals a new announcement is sent, each time to other random nodes, so that it
/// reaches all nodes of a large fleet within a second.
const NEW_SENDS: u8 = 4;

/// Which announcements this node has applied and sent.
#[derive(Debug, Default)]
pub(super) struct GossipSchedule {
    /// The number of changes that were applied.
    applied: u64,
    sends_left: u8,
    sent_at: Option<Instant>,
}

impl GossipSchedule {
    /// Whether there are changes that were not applied, by the number of all changes so far. They
    /// count as applied from now on.
    pub(super) fn take_changes(&mut self, changes: u64) -> bool {
        let has_changed = std::mem::replace(&mut self.applied, changes) != changes;
        if has_changed {
            self.sends_left = NEW_SENDS;
        }
        has_changed
    }

    /// Whether announcements are to be sent now. If so, they count as sent.
    pub(super) fn take_due(&mut self, now: Instant) -> bool {
        let is_resend_due = |at| now.duration_since(at) >= RESEND_INTERVAL;
        let is_due = self.sends_left > 0 || self.sent_at.is_none_or(is_resend_due);
        if is_due {
            self.sends_left = self.sends_left.saturating_sub(1);
            self.sent_at = Some(now);
        }
        is_due
    }
}
