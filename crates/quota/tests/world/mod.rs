//! Simulates nodes and lenders in three failure domains, with delayed, lost and duplicated messages
//! and network partitions.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use nutmegsail_base::TeamName;
use nutmegsail_quota::{
    Account, InitialFill, Lender, LoanId, LoanReply, LoanRequest, Quota, QuotaBounds, Quotas,
};
use strategies::arbitrary_event;

const DOMAINS: usize = 3;
const NODES: usize = 12;
const STEP: Duration = Duration::from_millis(10);
const REQUEST_TOKENS: u32 = 1_500;
const HEDGE_AFTER: Duration = Duration::from_millis(40);

/// A fault, or a change of the conditions, to inject into the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The lender of a failure domain restarts, or another node takes over its role.
    RestartLender(usize),
    /// Toggles whether a failure domain is cut off from the others.
    ToggleCutOff(usize),
    /// Toggles whether a node is frozen.
    ToggleFreeze(usize),
    /// A node restarts and loses its state.
    RestartNode(usize),
    /// Sets the maximum message delay, in steps.
    SetMaxDelay(u32),
    /// Sets the demand, in tenths of the quota.
    SetDemand(u32),
}

mod strategies {
    use super::Event;
    use proptest::prelude::*;

    pub fn arbitrary_event() -> BoxedStrategy<Event> {
        prop_oneof![
            (0usize..3).prop_map(Event::RestartLender),
            (0usize..3).prop_map(Event::ToggleCutOff),
            (0usize..12).prop_map(Event::ToggleFreeze),
            (0usize..12).prop_map(Event::RestartNode),
            (0u32..40).prop_map(Event::SetMaxDelay),
            (1u32..80).prop_map(Event::SetDemand),
        ]
        .boxed()
    }
}

impl proptest::arbitrary::Arbitrary for Event {
    type Parameters = ();
    type Strategy = proptest::strategy::BoxedStrategy<Self>;

    fn arbitrary_with((): ()) -> Self::Strategy {
        arbitrary_event()
    }
}

#[derive(Clone, Debug)]
enum Message {
    LoanRequest {
        node: usize,
        asked: Duration,
        ask: LoanRequest,
    },
    LoanReply {
        node: usize,
        asked: Duration,
        lent: LoanReply,
    },
    LenderLoanRequest {
        from: usize,
        ask: LoanRequest,
    },
    LenderLoanReply {
        to: usize,
        lent: LoanReply,
    },
}

struct Sent {
    arrives_at: Duration,
    between: (usize, usize),
    to_lender: usize,
    message: Message,
}

struct Node {
    account: Account,
    is_frozen: bool,
    /// For each request that waits for tokens, the time at which it gives up.
    waiting: VecDeque<Duration>,
    /// When the node last asked a lender.
    asked_at: Duration,
    /// How many times it has asked since the last reply.
    unanswered: usize,
    /// Requests without a reply. Duplicate replies are ignored, as in a real node.
    open: HashSet<LoanId>,
}

pub struct World {
    now: Duration,
    bounds: QuotaBounds,
    quota: Quota,
    team: TeamName,
    lenders: Vec<Lender>,
    nodes: Vec<Node>,
    is_cut_off: [bool; DOMAINS],
    delay: Duration,
    sent: Vec<Sent>,
    spent: Vec<(Duration, u32)>,
    state: u64,
    /// The callers' demand, as a fraction of the quota.
    pub demand_share: f64,
    pub requested: u32,
    pub refused: u32,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let bounds = QuotaBounds {
            slack_tokens: 11_000.0,
            failure_domains: DOMAINS as u32,
            ..QuotaBounds::default()
        };
        let quota = Quota {
            tokens_per_s: 60_000.0,
            burst_tokens: 60_000.0,
        };
        let mut world = Self {
            now: Duration::from_secs(100),
            bounds,
            quota,
            team: "desk".into(),
            lenders: Vec::new(),
            nodes: Vec::new(),
            is_cut_off: [false; DOMAINS],
            delay: Duration::from_millis(1),
            sent: Vec::new(),
            spent: Vec::new(),
            state: seed | 1,
            demand_share: 3.0,
            requested: 0,
            refused: 0,
        };
        world.lenders = (0..DOMAINS)
            .map(|_| world.lender(InitialFill::Full))
            .collect();
        world.nodes = (0..NODES).map(|_| Node::new()).collect();
        world
    }

    fn lender(&mut self, fill: InitialFill) -> Lender {
        let first = LoanId((self.random() * 1e15) as u64);
        let mut lender = Lender::new(self.bounds, fill, first);
        let quotas = Quotas::from([(self.team.clone(), self.quota)]);
        lender.set_quotas(&quotas, self.now);
        lender
    }

    /// A random number in [0, 1) from a xorshift generator.
    fn random(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::RestartLender(domain) => self.lenders[domain] = self.lender(InitialFill::Empty),
            Event::ToggleCutOff(domain) => self.is_cut_off[domain] = !self.is_cut_off[domain],
            Event::ToggleFreeze(node) => {
                let node = &mut self.nodes[node];
                node.is_frozen = !node.is_frozen;
            }
            Event::RestartNode(node) => self.nodes[node] = Node::new(),
            Event::SetMaxDelay(steps) => self.delay = STEP * steps,
            Event::SetDemand(tenths) => self.demand_share = f64::from(tenths) / 10.0,
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_due();
        let rate = self.quota.tokens_per_s * self.demand_share * STEP.as_secs_f64();
        let mut requests = rate / f64::from(REQUEST_TOKENS);
        while requests > 0.0 {
            if self.random() < requests {
                // Half of the requests go to the first failure domain; the rest to all nodes.
                let index = match self.random() < 0.5 {
                    true => (self.random() * 4.0) as usize * DOMAINS,
                    false => (self.random() * NODES as f64) as usize,
                };
                self.request(index.min(NODES - 1));
            }
            requests -= 1.0;
        }
        for node in 0..NODES {
            self.spend(node);
            let node_state = &self.nodes[node];
            let is_late = self.now - node_state.asked_at >= HEDGE_AFTER;
            if is_late && !node_state.is_frozen && !node_state.waiting.is_empty() {
                self.ask(node);
            }
        }
    }

    fn request(&mut self, node: usize) {
        if self.nodes[node].is_frozen {
            return;
        }
        self.requested += 1;
        let until = self.now + Duration::from_millis(250);
        let account = &mut self.nodes[node].account;
        account.record_demand(&self.team, REQUEST_TOKENS, self.now);
        self.nodes[node].waiting.push_back(until);
        self.spend(node);
        if !self.nodes[node].waiting.is_empty() {
            self.ask(node);
        }
    }

    fn ask(&mut self, node: usize) {
        let (team, now) = (self.team.clone(), self.now);
        let node_state = &mut self.nodes[node];
        let ask = node_state.account.loan_request(&team, REQUEST_TOKENS, now);
        node_state.open.insert(ask.id);
        node_state.asked_at = now;
        // Ask the own failure domain's lender first, then the next one if there was no reply.
        let (lender_domain, asked) = ((node + node_state.unanswered) % DOMAINS, now);
        node_state.unanswered += 1;
        self.send(
            node % DOMAINS,
            lender_domain,
            &Message::LoanRequest { node, asked, ask },
        );
    }

    fn spend(&mut self, node: usize) {
        let (team, now) = (self.team.clone(), self.now);
        let node_state = &mut self.nodes[node];
        if node_state.is_frozen {
            return;
        }
        while let Some(until) = node_state.waiting.front().copied() {
            if now > until {
                node_state.waiting.pop_front();
                self.refused += 1;
            } else if let Some(reserved) = node_state.account.reserve(&team, REQUEST_TOKENS, now) {
                assert!(reserved.is_valid(now));
                node_state.waiting.pop_front();
                self.spent.push((now, REQUEST_TOKENS));
            } else {
                break;
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = match self.random() {
            lost if lost < 0.01 => 0,
            twice if twice > 0.99 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let message_delay = self.delay.mul_f64(self.random());
            self.sent.push(Sent {
                arrives_at: self.now + message_delay,
                between: (from, to),
                to_lender: to,
                message: message.clone(),
            });
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| sent.arrives_at <= now);
        self.sent = later;
        for sent in due {
            let (from, to) = sent.between;
            if from != to && (self.is_cut_off[from] || self.is_cut_off[to]) {
                continue;
            }
            self.deliver(sent.to_lender, sent.message);
        }
    }

    fn deliver(&mut self, domain: usize, message: Message) {
        match message {
            Message::LoanRequest { node, asked, ask } => {
                let lent = self.lenders[domain].lend_to_node(&ask, self.now);
                if lent.tokens == 0 {
                    let asks =
                        self.lenders[domain].borrow_requests(&ask.team, DOMAINS - 1, self.now);
                    let others = (0..DOMAINS).filter(|other| *other != domain);
                    for (other, ask) in others.zip(asks) {
                        self.send(
                            domain,
                            other,
                            &Message::LenderLoanRequest { from: domain, ask },
                        );
                    }
                }
                self.send(
                    domain,
                    node % DOMAINS,
                    &Message::LoanReply { node, asked, lent },
                );
            }
            Message::LoanReply { node, asked, lent } => {
                if self.nodes[node].is_frozen || !self.nodes[node].open.remove(&lent.id) {
                    return;
                }
                self.nodes[node].unanswered = 0;
                self.nodes[node].account.add_loan(&lent, asked);
                self.spend(node);
                if lent.tokens == 0 && !self.nodes[node].waiting.is_empty() {
                    self.ask(node);
                }
            }
            Message::LenderLoanRequest { from, ask } => {
                let lent = self.lenders[domain].lend_to_lender(&ask, self.now);
                self.send(domain, from, &Message::LenderLoanReply { to: from, lent });
            }
            Message::LenderLoanReply { to, lent } => self.lenders[to].receive_loan(&lent, self.now),
        }
    }

    pub fn quota(&self) -> Quota {
        self.quota
    }

    pub fn limit(&self) -> f64 {
        self.bounds.window_limit(self.quota)
    }

    pub fn spent_tokens(&self) -> f64 {
        self.spent
            .iter()
            .map(|(_, tokens)| f64::from(*tokens))
            .sum()
    }

    pub fn max_spent_in_a_window(&self) -> f64 {
        let (mut most, mut sum, mut first) = (0.0_f64, 0.0, 0);
        for (at, tokens) in &self.spent {
            sum += f64::from(*tokens);
            while *at - self.spent[first].0 >= self.bounds.window {
                sum -= f64::from(self.spent[first].1);
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

impl Node {
    fn new() -> Self {
        Self {
            account: Account::default(),
            is_frozen: false,
            waiting: VecDeque::new(),
            asked_at: Duration::ZERO,
            unanswered: 0,
            open: HashSet::new(),
        }
    }
}
