//! Heartbeats and summaries that this node sends.

use std::sync::Arc;
use std::time::Instant;

use super::Membership;
use crate::own_state::own_summary;
use crate::{DomainSummary, Heartbeat, MembershipAction};

impl Membership {
    pub(super) fn send_heartbeats(
        &mut self,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let to = self.peers.targets(self.settings.fan_out, rng);
        if to.is_empty() {
            return;
        }
        let mut heartbeat = self.next_heartbeat(now);
        let count = self.settings.peers_per_heartbeat;
        heartbeat.introductions = self.peers.introductions(now);
        heartbeat.beats = self.peers.freshest_beats(count, rng);
        heartbeat.summaries = self.domains.relayed_summaries(now, rng);
        actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
    }

    pub(super) fn send_probe(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(address) = self.peers.next_probe_address() else {
            return;
        };
        actions.push(MembershipAction::Disconnect {
            address: Arc::clone(&address),
        });
        let to = vec![address];
        let heartbeat = self.next_heartbeat(now);
        actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
    }

    pub(super) fn send_summaries(
        &mut self,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.last_summary = Some(now);
        let to = self.domains.targets(rng, actions);
        if !to.is_empty() {
            let mut summary = self.current_summary(now);
            let others = self.peers.random_contacts(rng);
            summary.contacts.extend(others);
            actions.push(MembershipAction::SendSummary { to, summary });
        }
    }

    /// Sends a change to some nodes without waiting for the next interval. Each receiver does the
    /// same, so the change reaches all nodes after a few hops.
    pub(super) fn spread_urgently(
        &mut self,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.send_heartbeat_now(self.settings.urgent_fan_out, now, rng, actions);
        if self.is_delegate {
            self.send_summaries(now, rng, actions);
            // Send the summary again at the next tick: another domain gets it only from the few
            // delegates, and their messages may be lost.
            self.last_summary = None;
        }
    }

    pub(super) fn send_heartbeat_now(
        &mut self,
        count: usize,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let to = self.peers.targets(count, rng);
        if !to.is_empty() {
            let heartbeat = self.next_heartbeat(now);
            actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
        }
    }

    pub(super) fn send_roster(
        &mut self,
        to: Arc<str>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut heartbeat = self.next_heartbeat(now);
        heartbeat.is_roster = true;
        heartbeat.introductions = self.peers.roster();
        heartbeat.upstreams = self.upstreams.all(now);
        let to = vec![to];
        actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
    }

    pub(super) fn next_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.own.beat += 1;
        Heartbeat {
            failure_domain: self.own.failure_domain.clone(),
            address: Arc::clone(&self.own.address),
            beat: self.own.beat,
            state: self.own.state,
            wants_roster: self.wants_roster,
            is_roster: false,
            generation: self.own.generation,
            digest: Arc::clone(&self.own.digest),
            introductions: Vec::new(),
            beats: Vec::new(),
            summaries: Vec::new(),
            upstreams: self.upstreams.spreading_notices(now, &self.settings),
        }
    }

    pub(super) fn current_summary(&self, now: Instant) -> DomainSummary {
        let upstreams = self.upstreams.spreading_notices(now, &self.settings);
        own_summary(&self.own, &self.peers, upstreams)
    }
}
