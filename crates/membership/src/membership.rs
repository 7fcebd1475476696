//! The membership core.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use crate::domains::OtherDomains;
use crate::own_account::{OwnState, own_status, own_summary};
use crate::peers::{ListedPeer, Peers, Sighting};
use crate::ranking::is_delegate;
use crate::upstream_notices::{Observation, UpstreamNotices};
use crate::{
    Contact, DomainSummary, Heartbeat, LiveNode, MembershipAction, MembershipEvent, MembershipNote,
    MembershipSettings, NodeState, StatusReport, UpstreamNotice, VmHint,
};

/// Which nodes and upstreams are there.
///
/// It is told what arrives and when, and answers with what to send and what has changed. It reads
/// no clock and sends nothing itself.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_base::Incarnation;
/// use nutmegsail_membership::{
///     Membership, MembershipAction, MembershipEvent, MembershipSettings,
/// };
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut membership = Membership::new(
///     MembershipSettings::default(),
///     "negril-1".into(),
///     "10.0.1.1:7400".into(),
///     "negril-hall".into(),
///     Incarnation(1),
/// );
/// let mut actions = Vec::new();
/// let now = Instant::now();
/// let seeds = MembershipEvent::Seeds { addresses: vec!["10.0.1.2:7400".into()] };
/// membership.handle(seeds, now, &mut rng, &mut actions);
/// membership.handle(MembershipEvent::Tick, now, &mut rng, &mut actions);
/// assert!(matches!(actions[0], MembershipAction::AskVmList));
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: OwnState,
    peers: Peers,
    domains: OtherDomains,
    upstreams: UpstreamNotices,
    live: Vec<LiveNode>,
    wants_roster: bool,
    is_delegate: bool,
    last_handled: Option<Instant>,
    last_summary: Option<Instant>,
    last_vm_ask: Option<Instant>,
}

impl Membership {
    /// The state of a node that has just started and knows nobody.
    ///
    /// `incarnation` must be higher than that of the node's former runs; the time of day in
    /// milliseconds will do.
    pub fn new(
        settings: MembershipSettings,
        me: NodeId,
        address: Arc<str>,
        failure_domain: FailureDomain,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            settings,
            own: OwnState::new(me, address, failure_domain, incarnation),
            peers: Peers::default(),
            domains: OtherDomains::default(),
            upstreams: UpstreamNotices::default(),
            live: Vec::new(),
            wants_roster: true,
            is_delegate: false,
            last_handled: None,
            last_summary: None,
            last_vm_ask: None,
        }
    }

    /// Takes in one event and adds what follows from it to `actions`.
    pub fn handle(
        &mut self,
        event: MembershipEvent,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.notice_pause(now, actions);
        // Most events are heartbeats that change nothing about the live nodes.
        let may_change_live = !matches!(event, MembershipEvent::Heard { .. });
        let changes = self.peers.changes();
        match event {
            MembershipEvent::Heard {
                from,
                incarnation,
                heartbeat,
            } => self.heard(from, incarnation, heartbeat, now, rng, actions),
            MembershipEvent::SummaryHeard { from, summary } => {
                self.summary_heard(from, &summary, now, rng, actions);
            }
            MembershipEvent::VmListRead { vms } => self.vm_list_read(vms, actions),
            MembershipEvent::Seeds { addresses } => self.peers.add_seeds(addresses),
            MembershipEvent::UpstreamLeaving {
                upstream,
                incarnation,
                source: _,
            } => self.observe(upstream, incarnation, true, now, rng, actions),
            MembershipEvent::UpstreamStaying {
                upstream,
                incarnation,
            } => self.observe(upstream, Some(incarnation), false, now, rng, actions),
            MembershipEvent::OwnGeneration { generation, digest } => {
                self.own_generation(generation, digest, now, rng, actions);
            }
            MembershipEvent::OwnState {
                is_ready,
                is_leaving,
            } => self.own_state(is_ready, is_leaving, now, rng, actions),
            MembershipEvent::Resumed { paused } => self.resumed(paused, now, actions),
            MembershipEvent::Tick => self.tick(now, rng, actions),
        }
        if may_change_live || changes != self.peers.changes() {
            self.announce_live(now, actions);
        }
    }

    /// The nodes of the own failure domain that may own engines, as last announced.
    pub fn live_nodes(&self) -> &[LiveNode] {
        &self.live
    }

    /// The upstreams that are known to be leaving.
    pub fn leaving_upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams.leaving()
    }

    /// The address of a node of the own failure domain.
    pub fn address(&self, node: &NodeId) -> Option<Arc<str>> {
        self.peers.address(node)
    }

    /// This node's view of the deployment.
    pub fn status(&self) -> StatusReport {
        own_status(&self.own, &self.peers, &self.domains)
    }

    /// A node that did not run cannot have heard anybody: that time must not count as the others'
    /// silence, or it would wake up, give up every peer at once, and take over all their engines.
    fn notice_pause(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let last = self.last_handled.replace(now).unwrap_or(now);
        let paused = now.duration_since(last);
        if paused > Duration::from_millis(self.settings.pause_after_ms) {
            self.resumed(paused, now, actions);
        }
    }

    fn resumed(&mut self, paused: Duration, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.peers.absorb_pause(paused, now);
        self.domains.absorb_pause(paused, now);
        self.wants_roster = true;
        report(actions, MembershipNote::OwnPause { paused });
    }

    fn heard(
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

    fn sight_all(
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

    fn sight(
        &mut self,
        beat: crate::PeerBeat,
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

    fn heard_from_other_domain(
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

    fn generation_seen(
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

    fn summary_heard(
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

    fn take_in_summary(
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

    fn advance_domains(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for note in self.domains.advance(now, &self.settings) {
            if matches!(note, MembershipNote::DomainReturned(_)) {
                self.upstreams.spread_again(now, &self.settings);
            }
            report(actions, note);
        }
    }

    fn notices_heard(
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

    fn observe(
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

    fn vm_list_read(&mut self, vms: Vec<VmHint>, actions: &mut Vec<MembershipAction>) {
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

    fn own_vm_listed(&mut self, is_leaving: bool, actions: &mut Vec<MembershipAction>) {
        if is_leaving && !self.own.is_listed_leaving {
            report(actions, MembershipNote::OwnVmLeaving);
        }
        self.own.is_listed_leaving = is_leaving;
    }

    fn own_generation(
        &mut self,
        generation: u64,
        digest: Arc<str>,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if generation <= self.own.generation {
            return;
        }
        self.own.generation = generation;
        self.own.digest = digest;
        self.spread_at_once(now, rng, actions);
    }

    fn own_state(
        &mut self,
        is_ready: bool,
        is_leaving: bool,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let state = match (is_ready, is_leaving) {
            (_, true) => NodeState::Leaving,
            (true, false) => NodeState::Ready,
            (false, false) => NodeState::Starting,
        };
        if state == self.own.state {
            return;
        }
        self.own.state = state;
        // To everybody: who leaves must own nothing by the time its process ends.
        self.tell_some(usize::MAX, now, rng, actions);
    }

    fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng, actions: &mut Vec<MembershipAction>) {
        self.peers.advance(now, &self.settings, actions);
        self.upstreams.advance(now, &self.settings, actions);
        self.advance_domains(now, actions);
        self.choose_delegates(actions);
        self.ask_vm_list(now, actions);
        self.send_heartbeats(now, rng, actions);
        self.probe(now, actions);
        let summary_interval = Duration::from_millis(self.settings.summary_interval_ms);
        if self.is_delegate && is_due(self.last_summary, summary_interval, now) {
            self.send_summaries(now, rng, actions);
        }
    }

    fn choose_delegates(&mut self, actions: &mut Vec<MembershipAction>) {
        let was_delegate = self.is_delegate;
        self.is_delegate = is_delegate(
            &self.own.node,
            self.peers.reachable_nodes(),
            &self.own.failure_domain,
            self.settings.delegates,
        );
        if was_delegate && !self.is_delegate {
            self.domains.stop_talking(actions);
        }
    }

    /// The list's reads must not grow with the fleet, so only the delegates read it. A node that
    /// knows nobody counts itself among them.
    fn ask_vm_list(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let interval = Duration::from_millis(self.settings.vm_list_interval_ms);
        if self.is_delegate && is_due(self.last_vm_ask, interval, now) {
            self.last_vm_ask = Some(now);
            actions.push(MembershipAction::AskVmList);
        }
    }

    fn send_heartbeats(
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

    fn probe(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
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

    fn send_summaries(
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
    fn spread_at_once(
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

    fn tell_some(
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

    fn send_roster(&mut self, to: Arc<str>, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut heartbeat = self.heartbeat(now);
        heartbeat.is_roster = true;
        heartbeat.introductions = self.peers.roster();
        heartbeat.upstreams = self.upstreams.all(now);
        let to = vec![to];
        actions.push(MembershipAction::SendHeartbeat { to, heartbeat });
    }

    fn heartbeat(&mut self, now: Instant) -> Heartbeat {
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

    fn summary(&self, now: Instant) -> DomainSummary {
        let upstreams = self.upstreams.to_spread(now, &self.settings);
        own_summary(&self.own, &self.peers, upstreams)
    }

    fn announce_live(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let own = self.own.live_node();
        let mut live: Vec<_> = self.peers.live(now).chain(own).collect();
        live.sort();
        if live != self.live {
            self.live.clone_from(&live);
            actions.push(MembershipAction::LiveNodesChanged { nodes: live });
        }
    }
}

fn report(actions: &mut Vec<MembershipAction>, note: MembershipNote) {
    actions.push(MembershipAction::Report(note));
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.duration_since(last) >= interval)
}
