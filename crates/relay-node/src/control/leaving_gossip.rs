//! Upstreams that announce that they are leaving: how this node applies that, and to which nodes it
//! sends it on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{RequestedBackoff, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use super::gossip_schedule::GossipSchedule;
use super::suspect_gossip::random_nodes;
use crate::UpstreamNotice;

/// Upstreams per datagram, at some 30 bytes each.
const UPSTREAMS_PER_DATAGRAM: usize = 30;

/// Which announcements this node has applied and sent.
#[derive(Debug, Default)]
pub(crate) struct LeavingGossip(GossipSchedule);

impl LeavingGossip {
    /// Applies new announcements, and returns the messages to send now with their addresses.
    pub(super) fn next_messages(
        &mut self,
        control: &ControlState,
    ) -> Vec<(Vec<UpstreamId>, SocketAddr)> {
        let leavings = control.shared.notices().leaving_count();
        if self.0.take_changes(leavings) {
            control.mark_leaving();
        }
        if !self.0.take_due(Instant::now()) {
            return Vec::new();
        }
        let leaving = control.listed_leaving();
        let to = random_nodes(control);
        let parts = leaving.chunks(UPSTREAMS_PER_DATAGRAM);
        parts
            .flat_map(|part| to.iter().map(|to| (part.to_vec(), *to)))
            .collect()
    }
}

impl ControlState {
    /// Whether an upstream is listed and neither the list nor the upstream itself says that it is
    /// leaving.
    pub(crate) fn is_staying(&self, id: &UpstreamId) -> bool {
        let upstream = self.upstream(id);
        upstream.is_some_and(|upstream| upstream.takes_work())
            && !self.shared.notices().is_leaving(id)
    }

    /// Adds an upstream's own announcement that it is leaving to its listed state.
    pub(crate) fn with_own_notice(&self, upstream: Upstream) -> Upstream {
        match self.shared.notices().is_confirmed_leaving(&upstream.id) {
            true => upstream.leaving(),
            false => upstream,
        }
    }

    /// Applies announcements that other nodes sent.
    pub(crate) fn apply_leaving(&self, upstreams: &[UpstreamId]) {
        for upstream in upstreams {
            // Other nodes repeat an announcement; the upstream has not made it again.
            if !self.shared.notices().is_confirmed_leaving(upstream) {
                self.record_named_as(upstream);
                self.record_leaving(upstream, "node");
            }
        }
    }

    /// Records which listed process follows the one that another node, whose list may be older, has
    /// named.
    fn record_named_as(&self, named: &UpstreamId) {
        let upstreams = self.upstreams.borrow();
        let listed = upstreams.values().find(|listed| listed.replaces(named));
        if let Some(listed) = listed {
            let mut notices = self.shared.notices();
            notices.record_named_as(named, &listed.id, Instant::now());
        }
    }

    /// Applies what an upstream says about itself in an answer to the control thread.
    pub(super) fn apply_upstream_notice(
        &self,
        upstream: &UpstreamId,
        notice: UpstreamNotice,
        told_by: &str,
    ) {
        if notice.is_leaving {
            self.record_leaving(upstream, told_by);
        }
        if notice.is_brittle
            && let Some(upstream) = self.upstream(upstream)
        {
            let (mut brittle, now) = (self.shared.brittle(), Instant::now());
            brittle.record_announcement(&upstream.service, now);
        }
        if let RequestedBackoff::For(rest) = notice.backoff {
            let (mut notices, now) = (self.shared.notices(), Instant::now());
            notices.record_backoff(upstream, rest, now, &mut rand::rng());
        }
    }

    /// Whether an upstream has asked this node to back off for now.
    pub(crate) fn is_backing_off(&self, upstream: &UpstreamId) -> bool {
        let notices = self.shared.notices();
        notices.is_backing_off(upstream, Instant::now())
    }

    fn record_leaving(&self, upstream: &UpstreamId, told_by: &str) {
        let is_new = self
            .shared
            .notices()
            .record_leaving(upstream, Instant::now());
        if is_new {
            log_event!(
                self.log, Event::UpstreamLeaving,
                "upstream" => upstream.to_string(), "told_by" => told_by.to_owned()
            );
        }
    }

    /// Applies the announcements of listed upstreams.
    fn mark_leaving(&self) {
        for id in self.listed_leaving() {
            let mut upstreams = self.upstreams.borrow_mut();
            if let Some(upstream) = upstreams.get_mut(&id) {
                *upstream = Arc::new(Upstream::clone(upstream).leaving());
            }
        }
        self.publish();
    }

    fn listed_leaving(&self) -> Vec<UpstreamId> {
        let (notices, upstreams) = (self.shared.notices(), self.upstreams.borrow());
        let leaving = notices.leaving().filter(|id| upstreams.contains_key(*id));
        leaving.cloned().collect()
    }
}
