//! What other nodes, the VM list and this node's own sight of upstreams tell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use super::{Membership, report};
use crate::peer::Sighting;
use crate::peers::ListedPeer;
use crate::upstream_notices::Observation;
use crate::{
    Contact, DomainSummary, Heartbeat, MembershipAction, MembershipNote, PeerBeat, UpstreamNotice,
    VmHint,
};

impl Membership {
    pub(super) fn heard(
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
        self.generation_seen(&from, &heartbeat, actions);
        self.notices_heard(&heartbeat.upstreams, now, rng, actions);
        if heartbeat.failure_domain != self.own.failure_domain {
            self.heard_from_other_domain(from, &heartbeat, now, actions);
            return;
        }
        let sender_address = Arc::clone(&heartbeat.address);
        let wants_roster = heartbeat.wants_roster;
        self.sight_all(from, incarnation, heartbeat, now, actions);
        if wants_roster {
            self.send_roster(sender_address, now, actions);
        }
    }

    pub(super) fn sight_all(
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
            self.take_in_summary(summary, now, actions);
        }
        let direct = heartbeat.sender_beat(from, incarnation);
        self.sight(direct, true, now, actions);
        for beat in heartbeat.introductions {
            self.sight(beat, false, now, actions);
        }
        for keyed in heartbeat.beats {
            match self.peers.resolve(keyed) {
                Some(beat) => self.sight(beat, false, now, actions),
                None => self.wants_roster |= !self.own.is_key(keyed.key),
            }
        }
    }

    pub(super) fn sight(
        &mut self,
        beat: PeerBeat,
        is_direct: bool,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if beat.node == self.own.node {
            return;
        }
        let Some(note) = self.peers.sight(Sighting { beat, is_direct }, now) else {
            return;
        };
        if matches!(note, MembershipNote::PeerReturned(_)) {
            self.upstreams.spread_again(now, &self.settings);
        }
        report(actions, note);
    }

    pub(super) fn heard_from_other_domain(
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
            let summary = self.summary(now);
            actions.push(MembershipAction::SendSummary { to, summary });
        }
    }

    pub(super) fn generation_seen(
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

    pub(super) fn summary_heard(
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
        self.take_in_summary(summary, now, actions);
        self.notices_heard(&summary.upstreams, now, rng, actions);
        let maker = summary.contacts.iter().find(|contact| contact.node == from);
        if let Some(maker) = maker
            && summary.generation > self.own.generation
        {
            actions.push(MembershipAction::GenerationSeen {
                peer: from,
                address: Arc::clone(&maker.address),
                generation: summary.generation,
                digest: Arc::clone(&summary.digest),
            });
        }
    }

    pub(super) fn take_in_summary(
        &mut self,
        summary: &DomainSummary,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if summary.failure_domain != self.own.failure_domain {
            self.domains.take_in(summary, now);
            self.advance_domains(now, actions);
        }
    }

    pub(super) fn advance_domains(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for note in self.domains.advance(now, &self.settings) {
            if matches!(note, MembershipNote::DomainReturned(_)) {
                self.upstreams.spread_again(now, &self.settings);
            }
            report(actions, note);
        }
    }

    pub(super) fn notices_heard(
        &mut self,
        notices: &[UpstreamNotice],
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut has_news = false;
        for notice in notices {
            let age = Duration::from_millis(notice.age_ms.into());
            let seen = Observation {
                upstream: notice.upstream.clone(),
                incarnation: notice.incarnation,
                is_leaving: notice.is_leaving,
                observed_at: now.checked_sub(age).unwrap_or(now),
            };
            let change = self.upstreams.observe(seen, now, &self.settings);
            has_news |= change.is_some();
            actions.extend(change);
        }
        if has_news {
            self.spread_at_once(now, rng, actions);
        }
    }

    pub(super) fn observe(
        &mut self,
        upstream: UpstreamId,
        incarnation: Option<Incarnation>,
        is_leaving: bool,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let seen = Observation {
            upstream,
            incarnation,
            is_leaving,
            observed_at: now,
        };
        if let Some(change) = self.upstreams.observe(seen, now, &self.settings) {
            actions.push(change);
            self.spread_at_once(now, rng, actions);
        }
    }

    pub(super) fn vm_list_read(&mut self, vms: Vec<VmHint>, actions: &mut Vec<MembershipAction>) {
        let mut own_domain = BTreeMap::new();
        let mut others: BTreeMap<FailureDomain, BTreeMap<NodeId, Arc<str>>> = BTreeMap::new();
        for vm in vms {
            if vm.id == self.own.node {
                self.own_vm_listed(vm.is_leaving, actions);
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
        self.peers.list(&own_domain, actions);
        self.domains.list(&others);
    }

    pub(super) fn own_vm_listed(&mut self, is_leaving: bool, actions: &mut Vec<MembershipAction>) {
        if is_leaving && !self.own.is_listed_leaving {
            report(actions, MembershipNote::OwnVmLeaving);
        }
        self.own.is_listed_leaving = is_leaving;
    }
}
