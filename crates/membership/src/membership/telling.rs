//! What this node tells other nodes.

use std::sync::Arc;
use std::time::Instant;

use super::Membership;
use crate::own_account::own_summary;
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
        let mut heartbeat = self.heartbeat(now);
        let count = self.settings.peers_per_heartbeat;
        heartbeat.introductions = self.peers.introductions(now);
        heartbeat.beats = self.peers.freshest_beats(count, rng);
        heartbeat.summaries = self.domains.relayed(now, rng);
        actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
    }

    pub(super) fn probe(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(address) = self.peers.probe() else {
            return;
        };
        actions.push(MembershipAction::Disconnect {
            address: Arc::clone(&address),
        });
        let to = vec![address];
        let heartbeat = self.heartbeat(now);
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
            let mut summary = self.summary(now);
            let others = self.peers.some_contacts(rng);
            summary.contacts.extend(others);
            actions.push(MembershipAction::SendSummary { to, summary });
        }
    }

    /// Tells some nodes of a change without waiting for the next interval. Each of them does the
    /// same when it learns of it, so a change is everywhere after a few hops.
    pub(super) fn spread_at_once(
        &mut self,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.tell_some(self.settings.urgent_fan_out, now, rng, actions);
        if self.is_delegate {
            self.send_summaries(now, rng, actions);
            // Once more with the next interval: these few messages are a domain's only news.
            self.last_summary = None;
        }
    }

    pub(super) fn tell_some(
        &mut self,
        count: usize,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let to = self.peers.targets(count, rng);
        if !to.is_empty() {
            let heartbeat = self.heartbeat(now);
            actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
        }
    }

    pub(super) fn send_roster(
        &mut self,
        to: Arc<str>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut heartbeat = self.heartbeat(now);
        heartbeat.is_roster = true;
        heartbeat.introductions = self.peers.roster();
        heartbeat.upstreams = self.upstreams.all(now);
        let to = vec![to];
        actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
    }

    pub(super) fn heartbeat(&mut self, now: Instant) -> Heartbeat {
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
            upstreams: self.upstreams.to_spread(now, &self.settings),
        }
    }

    pub(super) fn summary(&self, now: Instant) -> DomainSummary {
        let upstreams = self.upstreams.to_spread(now, &self.settings);
        own_summary(&self.own, &self.peers, upstreams)
    }
}
