//! The membership core.

mod receiving;
mod sending;

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use crate::delegates::is_delegate;
use crate::domains::OtherDomains;
use crate::own_state::{OwnState, own_status};
use crate::peers::Peers;
use crate::upstream_notices::UpstreamNotices;
use crate::{
    LiveNode, MembershipAction, MembershipEvent, MembershipNote, MembershipSettings, NodeState,
    StatusReport,
};

/// The view that one node has of the other nodes and of upstreams that are leaving.
///
/// It handles events that carry their time, and returns what to send and what has changed as
/// [`MembershipAction`]s. It reads no clock and does no I/O.
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
    last_vm_list_request: Option<Instant>,
}

impl Membership {
    /// Creates the state of a node that has just started and knows no other node.
    ///
    /// `incarnation` must be higher than in the node's earlier runs, such as the Unix time in
    /// milliseconds.
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
            last_vm_list_request: None,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        event: MembershipEvent,
        now: Instant,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.detect_pause(now, actions);
        // Most events are heartbeats, which rarely change the live nodes. After a heartbeat the
        // list is recomputed only if the change counter has moved.
        let may_change_live = !matches!(event, MembershipEvent::Heard { .. });
        let change_count = self.peers.change_count();
        match event {
            MembershipEvent::Heard {
                from,
                incarnation,
                heartbeat,
            } => self.receive_heartbeat(from, incarnation, heartbeat, now, rng, actions),
            MembershipEvent::SummaryHeard { from, summary } => {
                self.receive_summary(from, &summary, now, rng, actions);
            }
            MembershipEvent::VmListRead { vms } => self.apply_vm_list(vms, actions),
            MembershipEvent::Seeds { addresses } => self.peers.add_seeds(addresses),
            MembershipEvent::UpstreamLeaving {
                upstream,
                incarnation,
                source: _,
            } => self.observe_upstream(upstream, incarnation, true, now, rng, actions),
            MembershipEvent::UpstreamStaying {
                upstream,
                incarnation,
            } => self.observe_upstream(upstream, Some(incarnation), false, now, rng, actions),
            MembershipEvent::OwnGeneration { generation, digest } => {
                self.set_own_generation(generation, digest, now, rng, actions);
            }
            MembershipEvent::OwnState {
                is_ready,
                is_leaving,
            } => self.set_own_state(is_ready, is_leaving, now, rng, actions),
            MembershipEvent::Resumed { paused } => self.record_pause(paused, now, actions),
            MembershipEvent::Tick => self.tick(now, rng, actions),
        }
        if may_change_live || change_count != self.peers.change_count() {
            self.announce_live_nodes(now, actions);
        }
    }

    /// The nodes of the own failure domain that may own engines, as in the last
    /// [`MembershipAction::LiveNodesChanged`].
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

    /// Detects a pause of this process by the time since the last event.
    ///
    /// A paused node receives nothing, so the pause must not count as silence of its peers.
    /// Otherwise it would resume, mark every peer as unreachable and take over all their engines.
    fn detect_pause(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let last = self.last_handled.replace(now).unwrap_or(now);
        let paused = now.duration_since(last);
        if paused > Duration::from_millis(self.settings.pause_after_ms) {
            self.record_pause(paused, now, actions);
        }
    }

    fn record_pause(
        &mut self,
        paused: Duration,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.peers.exclude_pause(paused, now);
        self.domains.exclude_pause(paused, now);
        self.wants_roster = true;
        report(actions, MembershipNote::OwnPause { paused });
    }

    fn set_own_generation(
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
        self.spread_urgently(now, rng, actions);
    }

    fn set_own_state(
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
        // All peers must know that this node is leaving, so that it owns no engine when its process
        // ends.
        self.send_heartbeat_now(usize::MAX, now, rng, actions);
    }

    fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng, actions: &mut Vec<MembershipAction>) {
        self.peers.advance(now, &self.settings, actions);
        self.upstreams.advance(now, &self.settings, actions);
        self.advance_domains(now, actions);
        self.update_delegate_role(actions);
        self.request_vm_list(now, actions);
        self.send_heartbeats(now, rng, actions);
        self.send_probe(now, actions);
        let summary_interval = Duration::from_millis(self.settings.summary_interval_ms);
        if self.is_delegate && is_due(self.last_summary, summary_interval, now) {
            self.send_summaries(now, rng, actions);
        }
    }

    fn update_delegate_role(&mut self, actions: &mut Vec<MembershipAction>) {
        let was_delegate = self.is_delegate;
        self.is_delegate = is_delegate(
            &self.own.node,
            self.peers.reachable_nodes(),
            &self.own.failure_domain,
            self.settings.delegates,
        );
        if was_delegate && !self.is_delegate {
            self.domains.release_contacts(actions);
        }
    }

    /// Only delegates read the VM list, so that the number of reads does not grow with the fleet. A
    /// node that knows no peers is a delegate.
    fn request_vm_list(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let interval = Duration::from_millis(self.settings.vm_list_interval_ms);
        if self.is_delegate && is_due(self.last_vm_list_request, interval, now) {
            self.last_vm_list_request = Some(now);
            actions.push(MembershipAction::AskVmList);
        }
    }

    fn announce_live_nodes(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
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
