//! Many membership cores in memory, on a clock that moves only when told to.

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

/// What nng, TCP and IP add to a message and its acknowledgement.
const HEADER_BYTES: u64 = 8 + 52 + 52;
const LATENCY: Duration = Duration::from_millis(1);
/// How long a node takes to fetch a text that it heard of.
const FETCH: Duration = Duration::from_millis(30);

/// One node of the fleet and what was seen of it.
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
    late: Vec<MembershipEvent>,
}

impl Node {
    /// Whether its process is there and not paused.
    pub fn runs(&self) -> bool {
        !self.is_dead && self.paused_until.is_none()
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Duration,
    seq: u64,
    to: usize,
}

/// The fleet with the network between its nodes.
#[derive(Clone)]
pub struct Fleet {
    pub settings: MembershipSettings,
    pub nodes: Vec<Node>,
    pub now: Duration,
    pub loss: f64,
    pub vm_list: Vec<VmHint>,
    pub is_vm_list_out: bool,
    /// Whether a paused node's sockets lose what arrives meanwhile.
    pub loses_while_paused: bool,
    /// Whether a message from the first to the second node gets through.
    pub passes: fn(&Node, &Node) -> bool,
    by_address: HashMap<Arc<str>, usize>,
    start: Instant,
    rng: ChaCha8Rng,
    due: BinaryHeap<Reverse<Due>>,
    events: BTreeMap<u64, MembershipEvent>,
    seq: u64,
}

impl Fleet {
    /// Nodes of several domains, all ready at generation 1, that have just read the VM list.
    pub fn new(domains: usize, nodes_per_domain: usize, seed: u64) -> Self {
        let mut fleet = Self {
            settings: MembershipSettings::default(),
            nodes: Vec::new(),
            now: Duration::ZERO,
            loss: 0.0,
            vm_list: Vec::new(),
            is_vm_list_out: false,
            loses_while_paused: false,
            passes: |_, _| true,
            by_address: HashMap::new(),
            start: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            due: BinaryHeap::new(),
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

    /// The same fleet with other chances from now on.
    pub fn reseeded(&self, seed: u64) -> Self {
        let mut fleet = self.clone();
        fleet.rng = ChaCha8Rng::seed_from_u64(seed);
        fleet
    }

    /// Adds a node that starts now.
    pub fn add_node(&mut self, domain: usize, number: usize) -> usize {
        let id = NodeId::from(format!("domain-{domain}-node-{number:02}"));
        let address: Arc<str> = format!("10.1.{domain}.{number}:7400").into();
        let at = self.nodes.len();
        self.by_address.insert(Arc::clone(&address), at);
        let incarnation = Incarnation(1_700_000_000_000 + self.now.as_millis() as u64);
        self.vm_list.push(VmHint {
            id: id.clone(),
            address: Arc::clone(&address),
            failure_domain: domain_name(domain),
            is_leaving: false,
        });
        self.nodes.push(Node {
            membership: self.core(&id, &address, domain, incarnation),
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
            late: Vec::new(),
        });
        self.boot(at);
        at
    }

    /// Starts a node's process anew, which forgets everything.
    pub fn restart(&mut self, at: usize) {
        let node = &self.nodes[at];
        let incarnation = Incarnation(1_700_000_000_000 + self.now.as_millis() as u64);
        let core = self.core(&node.id, &node.address, node.domain, incarnation);
        let node = &mut self.nodes[at];
        node.membership = core;
        node.incarnation = incarnation;
        node.is_dead = false;
        node.paused_until = None;
        node.late.clear();
        node.live.clear();
        node.generation = (0, self.now);
        self.boot(at);
    }

    fn core(
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

    fn boot(&mut self, at: usize) {
        let ready = MembershipEvent::OwnState {
            is_ready: true,
            is_leaving: false,
        };
        self.tell(at, ready);
        self.tell(at, generation(1));
        let first_tick = self.rng.random_range(0..self.settings.interval_ms);
        self.push(at, Duration::from_millis(first_tick), MembershipEvent::Tick);
    }

    /// Gives a node an event now.
    pub fn tell(&mut self, at: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.start + self.now;
        let node = &mut self.nodes[at];
        if let MembershipEvent::OwnGeneration { generation, .. } = &event
            && *generation > node.generation.0
        {
            node.generation = (*generation, self.now);
        }
        node.membership
            .handle(event, now, &mut self.rng, &mut actions);
        for action in actions {
            self.carry_out(at, action);
        }
    }

    /// Lets `by` pass.
    pub fn run(&mut self, by: Duration) {
        let end = self.now + by;
        while self.due.peek().is_some_and(|Reverse(due)| due.at <= end) {
            let Some(Reverse(due)) = self.due.pop() else {
                break;
            };
            self.now = due.at;
            if let Some(event) = self.events.remove(&due.seq) {
                self.deliver(due.to, event);
            }
        }
        self.now = end;
    }

    /// Lets time pass in small steps until `is_done`, and returns how much, or `limit`.
    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !is_done(self) && self.now < start + limit {
            self.run(Duration::from_millis(10));
        }
        self.now - start
    }

    /// Stops a node from running for a while, without ending it.
    pub fn pause(&mut self, at: usize, by: Duration) {
        self.nodes[at].paused_until = Some(self.now + by);
    }

    /// The running nodes.
    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.is_dead)
    }

    /// Whether every running node counts exactly the running nodes of its domain as live.
    pub fn agrees_on_live(&self) -> bool {
        self.running().all(|node| {
            let live = node.live.iter().map(|l| &l.node);
            let mut running: Vec<_> = self
                .running()
                .filter(|other| other.domain == node.domain)
                .map(|other| &other.id)
                .collect();
            running.sort();
            running.iter().copied().eq(live)
        })
    }

    fn deliver(&mut self, at: usize, event: MembershipEvent) {
        let node = &mut self.nodes[at];
        if node.is_dead {
            return;
        }
        if let Some(until) = node.paused_until {
            self.deliver_late(at, event, until);
            return;
        }
        if event == MembershipEvent::Tick {
            let interval = self.settings.interval();
            self.push(at, interval, MembershipEvent::Tick);
        }
        self.tell(at, event);
    }

    /// What arrives at a paused node waits in its socket; its tick comes when it wakes.
    fn deliver_late(&mut self, at: usize, event: MembershipEvent, until: Duration) {
        let node = &mut self.nodes[at];
        if self.now < until {
            if event == MembershipEvent::Tick {
                let left = until - self.now;
                self.push(at, left, MembershipEvent::Tick);
            } else if !self.loses_while_paused {
                node.late.push(event);
            }
            return;
        }
        node.paused_until = None;
        let late = std::mem::take(&mut node.late);
        for event in late.into_iter().chain([event]) {
            self.deliver(at, event);
        }
    }

    fn carry_out(&mut self, at: usize, action: MembershipAction) {
        match action {
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                let from = self.nodes[at].id.clone();
                let incarnation = self.nodes[at].incarnation;
                let event = MembershipEvent::Heard {
                    from,
                    incarnation,
                    heartbeat: heartbeat.clone(),
                };
                self.send(at, &to, NodeMessage::Heartbeat(heartbeat), &event);
            }
            MembershipAction::SendSummary { to, summary } => {
                let from = self.nodes[at].id.clone();
                let event = MembershipEvent::SummaryHeard {
                    from,
                    summary: summary.clone(),
                };
                self.send(at, &to, NodeMessage::Summary(summary), &event);
            }
            MembershipAction::LiveNodesChanged { nodes } => {
                self.nodes[at].live = nodes;
                self.nodes[at].live_changes += 1;
            }
            MembershipAction::AskVmList => self.read_vm_list(at),
            MembershipAction::UpstreamLeaving { upstream, .. } => {
                let now = self.now;
                self.nodes[at].leaving.insert(upstream, now);
            }
            MembershipAction::UpstreamStaying { upstream } => {
                self.nodes[at].leaving.remove(&upstream);
            }
            MembershipAction::GenerationSeen {
                generation: seen, ..
            } => {
                if !self.is_lost() {
                    self.push(at, FETCH, generation(seen));
                }
            }
            MembershipAction::Report(note) => {
                let now = self.now;
                self.nodes[at].notes.push((now, note));
            }
            MembershipAction::Disconnect { .. } => {}
        }
    }

    fn read_vm_list(&mut self, at: usize) {
        self.nodes[at].vm_list_reads += 1;
        if !self.is_vm_list_out {
            let vms = self.vm_list.clone();
            self.push(at, LATENCY, MembershipEvent::VmListRead { vms });
        }
    }

    fn send(&mut self, at: usize, to: &[Arc<str>], message: NodeMessage, event: &MembershipEvent) {
        let bytes = self.message_bytes(at, message);
        for address in to {
            self.nodes[at].sent_messages += 1;
            self.nodes[at].sent_bytes += bytes;
            let Some(&receiver) = self.by_address.get(address) else {
                continue;
            };
            let passes = (self.passes)(&self.nodes[at], &self.nodes[receiver]);
            if passes && !self.is_lost() {
                self.push(receiver, LATENCY, event.clone());
            }
        }
    }

    fn message_bytes(&self, at: usize, message: NodeMessage) -> u64 {
        let envelope = Envelope {
            from: self.nodes[at].id.clone(),
            incarnation: self.nodes[at].incarnation,
            message,
        };
        let bytes = envelope.to_bytes().expect("the message fits");
        bytes.len() as u64 + HEADER_BYTES
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }

    fn push(&mut self, to: usize, after: Duration, event: MembershipEvent) {
        self.seq += 1;
        self.events.insert(self.seq, event);
        self.due.push(Reverse(Due {
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
