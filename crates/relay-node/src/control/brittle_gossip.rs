//! Services whose upstreams have announced that they are brittle: to which nodes this node sends
//! that on.

use std::net::SocketAddr;
use std::time::Instant;

use nutmegsail_relay::BrittleUpdate;
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use super::gossip_schedule::GossipSchedule;
use super::suspect_gossip::random_nodes;

/// Which announcements this node has applied and sent.
#[derive(Debug, Default)]
pub(crate) struct BrittleGossip(GossipSchedule);

impl BrittleGossip {
    /// Applies changes, and returns the messages to send now with their addresses.
    pub(super) fn next_messages(
        &mut self,
        control: &ControlState,
    ) -> Vec<(Vec<BrittleUpdate>, SocketAddr)> {
        let now = Instant::now();
        for service in control.shared.brittle().take_ended(now) {
            log_event!(control.log, Event::BrittleEnded, "service" => service.to_string());
        }
        let brittle = control.shared.brittle();
        let (changes, updates) = (brittle.change_count(), brittle.updates(now));
        drop(brittle);
        if self.0.take_changes(changes) {
            // Which upstreams have a slot issuer depends on it.
            control.publish();
        }
        if updates.is_empty() || !self.0.take_due(now) {
            return Vec::new();
        }
        let to = random_nodes(control).into_iter();
        to.map(|to| (updates.clone(), to)).collect()
    }
}

/// All announcements that this node knows, for a node that has started.
pub(super) fn all_announcements(control: &ControlState) -> Vec<BrittleUpdate> {
    control.shared.brittle().updates(Instant::now())
}

impl ControlState {
    /// Applies announcements that another node sent.
    pub(crate) fn apply_brittle(&self, updates: &[BrittleUpdate]) {
        let (mut brittle, now) = (self.shared.brittle(), Instant::now());
        let (known, unknown): (Vec<_>, Vec<_>) = updates
            .iter()
            .partition(|update| self.service(&update.service).is_some());
        for update in known {
            brittle.take(update, now);
        }
        // Right after a start, the configuration may be missing.
        if unknown.is_empty() {
            brittle.record_informed();
        }
    }
}
