//! Nodes that the store lists no more after it came back from a copy, and that are listed anew in a moment.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;

use super::knowledge::Knowledge;

/// How long nodes may take to be listed anew: three renewals of leases.
const RETURN_TIME: Duration = Duration::from_millis(3_600);

/// Nodes that are kept though the store does not list them.
#[derive(Debug, Default)]
pub(crate) struct ReturningNodes {
    /// When the store came back from a copy.
    restored: Cell<Option<Instant>>,
    missing: RefCell<HashMap<NodeId, Instant>>,
}

impl ReturningNodes {
    /// Takes in that the store came back from a copy.
    pub(crate) fn note_restored(&self) {
        self.restored.set(Some(Instant::now()));
    }

    /// Takes in that a node is not listed any more. Returns whether it is kept.
    pub(crate) fn note_missing(&self, node: &NodeId) -> bool {
        let restored = self.restored.get();
        let is_kept = restored.is_some_and(|restored| restored.elapsed() < RETURN_TIME);
        if is_kept {
            let mut missing = self.missing.borrow_mut();
            missing.entry(node.clone()).or_insert_with(Instant::now);
        }
        is_kept
    }

    /// Takes in that a node is listed.
    pub(crate) fn note_listed(&self, node: &NodeId) {
        self.missing.borrow_mut().remove(node);
    }
}

impl Knowledge {
    /// Drops nodes that were not listed anew in time.
    pub(crate) fn forget_missing_nodes(&self) {
        let mut missing = self.returning.missing.borrow_mut();
        missing.retain(|node, since| {
            let is_gone = since.elapsed() >= RETURN_TIME;
            if is_gone {
                self.nodes.borrow_mut().remove(node);
            }
            !is_gone
        });
    }
}
