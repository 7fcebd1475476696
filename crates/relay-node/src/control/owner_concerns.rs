//! Reports engines that are not owned as they should be.

use std::collections::HashMap;
use std::time::Instant;

use nutmegsail_relay::{ConcernChange, NodeRecord, OwnersNow, OwnershipConcern};
use nutmegsail_telemetry::{Event, log_event};

use super::claims::{owners_of, serving_engines};
use super::control_state::ControlState;

impl ControlState {
    /// Checks the owners of engines, and reports problems that have lasted for a while.
    pub(crate) fn check_owners(&self) {
        let engines = serving_engines(self);
        let engines: Vec<_> = engines.iter().map(|engine| &**engine).collect();
        let listed = self.nodes.borrow();
        // A node that cannot reach engines is not expected to own any.
        let expected = listed
            .values()
            .filter(|record| record.out_of_reach.is_empty() || record.node == self.settings.node);
        let nodes: Vec<NodeRecord> = expected.cloned().collect();
        drop(listed);
        let owners: HashMap<_, _> = owners_of(self, &engines);
        let seen = OwnersNow {
            node: &self.settings.node,
            nodes: &nodes,
            engines: &engines,
            owners: &owners,
        };
        let changes = self.ownership_watch.borrow_mut().look(seen, Instant::now());
        for change in changes {
            self.report_concern(&change);
        }
    }

    fn report_concern(&self, change: &ConcernChange) {
        let (concern, event, is_on) = match change {
            ConcernChange::Began(concern) => (concern, Event::OwnersUneven, true),
            ConcernChange::Ended(concern) => (concern, Event::OwnersEven, false),
        };
        self.shared.metrics.owner_concern(concern, is_on);
        let owner = match concern {
            OwnershipConcern::OwnsTooMany(owner) => Some(owner.to_string()),
            OwnershipConcern::NotListed | OwnershipConcern::OwnsNone => None,
        };
        let nodes = self.nodes.borrow().len();
        let engines = self.owners.borrow().len();
        match event {
            Event::OwnersUneven => log_event!(
                self.log, Event::OwnersUneven,
                "concern" => concern.to_string(), "owner" => owner, "nodes" => nodes,
                "owned_engines" => engines
            ),
            _ => log_event!(
                self.log, Event::OwnersEven,
                "concern" => concern.to_string(), "owner" => owner
            ),
        }
    }
}
