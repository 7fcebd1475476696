//! Nodes that have started, and announce themselves before others read their records in the store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_relay::NodeRecord;

use super::control_state::ControlState;
use crate::clock::boot_time;

/// How often a node announces itself, as single datagrams are lost.
const ANNOUNCEMENTS: u8 = 3;

/// By how much a read of the store has to be later than an announcement to show the record.
const MAX_RECORD_DELAY: Duration = Duration::from_secs(1);

/// This node's announcement, and those of others.
#[derive(Debug, Default)]
pub(crate) struct JoinedNodes {
    announcements_left: Cell<u8>,
    /// Records that the store may not have shown yet, and when they were first announced.
    announced: RefCell<HashMap<NodeId, (NodeRecord, Duration)>>,
    /// Whether records were announced that are not published yet.
    has_news: Cell<bool>,
}

impl JoinedNodes {
    /// Called when this node has written its record to the store.
    pub(super) fn record_registered(&self) {
        self.announcements_left.set(ANNOUNCEMENTS);
    }

    /// Whether this node announces itself now. If so, that counts as done.
    pub(super) fn take_due(&self) -> bool {
        let left = self.announcements_left.get();
        self.announcements_left.set(left.saturating_sub(1));
        left > 0
    }
}

impl ControlState {
    /// Records another node's announcement.
    pub(super) fn record_joined(&self, record: NodeRecord) {
        let mut announced = self.joined.announced.borrow_mut();
        let known = announced.get(&record.node).map(|(known, _)| known);
        if known == Some(&record) || self.nodes.borrow().get(&record.node) == Some(&record) {
            return;
        }
        announced.insert(record.node.clone(), (record, boot_time()));
        self.joined.has_news.set(true);
    }

    /// Publishes the nodes that have announced themselves since the last call.
    ///
    /// A view costs the traffic threads time for each upstream, and all nodes may start at once.
    pub(super) fn publish_joined(&self) {
        if self.joined.has_news.take() {
            self.publish();
        }
    }

    /// All nodes that the store shows, and those that have announced themselves.
    pub(super) fn nodes_with_joined(&self) -> Vec<NodeRecord> {
        let read_at = self.shared.data_asked();
        let nodes = self.nodes.borrow();
        let mut announced = self.joined.announced.borrow_mut();
        announced.retain(|node, (record, at)| {
            nodes.get(node) != Some(record) && read_at < *at + MAX_RECORD_DELAY
        });
        let listed = nodes.values();
        let listed = listed.filter(|record| !announced.contains_key(&record.node));
        let announced = announced.values().map(|(record, _)| record);
        listed.chain(announced).cloned().collect()
    }
}
