//! Heartbeats and domains' accounts of a calm fleet.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, Incarnation, NodeId};
use nutmegsail_membership::{
    Membership, MembershipAction, MembershipEvent, MembershipSettings, VmHint,
};
use nutmegsail_wire::{Envelope, NodeMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{DOMAINS, HEADER_BYTES};

const LATENCY: Duration = Duration::from_millis(1);
/// How long the fleet settles before anything is counted.
const SETTLES: Duration = Duration::from_secs(15);
const COUNTED: Duration = Duration::from_secs(10);
const INCARNATION: Incarnation = Incarnation(1_700_000_000_000);

/// What a node sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HeartbeatCost {
    pub(crate) bytes_per_s_mean: f64,
    /// Of the node that sent most: one that speaks for its failure domain.
    pub(crate) bytes_per_s_highest: f64,
    pub(crate) messages_per_s_mean: f64,
    /// Reads of the VM list by the whole fleet.
    pub(crate) vm_list_reads_per_s: f64,
}

struct Node {
    id: NodeId,
    membership: Membership,
    sent_bytes: usize,
    sent_messages: u64,
    vm_list_reads: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    vms: Vec<VmHint>,
    by_address: HashMap<Arc<str>, usize>,
    due: BTreeMap<(Duration, u64), (usize, MembershipEvent)>,
    numbered: u64,
    start: Instant,
    now: Duration,
    rng: ChaCha8Rng,
    interval: Duration,
}

/// What heartbeats and accounts cost at `nodes_per_domain` nodes in each of six failure domains.
pub(crate) fn measure_heartbeats(nodes_per_domain: usize, seed: u64) -> HeartbeatCost {
    let mut fleet = Fleet::new(nodes_per_domain, seed);
    fleet.run_until(SETTLES);
    for node in &mut fleet.nodes {
        (node.sent_bytes, node.sent_messages, node.vm_list_reads) = (0, 0, 0);
    }
    fleet.run_until(SETTLES + COUNTED);
    let seconds = COUNTED.as_secs_f64();
    let nodes = fleet.nodes.len() as f64;
    let bytes = fleet.nodes.iter().map(|node| node.sent_bytes);
    let messages: u64 = fleet.nodes.iter().map(|node| node.sent_messages).sum();
    let reads: u64 = fleet.nodes.iter().map(|node| node.vm_list_reads).sum();
    HeartbeatCost {
        bytes_per_s_mean: bytes.clone().sum::<usize>() as f64 / nodes / seconds,
        bytes_per_s_highest: bytes.max().unwrap_or(0) as f64 / seconds,
        messages_per_s_mean: messages as f64 / nodes / seconds,
        vm_list_reads_per_s: reads as f64 / seconds,
    }
}

impl Fleet {
    fn new(nodes_per_domain: usize, seed: u64) -> Self {
        let settings = MembershipSettings::default();
        let mut fleet = Self {
            nodes: Vec::new(),
            vms: Vec::new(),
            by_address: HashMap::new(),
            due: BTreeMap::new(),
            numbered: 0,
            start: Instant::now(),
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            interval: settings.interval(),
        };
        for domain in 0..DOMAINS {
            for number in 0..nodes_per_domain {
                fleet.add_node(&settings, domain, number);
            }
        }
        for at in 0..fleet.nodes.len() {
            fleet.boot(at, settings.interval_ms);
        }
        fleet
    }

    fn add_node(&mut self, settings: &MembershipSettings, domain: usize, number: usize) {
        let id = NodeId::from(format!("domain-{domain}-node-{number:02}"));
        let address: Arc<str> = format!("10.1.{domain}.{number}:7400").into();
        let failure_domain = FailureDomain::from(format!("domain-{domain}"));
        self.by_address
            .insert(Arc::clone(&address), self.nodes.len());
        self.vms.push(VmHint {
            id: id.clone(),
            address: Arc::clone(&address),
            failure_domain: failure_domain.clone(),
            is_leaving: false,
        });
        let settings = settings.clone();
        self.nodes.push(Node {
            membership: Membership::new(settings, id.clone(), address, failure_domain, INCARNATION),
            id,
            sent_bytes: 0,
            sent_messages: 0,
            vm_list_reads: 0,
        });
    }

    fn boot(&mut self, at: usize, interval_ms: u64) {
        let ready = MembershipEvent::OwnState {
            is_ready: true,
            is_leaving: false,
        };
        self.tell(at, ready);
        let generation = MembershipEvent::OwnGeneration {
            generation: 1,
            digest: format!("{:064x}", 1).into(),
        };
        self.tell(at, generation);
        let first_tick = Duration::from_millis(self.rng.random_range(0..interval_ms));
        self.push(at, first_tick, MembershipEvent::Tick);
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(first) = self.due.first_entry() {
            if first.key().0 > end {
                break;
            }
            self.now = first.key().0;
            let (at, event) = first.remove();
            if event == MembershipEvent::Tick {
                self.push(at, self.interval, MembershipEvent::Tick);
            }
            self.tell(at, event);
        }
        self.now = end;
    }

    fn tell(&mut self, at: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.start + self.now;
        let membership = &mut self.nodes[at].membership;
        membership.handle(event, now, &mut self.rng, &mut actions);
        for action in actions {
            self.carry_out(at, action);
        }
    }

    fn carry_out(&mut self, at: usize, action: MembershipAction) {
        let from = self.nodes[at].id.clone();
        match action {
            MembershipAction::SendHeartbeat { to, heartbeat } => {
                let event = MembershipEvent::Heard {
                    from,
                    incarnation: INCARNATION,
                    heartbeat: heartbeat.clone(),
                };
                self.send(at, &to, NodeMessage::Heartbeat(heartbeat), &event);
            }
            MembershipAction::SendSummary { to, summary } => {
                let event = MembershipEvent::SummaryHeard {
                    from,
                    summary: summary.clone(),
                };
                self.send(at, &to, NodeMessage::Summary(summary), &event);
            }
            MembershipAction::AskVmList => {
                self.nodes[at].vm_list_reads += 1;
                let vms = self.vms.clone();
                self.push(at, LATENCY, MembershipEvent::VmListRead { vms });
            }
            _ => {}
        }
    }

    fn send(&mut self, at: usize, to: &[Arc<str>], message: NodeMessage, event: &MembershipEvent) {
        let bytes = message_bytes(&self.nodes[at].id, message);
        for address in to {
            self.nodes[at].sent_messages += 1;
            self.nodes[at].sent_bytes += bytes;
            if let Some(receiver) = self.by_address.get(address).copied() {
                self.push(receiver, LATENCY, event.clone());
            }
        }
    }

    fn push(&mut self, to: usize, after: Duration, event: MembershipEvent) {
        self.numbered += 1;
        let at = self.now + after;
        self.due.insert((at, self.numbered), (to, event));
    }
}

/// The bytes of a message of `from` on the network.
pub(crate) fn message_bytes(from: &NodeId, message: NodeMessage) -> usize {
    let envelope = Envelope {
        from: from.clone(),
        incarnation: INCARNATION,
        message,
    };
    let bytes = envelope.to_bytes().expect("the message fits");
    bytes.len() + HEADER_BYTES
}
