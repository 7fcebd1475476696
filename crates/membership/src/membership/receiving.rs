//! Handling of received messages, the VM list and this node's own observations of upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use super::{Membership, report};
use crate::peer::PeerUpdate;
use crate::peers::ListedPeer;
use crate::upstream_notices::Observation;
use crate::{
    Contact, DomainSummary, Heartbeat, MembershipAction, MembershipNote, PeerBeat, UpstreamNotice,
    VmHint,
};

impl Membership {
    pub(super) fn receive_heartbeat(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if from == self.own.node {
            if incarnation != self.own.incarnation {
                let address = heartbeat.address;
                report(actions, MembershipNote::NameTaken { address });
            }
            return;
        }
        self.report_newer_generation(&from, &heartbeat, actions);
        self.merge_notices(&heartbeat.upstreams, now, rng, actions);
        if heartbeat.failure_domain != self.own.failure_domain {
            self.receive_from_other_domain(from, &heartbeat, now, actions);
            return;
        }
        let sender_address = Arc::clone(&heartbeat.address);
        let wants_roster = heartbeat.wants_roster;
        self.merge_heartbeat(from, incarnation, heartbeat, now, actions);
        if wants_roster {
            self.send_roster(sender_address, now, actions);
        }
    }

    pub(super) fn merge_heartbeat(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if heartbeat.is_roster {
            self.wants_roster = false;
        }
        for summary in &heartbeat.summaries {
            self.merge_summary(summary, now, actions);
        }
        let direct = heartbeat.sender_beat(from, incarnation);
        self.record_peer(direct, true, now, actions);
        for beat in heartbeat.introductions {
            self.record_peer(beat, false, now, actions);
        }
        for keyed in heartbeat.beats {
            match self.peers.resolve(keyed) {
                Some(beat) => self.record_peer(beat, false, now, actions),
                None => self.wants_roster |= !self.own.is_key(keyed.key),
            }
        }
    }

    pub(super) fn record_peer(
        &mut self,
        beat: PeerBeat,
        is_direct: bool,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if beat.node == self.own.node {
            return;
        }
        let Some(note) = self.peers.apply_update(PeerUpdate { beat, is_direct }, now) else {
            return;
        };
        if matches!(note, MembershipNote::PeerReturned(_)) {
            self.upstreams.restart_spreading(now, &self.settings);
        }
        report(actions, note);
    }

    pub(super) fn receive_from_other_domain(
        &mut self,
        from: NodeId,
        heartbeat: &Heartbeat,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let contact = Contact {
            node: from,
            address: Arc::clone(&heartbeat.address),
        };
        self.domains
            .add_contact(&heartbeat.failure_domain, &contact);
        if heartbeat.wants_roster {
            let to = vec![contact.address];
            let summary = self.current_summary(now);
            actions.push(MembershipAction::SendSummary { to, summary });
        }
    }

    pub(super) fn report_newer_generation(
        &mut self,
        from: &NodeId,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MembershipAction>,
    ) {
        if heartbeat.generation > self.own.generation {
            actions.push(MembershipAction::GenerationSeen {
                peer: from.clone(),
                address: Arc::clone(&heartbeat.address),
                generation: heartbeat.generation,
                digest: Arc::clone(&heartbeat.digest),
            });
        }
    }

    pub(super) fn receive_summary(
        &mut self,
        from: NodeId,
        summary: &DomainSummary,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if summary.failure_domain == self.own.failure_domain {
            return;
        }
        self.merge_summary(summary, now, actions);
        self.merge_notices(&summary.upstreams, now, rng, actions);
        let author = summary.contacts.iter().find(|contact| contact.node == from);
        if let Some(author) = author
            && summary.generation > self.own.generation
        {
            actions.push(MembershipAction::GenerationSeen {
                peer: from,
                address: Arc::clone(&author.address),
                generation: summary.generation,
                digest: Arc::clone(&summary.digest),
            });
        }
    }

    pub(super) fn merge_summary(
        &mut self,
        summary: &DomainSummary,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if summary.failure_domain != self.own.failure_domain {
            self.domains.merge_summary(summary, now);
            self.advance_domains(now, actions);
        }
    }

    pub(super) fn advance_domains(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for note in self.domains.advance(now, &self.settings) {
            if matches!(note, MembershipNote::DomainReturned(_)) {
                self.upstreams.restart_spreading(now, &self.settings);
            }
            report(actions, note);
        }
    }

    pub(super) fn merge_notices(
        &mut self,
        notices: &[UpstreamNotice],
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut has_changes = false;
        for notice in notices {
            let age = Duration::from_millis(notice.age_ms.into());
            let observation = Observation {
                upstream: notice.upstream.clone(),
                incarnation: notice.incarnation,
                is_leaving: notice.is_leaving,
                observed_at: now.checked_sub(age).unwrap_or(now),
            };
            let change = self.upstreams.observe(observation, now, &self.settings);
            has_changes |= change.is_some();
            actions.extend(change);
        }
        if has_changes {
            self.spread_urgently(now, rng, actions);
        }
    }

    pub(super) fn observe_upstream(
        &mut self,
        upstream: UpstreamId,
        incarnation: Option<Incarnation>,
        is_leaving: bool,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let observation = Observation {
            upstream,
            incarnation,
            is_leaving,
            observed_at: now,
        };
        if let Some(change) = self.upstreams.observe(observation, now, &self.settings) {
            actions.push(change);
            self.spread_urgently(now, rng, actions);
        }
    }

    pub(super) fn apply_vm_list(&mut self, vms: Vec<VmHint>, actions: &mut Vec<MembershipAction>) {
        let mut own_domain = BTreeMap::new();
        let mut others: BTreeMap<FailureDomain, BTreeMap<NodeId, Arc<str>>> = BTreeMap::new();
        for vm in vms {
            if vm.id == self.own.node {
                self.record_own_vm(vm.is_leaving, actions);
            } else if vm.failure_domain == self.own.failure_domain {
                let listed = ListedPeer {
                    address: vm.address,
                    is_leaving: vm.is_leaving,
                };
                own_domain.insert(vm.id, listed);
            } else {
                let nodes = others.entry(vm.failure_domain).or_default();
                nodes.insert(vm.id, vm.address);
            }
        }
        self.peers.merge_vm_list(&own_domain, actions);
        self.domains.merge_vm_list(&others);
    }

    pub(super) fn record_own_vm(&mut self, is_leaving: bool, actions: &mut Vec<MembershipAction>) {
        if is_leaving && !self.own.is_listed_leaving {
            report(actions, MembershipNote::OwnVmLeaving);
        }
        self.own.is_listed_leaving = is_leaving;
    }
}
