//! One run of a failure domain or region.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::balancer::Balancer;
use super::busy_node::{BusyNode, ConnectionWay, Work};
use super::costs::{
    ACCEPT_PAUSE_US, CONNECT_PATIENCE_US, FIRST_EVENT_US, KERNEL_QUEUE, PLAIN_WORK_US,
};
use super::request::{Request, TryState};
use super::spans::{ConnectionRun, END_S, FROM_S, TO_S, count};

/// The share of requests that open a connection, before and while most new ones go to one node.
const OPENING_SHARE: f64 = 0.3;
const OPENING_SHARE_MEANWHILE: f64 = 0.8;

/// The share of new connections that goes to one node, and the share of answers after which a connection is kept.
const CONCENTRATED_SHARE: f64 = 0.9;
const KEPT_SHARE: f64 = 0.9;

/// For how long callers keep an idle connection.
const MAX_IDLE_US: u64 = 12_000_000;

/// The share of requests that are streams.
const STREAM_SHARE: f64 = 0.73;

/// When a run ends at the latest.
const LAST_US: u64 = 90_000_000;

/// What the callers of a failure domain or region ask, and the nodes that they ask.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionScenario {
    pub(crate) requests_per_s: f64,
    pub(crate) events_per_stream: u32,
    pub(crate) event_gap_us: u64,
    /// A node's share of a core.
    pub(crate) processor_share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    TurnDone(usize),
    Upstream(usize),
    GivesUp(usize),
    AcceptAgain(usize),
    Arrival,
    Second,
}

/// An idle connection of a caller to one of the busy nodes, or to any other.
#[derive(Clone, Copy, Debug)]
struct KeptConnection {
    node: Option<usize>,
    until_us: u64,
}

struct Run {
    scenario: ConnectionScenario,
    way: ConnectionWay,
    random: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
    nodes: Vec<BusyNode>,
    balancer: Balancer,
    kept: Vec<KeptConnection>,
}

pub(crate) fn simulate(
    scenario: ConnectionScenario,
    way: ConnectionWay,
    seed: u64,
) -> ConnectionRun {
    let mut run = Run {
        scenario,
        way,
        random: ChaCha8Rng::seed_from_u64(seed),
        now_us: 0,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        nodes: Vec::new(),
        balancer: Balancer::default(),
        kept: Vec::new(),
    };
    run.after(0, Event::Arrival);
    run.after(0, Event::Second);
    while let Some(Reverse((at_us, event))) = run.events.pop() {
        if at_us > LAST_US {
            break;
        }
        run.now_us = at_us;
        run.handle(event);
    }
    let first = run.nodes.first();
    ConnectionRun {
        nodes: run.nodes.len() as f64,
        over_s: first.map_or(0.0, |node| node.over_s() as f64),
        descriptors: { run.nodes.iter() }
            .map(|node| node.most_descriptors)
            .max()
            .unwrap_or(0) as f64,
        ..count(&run.requests)
    }
}

impl Run {
    fn after(&mut self, delay_us: u64, event: Event) {
        self.events.push(Reverse((self.now_us + delay_us, event)));
    }

    fn is_concentrated(&self) -> bool {
        (FROM_S..TO_S).contains(&(self.now_us / 1_000_000))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Second => self.check_nodes(),
            Event::TurnDone(node) => self.end_turn(node),
            Event::Upstream(request) => self.hear_upstream(request),
            Event::GivesUp(request) => {
                let request = &mut self.requests[request];
                if request.state == TryState::Unread {
                    request.turn_away(self.now_us);
                }
            }
            Event::AcceptAgain(node) => {
                self.nodes[node].is_accepting = false;
                self.accept_later(node);
            }
        }
    }

    fn arrive(&mut self) {
        if self.now_us >= END_S * 1_000_000 {
            return;
        }
        let pause = -self.random.random::<f64>().ln().min(0.0) / self.scenario.requests_per_s;
        self.after((pause * 1e6) as u64, Event::Arrival);
        let (node, is_kept) = self.connect();
        let is_stream = self.random.random::<f64>() < STREAM_SHARE;
        let events_left = match is_stream {
            true => self.scenario.events_per_stream,
            false => 1,
        };
        let request = self.requests.len();
        self.requests.push(Request {
            sent_us: self.now_us,
            is_stream,
            state: TryState::Unread,
            node,
            events_left,
            pending: 0,
            progress_us: self.now_us,
        });
        match node {
            // Other nodes have room.
            None => {
                self.requests[request].state = TryState::Served;
                self.keep(None);
            }
            Some(node) => self.send(request, node, is_kept),
        }
    }

    /// The busy node to which a request's connection leads, if any, and whether it was open already.
    fn connect(&mut self) -> (Option<usize>, bool) {
        let opening_share = match self.is_concentrated() {
            true => OPENING_SHARE_MEANWHILE,
            false => OPENING_SHARE,
        };
        let opens = self.random.random::<f64>() < opening_share;
        if let Some(kept) = (!opens).then(|| self.take_kept()).flatten() {
            return (kept.node, true);
        }
        let goes_to_one =
            self.is_concentrated() && self.random.random::<f64>() < CONCENTRATED_SHARE;
        (goes_to_one.then(|| self.target()), false)
    }

    fn target(&mut self) -> usize {
        let target = self.balancer.target();
        if target == self.nodes.len() {
            let node = BusyNode::new(self.way, self.scenario.processor_share);
            self.nodes.push(node);
        }
        target
    }

    fn take_kept(&mut self) -> Option<KeptConnection> {
        while !self.kept.is_empty() {
            let index = self.random.random_range(0..self.kept.len());
            let kept = self.kept.swap_remove(index);
            if kept.until_us > self.now_us {
                return Some(kept);
            }
            self.close(kept.node);
        }
        None
    }

    /// Ends an answer: the caller keeps its connection or closes it.
    fn keep(&mut self, node: Option<usize>) {
        if self.random.random::<f64>() < KEPT_SHARE {
            let until_us = self.now_us + MAX_IDLE_US;
            self.kept.push(KeptConnection { node, until_us });
        } else {
            self.close(node);
        }
    }

    fn close(&mut self, node: Option<usize>) {
        if let Some(node) = node {
            self.nodes[node].open -= 1;
        }
    }

    fn send(&mut self, request: usize, node: usize, is_kept: bool) {
        let patience_us = self.requests[request].patience_us();
        let has_queue_room = self.nodes[node].kernel_queue.len() < KERNEL_QUEUE;
        let patience_us = match is_kept || has_queue_room {
            true => patience_us,
            false => CONNECT_PATIENCE_US,
        };
        self.after(patience_us, Event::GivesUp(request));
        if is_kept {
            self.work(node, Work::Read(request));
        } else if has_queue_room {
            self.nodes[node].kernel_queue.push_back(request);
            self.accept_later(node);
        }
    }

    fn accept_later(&mut self, node: usize) {
        let busy = &mut self.nodes[node];
        if !busy.is_accepting && !busy.kernel_queue.is_empty() {
            busy.is_accepting = true;
            self.work(node, Work::Accept);
        }
    }

    fn work(&mut self, node: usize, work: Work) {
        self.nodes[node].push(work, self.now_us);
        if self.nodes[node].current.is_none() {
            self.begin_turn(node);
        }
    }

    fn begin_turn(&mut self, node: usize) {
        let requests = &self.requests;
        let began = self.nodes[node].begin(self.now_us, |request| requests[request].pending);
        if let Some(time_us) = began {
            self.after(time_us, Event::TurnDone(node));
        }
    }

    fn end_turn(&mut self, node: usize) {
        match self.nodes[node].current.take() {
            Some(Work::Accept) => self.accept(node),
            Some(Work::Read(request)) => self.read(request, node),
            Some(Work::Events(request)) => self.pass_on(request, node),
            Some(Work::Answer(request)) => self.end(request, node),
            Some(Work::ReadyCheck) => {
                let is_ready = self.nodes[node].is_ready();
                self.balancer.record(node, is_ready);
            }
            None => {}
        }
        self.nodes[node].note_descriptors();
        if self.nodes[node].current.is_none() {
            self.begin_turn(node);
        }
    }

    fn accept(&mut self, node: usize) {
        let count = self.nodes[node].accepted_next();
        let closes = self.nodes[node].closes_unread();
        for _ in 0..count {
            let Some(request) = self.nodes[node].kernel_queue.pop_front() else {
                break;
            };
            if self.requests[request].state != TryState::Unread {
                continue;
            }
            if closes {
                self.requests[request].turn_away(self.now_us);
                continue;
            }
            self.nodes[node].open += 1;
            self.nodes[node].push(Work::Read(request), self.now_us);
        }
        match count {
            0 => self.after(ACCEPT_PAUSE_US, Event::AcceptAgain(node)),
            _ => {
                self.nodes[node].is_accepting = false;
                self.accept_again(node);
            }
        }
    }

    /// Queues the accept loop's next turn behind the work of this one.
    fn accept_again(&mut self, node: usize) {
        let busy = &mut self.nodes[node];
        if !busy.kernel_queue.is_empty() {
            busy.is_accepting = true;
            busy.push(Work::Accept, self.now_us);
        }
    }

    fn read(&mut self, request: usize, node: usize) {
        if self.requests[request].state != TryState::Unread {
            return self.close(Some(node));
        }
        let busy = &mut self.nodes[node];
        if busy.refuses() || busy.is_out_of_descriptors() {
            self.requests[request].state = TryState::NotServed;
            return self.keep(Some(node));
        }
        busy.in_progress += 1;
        self.requests[request].state = TryState::Read;
        let work_us = match self.requests[request].is_stream {
            true => FIRST_EVENT_US,
            false => PLAIN_WORK_US,
        };
        self.after(work_us, Event::Upstream(request));
    }

    /// The upstream sends an answer, or an event of one.
    fn hear_upstream(&mut self, request: usize) {
        let sent = &mut self.requests[request];
        let Some(node) = sent.node.filter(|_| sent.state == TryState::Read) else {
            return;
        };
        sent.events_left -= 1;
        sent.pending += 1;
        let (is_stream, is_first, has_more) =
            (sent.is_stream, sent.pending == 1, sent.events_left > 0);
        if has_more {
            self.after(self.scenario.event_gap_us, Event::Upstream(request));
        }
        match is_stream {
            true if is_first => self.work(node, Work::Events(request)),
            true => {}
            false => self.work(node, Work::Answer(request)),
        }
    }

    /// Passes the events of a stream on that have arrived.
    fn pass_on(&mut self, request: usize, node: usize) {
        let sent = &mut self.requests[request];
        sent.pending = 0;
        if sent.is_given_up(self.now_us) {
            sent.state = TryState::NotServed;
            self.nodes[node].in_progress -= 1;
            return self.close(Some(node));
        }
        sent.progress_us = self.now_us;
        if sent.events_left == 0 {
            self.nodes[node].push(Work::Answer(request), self.now_us);
        }
    }

    fn end(&mut self, request: usize, node: usize) {
        let sent = &mut self.requests[request];
        let is_given_up = sent.is_given_up(self.now_us);
        sent.state = match is_given_up {
            true => TryState::NotServed,
            false => TryState::Served,
        };
        self.nodes[node].in_progress -= 1;
        match is_given_up {
            true => self.close(Some(node)),
            false => self.keep(Some(node)),
        }
    }

    fn check_nodes(&mut self) {
        let now_us = self.now_us;
        let expired: Vec<KeptConnection> =
            { self.kept.extract_if(.., |kept| kept.until_us <= now_us) }.collect();
        for kept in expired {
            self.close(kept.node);
        }
        for node in 0..self.nodes.len() {
            self.work(node, Work::ReadyCheck);
        }
        if self.now_us < LAST_US {
            self.after(1_000_000, Event::Second);
        }
    }
}
