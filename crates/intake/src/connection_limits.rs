//! How many connections may be open.

use crate::ListenerKind;

/// The fraction of the descriptors that is left to files and to what the runtime opens.
const FILES_DIVISOR: usize = 12;

/// The most connections to pages. Those that wait for their clients give way to new ones.
const MAX_PAGES: usize = 32;

/// How many connections each listener may have open.
///
/// What they leave of the process's descriptors is for files and for connections to upstreams, the
/// store and other nodes.
///
/// ```
/// use nutmegsail_intake::{ConnectionLimits, ListenerKind};
/// let limits = ConnectionLimits::within(4_096);
/// assert_eq!(limits.of(ListenerKind::Callers), 2_106);
/// let all: usize = ListenerKind::ALL.iter().map(|listener| limits.of(*listener)).sum();
/// assert!(all < 4_096 * 3 / 4);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    callers: usize,
    nodes: usize,
    pages: usize,
}

impl ConnectionLimits {
    /// The limits of a process that may open `descriptors`.
    pub fn within(descriptors: usize) -> Self {
        let sockets = descriptors - descriptors / FILES_DIVISOR;
        Self {
            callers: (sockets / 16 * 9).max(1),
            nodes: (sockets / 8).max(1),
            pages: (sockets / 16).clamp(1, MAX_PAGES),
        }
    }

    /// How many connections `listener` may have open.
    pub fn of(&self, listener: ListenerKind) -> usize {
        match listener {
            ListenerKind::Callers => self.callers,
            ListenerKind::Nodes => self.nodes,
            ListenerKind::Pages => self.pages,
        }
    }
}
