//! A node that gets most new connections: one traffic thread with a share of a core.

use std::collections::VecDeque;

use super::costs::{
    ACCEPT_US, ACCEPTED_PER_TURN, ANSWER_US, CLOSE_US, DESCRIPTORS, EVENT_NS, FORWARD_US,
    MORE_EVENT_NS, OWN_DESCRIPTORS, REFUSAL_US, REQUEST_US,
};

/// How long a task waits for the thread from when on the node counts as overloaded, and until when it does.
const OVERLOADED_LAG_US: u64 = 100_000;
const RELIEVED_LAG_US: u64 = 30_000;

/// From how many descriptors in use on the node counts as overloaded.
const OVERLOADED_DESCRIPTORS: usize = DESCRIPTORS * 4 / 5;

/// What a node does with new connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionWay {
    TakesAll,
    /// It takes all, and events that wait together cost as much as events that are passed on one by one.
    TakesAllApart,
    /// Accepts no connections while it is overloaded.
    StopsAccepting,
    /// Answers requests with 503 while it is overloaded.
    Refuses,
    /// Is not ready while it is overloaded.
    IsNotReady,
    /// Closes new connections unread while it is overloaded.
    ClosesUnread,
    /// Closes new connections unread while four fifths of the descriptors are in use.
    ClosesForDescriptors,
    /// Forwards requests to another node while it is overloaded.
    Forwards,
}

/// What the traffic thread does in one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Work {
    /// Takes connections from the kernel's queue.
    Accept,
    Read(usize),
    Events(usize),
    Answer(usize),
    ReadyCheck,
}

#[derive(Debug)]
pub(super) struct BusyNode {
    way: ConnectionWay,
    /// Of a core.
    share: f64,
    queue: VecDeque<(Work, u64)>,
    pub(super) current: Option<Work>,
    pub(super) is_accepting: bool,
    pub(super) kernel_queue: VecDeque<usize>,
    /// Callers' connections, and requests at upstreams.
    pub(super) open: usize,
    pub(super) in_progress: usize,
    pub(super) most_descriptors: usize,
    is_lagging: bool,
    /// How long it was busy in each second.
    busy_us: Vec<u64>,
}

impl BusyNode {
    pub(super) fn new(way: ConnectionWay, share: f64) -> Self {
        Self {
            way,
            share,
            queue: VecDeque::new(),
            current: None,
            is_accepting: false,
            kernel_queue: VecDeque::new(),
            open: 0,
            in_progress: 0,
            most_descriptors: 0,
            is_lagging: false,
            busy_us: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, work: Work, now_us: u64) {
        self.queue.push_back((work, now_us));
    }

    /// Begins the next turn; returns the work and how long it takes.
    pub(super) fn begin(&mut self, now_us: u64, pending: impl Fn(usize) -> u32) -> Option<u64> {
        let (work, queued_us) = self.queue.pop_front()?;
        let lag_us = now_us - queued_us;
        self.is_lagging = match self.is_lagging {
            true => lag_us > RELIEVED_LAG_US,
            false => lag_us > OVERLOADED_LAG_US,
        };
        let cost_us = self.cost_us(work, pending);
        self.current = Some(work);
        let time_us = (cost_us as f64 / self.share).ceil() as u64;
        let second = (now_us / 1_000_000) as usize;
        if self.busy_us.len() <= second {
            self.busy_us.resize(second + 1, 0);
        }
        self.busy_us[second] += time_us;
        Some(time_us)
    }

    fn cost_us(&self, work: Work, pending: impl Fn(usize) -> u32) -> u64 {
        match work {
            Work::Accept => {
                self.accepted_next() as u64
                    * (ACCEPT_US + CLOSE_US * u64::from(self.closes_unread()))
            }
            Work::Read(_) if self.refuses() => REFUSAL_US,
            Work::Read(_) if self.forwards() => REQUEST_US + FORWARD_US,
            Work::Read(_) => REQUEST_US,
            Work::Events(request) => self.events_us(pending(request)),
            Work::Answer(_) => ANSWER_US,
            Work::ReadyCheck => REQUEST_US,
        }
    }

    fn events_us(&self, count: u32) -> u64 {
        let more_ns = match self.way {
            ConnectionWay::TakesAllApart => EVENT_NS,
            _ => MORE_EVENT_NS,
        };
        (EVENT_NS + more_ns * u64::from(count.saturating_sub(1))) / 1_000
    }

    /// How many connections the accept loop takes in its turn.
    pub(super) fn accepted_next(&self) -> usize {
        let free = DESCRIPTORS.saturating_sub(self.descriptors());
        let waiting = self.kernel_queue.len().min(ACCEPTED_PER_TURN);
        match self.stops_accepting() {
            true => 0,
            false => waiting.min(free),
        }
    }

    pub(super) fn descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.open + self.in_progress
    }

    /// Records the descriptors in use now.
    pub(super) fn note_descriptors(&mut self) {
        self.most_descriptors = self.most_descriptors.max(self.descriptors());
    }

    /// Whether no descriptor is left for a connection to an upstream.
    pub(super) fn is_out_of_descriptors(&self) -> bool {
        self.descriptors() >= DESCRIPTORS
    }

    fn is_short_of_descriptors(&self) -> bool {
        self.descriptors() >= OVERLOADED_DESCRIPTORS
    }

    fn is_overloaded(&self) -> bool {
        self.is_lagging || self.is_short_of_descriptors()
    }

    fn stops_accepting(&self) -> bool {
        match self.way {
            ConnectionWay::StopsAccepting => self.is_overloaded(),
            _ => false,
        }
    }

    /// Whether connections are closed as they are accepted.
    pub(super) fn closes_unread(&self) -> bool {
        match self.way {
            ConnectionWay::ClosesUnread => self.is_overloaded(),
            ConnectionWay::ClosesForDescriptors => self.is_short_of_descriptors(),
            _ => false,
        }
    }

    /// Whether requests are refused.
    pub(super) fn refuses(&self) -> bool {
        self.way == ConnectionWay::Refuses && self.is_overloaded()
    }

    fn forwards(&self) -> bool {
        self.way == ConnectionWay::Forwards && self.is_overloaded()
    }

    pub(super) fn is_ready(&self) -> bool {
        self.way != ConnectionWay::IsNotReady || !self.is_overloaded()
    }

    /// In how many seconds it had no processor time left.
    pub(super) fn over_s(&self) -> usize {
        let over = self.busy_us.iter().filter(|busy_us| **busy_us > 950_000);
        over.count()
    }
}
