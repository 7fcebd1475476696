//! Nodes missing from the store after it was restored from an older copy, which usually register
//! again soon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;

use super::control_state::ControlState;

/// How long nodes have to register again: three lease renewals.
const RETURN_TIME: Duration = Duration::from_millis(3_600);

/// Nodes that are kept although the store does not list them.
#[derive(Debug, Default)]
pub(crate) struct ReturningNodes {
    /// When the store was last restored from an older copy.
    restored: Cell<Option<Instant>>,
    missing: RefCell<HashMap<NodeId, Instant>>,
}

impl ReturningNodes {
    /// Records that the store was restored from an older copy.
    pub(crate) fn record_restored(&self) {
        self.restored.set(Some(Instant::now()));
    }

    /// Records that a node is no longer listed. Returns whether it is kept for now.
    pub(crate) fn record_missing(&self, node: &NodeId) -> bool {
        let restored = self.restored.get();
        let is_kept = restored.is_some_and(|restored| restored.elapsed() < RETURN_TIME);
        if is_kept {
            let mut missing = self.missing.borrow_mut();
            missing.entry(node.clone()).or_insert_with(Instant::now);
        }
        is_kept
    }

    /// Records that a node is listed.
    pub(crate) fn record_listed(&self, node: &NodeId) {
        self.missing.borrow_mut().remove(node);
    }
}

impl ControlState {
    /// Drops nodes that have not registered again in time.
    pub(crate) fn drop_missing_nodes(&self) {
        let mut missing = self.returning_nodes.missing.borrow_mut();
        missing.retain(|node, since| {
            let is_gone = since.elapsed() >= RETURN_TIME;
            if is_gone {
                self.nodes.borrow_mut().remove(node);
            }
            !is_gone
        });
    }
}
