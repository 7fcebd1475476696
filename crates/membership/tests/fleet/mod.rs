//! A simulated fleet of membership cores, with its own clock and network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};
use nutmegsail_membership::{
    LiveNode, Membership, MembershipAction, MembershipEvent, MembershipNote, MembershipSettings,
    VmHint,
};
use nutmegsail_wire::{Envelope, NodeMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bytes that nng, TCP and IP add to a message and its acknowledgement.
const HEADER_BYTES: u64 = 8 + 52 + 52;
const LATENCY: Duration = Duration::from_millis(1);
/// How long a node takes to fetch a new text from another node.
const FETCH_TIME: Duration = Duration::from_millis(30);

/// One node of the fleet and the recorded results of its actions.
#[derive(Clone)]
pub struct Node {
    pub id: NodeId,
    pub address: Arc<str>,
    pub domain: usize,
    pub membership: Membership,
    pub incarnation: Incarnation,
    pub is_dead: bool,
    pub paused_until: Option<Duration>,
    pub live: Vec<LiveNode>,
    pub live_changes: usize,
    pub notes: Vec<(Duration, MembershipNote)>,
    pub leaving: BTreeMap<UpstreamId, Duration>,
    pub generation: (u64, Duration),
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub vm_list_reads: u64,
    received_while_paused: Vec<MembershipEvent>,
}

impl Node {
    /// Whether its process is alive and not paused.
    pub fn is_running(&self) -> bool {
        !self.is_dead && self.paused_until.is_none()
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Duration,
    seq: u64,
    to: usize,
}

/// The nodes of the fleet and the network between them.
#[derive(Clone)]
pub struct Fleet {
    pub settings: MembershipSettings,
    pub nodes: Vec<Node>,
    pub now: Duration,
    pub loss: f64,
    pub vm_list: Vec<VmHint>,
    pub is_vm_list_unavailable: bool,
    /// Whether messages that arrive at a paused node are lost.
    pub drops_while_paused: bool,
    /// Whether a message from the first node can reach the second.
    pub can_deliver: fn(&Node, &Node) -> bool,
    by_address: HashMap<Arc<str>, usize>,
    start: Instant,
    rng: ChaCha8Rng,
    schedule: BinaryHeap<Reverse<ScheduledEvent>>,
    events: BTreeMap<u64, MembershipEvent>,
    seq: u64,
}

impl Fleet {
    /// Creates nodes in several domains, all ready at generation 1, and a VM list that names them.
    pub fn new(domains: usize, nodes_per_domain: usize, seed: u64) -> Self {
        let mut fleet = Self {
            settings: MembershipSettings::default(),
            nodes: Vec::new(),
            now: Duration::ZERO,
            loss: 0.0,
            vm_list: Vec::new(),
            is_vm_list_unavailable: false,
            drops_while_paused: false,
            can_deliver: |_, _| true,
            by_address: HashMap::new(),
            start: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
        };
        for domain in 0..domains {
            for number in 0..nodes_per_domain {
                fleet.add_node(domain, number);
            }
        }
        fleet
    }

    /// Returns a copy of the fleet that continues with another random seed.
    pub fn reseeded(&self, seed: u64) -> Self {
        let mut fleet = self.clone();
        fleet.rng = ChaCha8Rng::seed_from_u64(seed);
        fleet
    }

    /// Adds a node and starts it.
    pub fn add_node(&mut self, domain: usize, number: usize) -> usize {
        let id = NodeId::from(format!("domain-{domain}-node-{number:02}"));
        let address: Arc<str> = format!("10.1.{domain}.{number}:7400").into();
        let index = self.nodes.len();
        self.by_address.insert(Arc::clone(&address), index);
        let incarnation = Incarnation(1_700_000_000_000 + self.now.as_millis() as u64);
        self.vm_list.push(VmHint {
            id: id.clone(),
            address: Arc::clone(&address),
            failure_domain: domain_name(domain),
            is_leaving: false,
        });
        self.nodes.push(Node {
            membership: self.new_membership(&id, &address, domain, incarnation),
            id,
            address,
            domain,
            incarnation,
            is_dead: false,
            paused_until: None,
            live: Vec::new(),
            live_changes: 0,
            notes: Vec::new(),
            leaving: BTreeMap::new(),
            generation: (0, Duration::ZERO),
            sent_bytes: 0,
            sent_messages: 0,
            vm_list_reads: 0,
            received_while_paused: Vec::new(),
        });
        self.start_node(index);
        index
    }

    /// Restarts a node's process, which loses all its state.
    pub fn restart(&mut self, index: usize) {
        let node = &self.nodes[index];
        let incarnation = Incarnation(1_700_000_000_000 + self.now.as_millis() as u64);
        let membership = self.new_membership(&node.id, &node.address, node.domain, incarnation);
        let node = &mut self.nodes[index];
        node.membership = membership;
        node.incarnation = incarnation;
        node.is_dead = false;
        node.paused_until = None;
        node.received_while_paused.clear();
        node.live.clear();
        node.generation = (0, self.now);
        self.start_node(index);
    }

    fn new_membership(
        &self,
        id: &NodeId,
        address: &Arc<str>,
        domain: usize,
        incarnation: Incarnation,
    ) -> Membership {
        let settings = self.settings.clone();
        let address = Arc::clone(address);
        Membership::new(
            settings,
            id.clone(),
            address,
            domain_name(domain),
            incarnation,
        )
    }

    fn start_node(&mut self, index: usize) {
        let ready = MembershipEvent::OwnState {
            is_ready: true,
            is_leaving: false,
        };
        self.handle(index, ready);
        self.handle(index, generation(1));
        let first_tick = self.rng.random_range(0..self.settings.interval_ms);
        self.schedule_event(
            index,
            Duration::from_millis(first_tick),
            MembershipEvent::Tick,
        );
    }

    /// Lets a node handle an event at the current time.
    pub fn handle(&mut self, index: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.start + self.now;
        let node = &mut self.nodes[index];
        if let MembershipEvent::OwnGeneration { generation, .. } = &event
            && *generation > node.generation.0
        {
            node.generation = (*generation, self.now);
        }
        node.membership
            .handle(event, now, &mut self.rng, &mut actions);
        for action in actions {
            self.apply_action(index, action);
        }
    }

    /// Advances the clock by `duration` and delivers the events that are due.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self
            .schedule
            .peek()
            .is_some_and(|Reverse(due)| due.at <= end)
        {
            let Some(Reverse(due)) = self.schedule.pop() else {
                break;
            };
            self.now = due.at;
            if let Some(event) = self.events.remove(&due.seq) {
                self.deliver(due.to, event);
            }
        }
        self.now = end;
    }

    /// Runs in steps of 10 ms until `is_done` or until `limit` is reached, and returns the time
    /// taken.
    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !is_done(self) && self.now < start + limit {
            self.run(Duration::from_millis(10));
        }
        self.now - start
    }

    /// Pauses a node's process.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.nodes[index].paused_until = Some(self.now + duration);
    }

    /// The nodes whose process is alive, including paused ones.
    pub fn alive(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.is_dead)
    }

    /// Whether the live nodes, in the view of each alive node, are the alive nodes of its domain.
    pub fn agrees_on_live(&self) -> bool {
        self.alive().all(|node| {
            let live = node.live.iter().map(|l| &l.node);
            let mut alive: Vec<_> = self
                .alive()
                .filter(|other| other.domain == node.domain)
                .map(|other| &other.id)
                .collect();
            alive.sort();
            alive.iter().copied().eq(live)
        })
    }

    fn deliver(&mut self, index: usize, event: MembershipEvent) {
        let node = &mut self.nodes[index];
        if node.is_dead {
            return;
        }
        if let Some(until) = node.paused_until {
            self.deliver_after_pause(index, event, until);
            return;
        }
        if event == MembershipEvent::Tick {
            let interval = self.settings.interval();
            self.schedule_event(index, interval, MembershipEvent::Tick);
        }
        self.handle(index, event);
    }

    /// Keeps messages for a paused node until it resumes, and delays its tick until then.
    fn deliver_after_pause(&mut self, index: usize, event: MembershipEvent, until: Duration) {
        let node = &mut self.nodes[index];
        if self.now < until {
            if event == MembershipEvent::Tick {
                let left = until - self.now;
                self.schedule_event(index, left, MembershipEvent::Tick);
            } else if !self.drops_while_paused {
                node.received_while_paused.push(event);
            }
            return;
        }
        node.paused_until = None;
        let received_while_paused = std::mem::take(&mut node.received_while_paused);
        for event in received_while_paused.into_iter().chain([event]) {
            self.deliver(index, event);
        }
    }

    fn apply_action(&mut self, index: usize, action: MembershipAction) {
        match action {
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                let from = self.nodes[index].id.clone();
                let incarnation = self.nodes[index].incarnation;
                let event = MembershipEvent::Heard {
                    from,
                    incarnation,
                    heartbeat: heartbeat.clone(),
                };
                self.send(index, &to, NodeMessage::Heartbeat(heartbeat), &event);
            }
            MembershipAction::SendSummary { to, summary } => {
                let from = self.nodes[index].id.clone();
                let event = MembershipEvent::SummaryHeard {
                    from,
                    summary: summary.clone(),
                };
                self.send(index, &to, NodeMessage::Summary(summary), &event);
            }
            MembershipAction::LiveNodesChanged { nodes } => {
                self.nodes[index].live = nodes;
                self.nodes[index].live_changes += 1;
            }
            MembershipAction::AskVmList => self.read_vm_list(index),
            MembershipAction::UpstreamLeaving { upstream, .. } => {
                let now = self.now;
                self.nodes[index].leaving.insert(upstream, now);
            }
            MembershipAction::UpstreamStaying { upstream } => {
                self.nodes[index].leaving.remove(&upstream);
            }
            MembershipAction::GenerationSeen {
                generation: seen, ..
            } => {
                if !self.is_lost() {
                    self.schedule_event(index, FETCH_TIME, generation(seen));
                }
            }
            MembershipAction::Report(note) => {
                let now = self.now;
                self.nodes[index].notes.push((now, note));
            }
            MembershipAction::Disconnect { .. } => {}
        }
    }

    fn read_vm_list(&mut self, index: usize) {
        self.nodes[index].vm_list_reads += 1;
        if !self.is_vm_list_unavailable {
            let vms = self.vm_list.clone();
            self.schedule_event(index, LATENCY, MembershipEvent::VmListRead { vms });
        }
    }

    fn send(
        &mut self,
        index: usize,
        to: &[Arc<str>],
        message: NodeMessage,
        event: &MembershipEvent,
    ) {
        let bytes = self.message_bytes(index, message);
        for address in to {
            self.nodes[index].sent_messages += 1;
            self.nodes[index].sent_bytes += bytes;
            let Some(&receiver) = self.by_address.get(address) else {
                continue;
            };
            let can_deliver = (self.can_deliver)(&self.nodes[index], &self.nodes[receiver]);
            if can_deliver && !self.is_lost() {
                self.schedule_event(receiver, LATENCY, event.clone());
            }
        }
    }

    fn message_bytes(&self, index: usize, message: NodeMessage) -> u64 {
        let envelope = Envelope {
            from: self.nodes[index].id.clone(),
            incarnation: self.nodes[index].incarnation,
            message,
        };
        let bytes = envelope.to_bytes().expect("the message fits");
        bytes.len() as u64 + HEADER_BYTES
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    fn schedule_event(&mut self, to: usize, after: Duration, event: MembershipEvent) {
        self.seq += 1;
        self.events.insert(self.seq, event);
        self.schedule.push(Reverse(ScheduledEvent {
            at: self.now + after,
            seq: self.seq,
            to,
        }));
    }
}

/// The name of a failure domain by its number.
pub fn domain_name(domain: usize) -> FailureDomain {
    format!("domain-{domain}").into()
}

/// The event of a generation that came into force.
pub fn generation(generation: u64) -> MembershipEvent {
    MembershipEvent::OwnGeneration {
        generation,
        digest: format!("{generation:064x}").into(),
    }
}
