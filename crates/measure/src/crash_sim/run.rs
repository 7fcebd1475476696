//! One run of a fleet whose upstreams crash.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{RequestContent, RequestDigest, STRIKES_LIMIT, Suspicion};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ways::{CrashWay, DOMAINS, Fleet, broken};

const LENGTH: Duration = Duration::from_secs(40);

/// Requests of one node in a second, and upstreams for each node.
const REQUESTS_PER_NODE: f64 = 6.0;
const UPSTREAMS_PER_NODE: usize = 2;

/// How long requests are read before they begin, and how long they run then, in milliseconds.
const READING_MS: std::ops::Range<u64> = 50..350;
const RUNNING_MS: std::ops::Range<u64> = 300..5_000;

/// How long after its beginning a request crashes its upstream.
const CRASHES_AFTER: Duration = Duration::from_millis(60);

/// How long an upstream that crashed is away.
const DOWN: Duration = Duration::from_secs(3);

/// How often a caller whose answer broke off asks again, and when; a stream that may be resumed goes on at once.
const REPEATS: u8 = 3;
const REPEATED_AFTER: Duration = Duration::from_millis(300);
const RESUMED_AFTER: Duration = Duration::from_millis(5);

const EXCHANGE: Duration = Duration::from_millis(100);
const TRIAL_LOOK: Duration = Duration::from_millis(20);

/// From when on after the third end a send is late.
const TOLD: Duration = Duration::from_secs(3);

/// What befalls a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashScenario {
    pub(crate) nodes: usize,
    /// How long after each other a caller repeats a request that crashes upstreams; it does from second 5 to 35.
    pub(crate) poison_gap: Option<Duration>,
    /// The part of the upstreams that crashes at once at seconds 8, 14, 20 and 26, for another reason.
    pub(crate) crash_share: f64,
    /// The part of the upstreams that crashes each second, for another reason.
    pub(crate) flap_share: f64,
    /// Whether a failure domain is cut off from second 6 to 12.
    pub(crate) has_cut: bool,
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashRun {
    /// Upstreams that the repeated request crashed.
    pub(crate) ends: usize,
    /// Its sends later than three seconds after the third end, and not within three of a cut.
    pub(crate) late_sends: usize,
    /// Answers to others that broke off.
    pub(crate) broken: usize,
    /// Requests that crash nothing and were refused for it.
    pub(crate) refused_falsely: usize,
    pub(crate) requests: usize,
    /// From the third end until every node knew.
    pub(crate) known_after_ms: f64,
    /// Messages of a node in a second.
    pub(crate) messages_per_node_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    digest: RequestDigest,
    node: usize,
    is_poison: bool,
    is_resumable: bool,
    repeats_left: u8,
    waits_until: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    asked: Asked,
    begins: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Poison,
    Send(usize),
    Ended { request: usize, upstream: usize },
    Crash { upstream: usize, request: usize },
    Up(usize),
    CrashMany,
    Flap,
    Exchange,
}

struct World {
    scenario: CrashScenario,
    random: ChaCha8Rng,
    origin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    fleet: Fleet,
    /// Requests that wait to be sent, and those at upstreams, by number.
    waiting: HashMap<usize, Asked>,
    running: Vec<HashMap<usize, Running>>,
    is_up: Vec<bool>,
    starts: Vec<u64>,
    numbers: usize,
    third_end: Option<Duration>,
    run: CrashRun,
}

pub(crate) fn simulate(scenario: CrashScenario, way: CrashWay, seed: u64) -> CrashRun {
    let upstreams = scenario.nodes * UPSTREAMS_PER_NODE;
    let mut world = World {
        scenario,
        random: ChaCha8Rng::seed_from_u64(seed),
        origin: Instant::now(),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        scheduled: 0,
        fleet: Fleet::new(way, scenario.nodes),
        waiting: HashMap::new(),
        running: vec![HashMap::new(); upstreams],
        is_up: vec![true; upstreams],
        starts: vec![0; upstreams],
        numbers: 0,
        third_end: None,
        run: CrashRun::default(),
    };
    world.begin();
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > LENGTH {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    let fleet_s = scenario.nodes as f64 * LENGTH.as_secs_f64();
    world.run.messages_per_node_s = world.fleet.messages as f64 / fleet_s;
    world.run
}

impl World {
    fn begin(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        self.schedule(EXCHANGE, Event::Exchange);
        if self.scenario.poison_gap.is_some() {
            self.schedule(Duration::from_secs(5), Event::Poison);
        }
        for second in [8, 14, 20, 26] {
            self.schedule(Duration::from_secs(second), Event::CrashMany);
        }
        self.schedule(Duration::from_secs(8), Event::Flap);
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Poison => self.poison(),
            Event::Send(request) => {
                if let Some(asked) = self.waiting.remove(&request) {
                    self.send(asked);
                }
            }
            Event::Ended { request, upstream } => self.end(request, upstream),
            Event::Crash { upstream, request } => {
                if self.running[upstream].contains_key(&request) {
                    self.count_end();
                    self.crash(upstream);
                }
            }
            Event::Up(upstream) => self.is_up[upstream] = true,
            Event::CrashMany => self.crash_share(self.scenario.crash_share),
            Event::Flap => {
                self.crash_share(self.scenario.flap_share);
                self.schedule(self.now + Duration::from_secs(1), Event::Flap);
            }
            Event::Exchange => self.exchange(),
        }
    }

    fn arrive(&mut self) {
        let rate = REQUESTS_PER_NODE * self.scenario.nodes as f64;
        let gap = -self.random.random::<f64>().max(1e-12).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        self.numbers += 1;
        self.run.requests += 1;
        let asked = Asked {
            digest: digest(self.numbers),
            node: self.random.random_range(0..self.scenario.nodes),
            is_poison: false,
            is_resumable: self.random.random::<f64>() < 0.3,
            repeats_left: REPEATS,
            waits_until: None,
        };
        self.send(asked);
    }

    fn poison(&mut self) {
        let Some(gap) = self.scenario.poison_gap else {
            return;
        };
        if self.now < Duration::from_secs(35) {
            self.schedule(self.now + gap, Event::Poison);
        }
        let asked = Asked {
            digest: digest(0),
            node: self.random.random_range(0..self.scenario.nodes),
            is_poison: true,
            is_resumable: false,
            repeats_left: 0,
            waits_until: None,
        };
        self.send(asked);
    }

    fn send(&mut self, mut asked: Asked) {
        let now = self.origin + self.now;
        match self.fleet.suspicion(asked.node, &asked.digest, now) {
            Suspicion::Crashes => {
                self.run.refused_falsely += usize::from(!asked.is_poison);
                return;
            }
            Suspicion::OnTrial => {
                let until = *asked
                    .waits_until
                    .get_or_insert(self.now + Duration::from_secs(1));
                if self.now < until {
                    self.send_later(asked, TRIAL_LOOK);
                }
                return;
            }
            Suspicion::None => {}
        }
        let Some(upstream) = self.choose(asked.node) else {
            return;
        };
        self.fleet.begin_trial(asked.node, &asked.digest, now);
        if asked.is_poison && self.is_late() {
            self.run.late_sends += 1;
        }
        self.numbers += 1;
        let request = self.numbers;
        let reading = Duration::from_millis(self.random.random_range(READING_MS));
        let running = Duration::from_millis(self.random.random_range(RUNNING_MS));
        let begins = self.now + reading;
        self.running[upstream].insert(request, Running { asked, begins });
        let (at, event) = match asked.is_poison {
            true => (begins + CRASHES_AFTER, Event::Crash { upstream, request }),
            false => (begins + running, Event::Ended { request, upstream }),
        };
        self.schedule(at, event);
    }

    fn send_later(&mut self, asked: Asked, after: Duration) {
        self.numbers += 1;
        self.waiting.insert(self.numbers, asked);
        self.schedule(self.now + after, Event::Send(self.numbers));
    }

    fn choose(&mut self, node: usize) -> Option<usize> {
        for _ in 0..50 {
            let upstream = self.random.random_range(0..self.is_up.len());
            if self.is_up[upstream] && !self.is_cut(node, upstream) {
                return Some(upstream);
            }
        }
        None
    }

    /// Whether the failure domains of two numbers are cut off from each other.
    fn is_cut(&self, one: usize, other: usize) -> bool {
        let cut = Duration::from_secs(6)..Duration::from_secs(12);
        let differ = (one.is_multiple_of(DOMAINS)) != (other.is_multiple_of(DOMAINS));
        self.scenario.has_cut && cut.contains(&self.now) && differ
    }

    fn is_late(&self) -> bool {
        let around_cut = Duration::from_secs(6)..Duration::from_secs(15);
        let is_excused = self.scenario.has_cut && around_cut.contains(&self.now);
        let third = self.third_end;
        third.is_some_and(|third| self.now > third + TOLD) && !is_excused
    }

    fn end(&mut self, request: usize, upstream: usize) {
        if let Some(ended) = self.running[upstream].remove(&request) {
            let (node, digest) = (ended.asked.node, ended.asked.digest);
            self.fleet.end_trial(node, &digest);
            self.fleet.clear(node, &digest, self.origin + self.now);
        }
    }

    fn count_end(&mut self) {
        self.run.ends += 1;
        if self.run.ends == STRIKES_LIMIT {
            self.third_end = Some(self.now);
        }
    }

    fn crash_share(&mut self, share: f64) {
        let count = (share * self.is_up.len() as f64).round() as usize;
        for _ in 0..count {
            let upstream = self.random.random_range(0..self.is_up.len());
            if self.is_up[upstream] {
                self.crash(upstream);
            }
        }
    }

    fn crash(&mut self, upstream: usize) {
        self.is_up[upstream] = false;
        self.starts[upstream] += 1;
        self.schedule(self.now + DOWN, Event::Up(upstream));
        let id: UpstreamId = format!("engine-{upstream}@{}", self.starts[upstream])
            .as_str()
            .into();
        let now = self.origin + self.now;
        let mut there: Vec<(usize, Running)> = self.running[upstream].drain().collect();
        there.sort_by_key(|(request, _)| *request);
        for (_, Running { asked, begins }) in there {
            self.fleet.end_trial(asked.node, &asked.digest);
            let broken = broken(asked.digest, Some(self.origin + begins), now);
            if self.fleet.is_blamed(&broken) {
                self.fleet.strike(asked.node, asked.digest, &id, now);
            }
            if asked.is_poison {
                continue;
            }
            self.run.broken += 1;
            self.repeat(asked);
        }
    }

    fn repeat(&mut self, mut asked: Asked) {
        asked.waits_until = None;
        if asked.is_resumable {
            asked.is_resumable = false;
            self.send_later(asked, RESUMED_AFTER);
        } else if asked.repeats_left > 0 {
            asked.repeats_left -= 1;
            asked.node = self.random.random_range(0..self.scenario.nodes);
            self.send_later(asked, REPEATED_AFTER);
        }
    }

    fn exchange(&mut self) {
        let (now, cut) = (self.origin + self.now, self.scenario.has_cut);
        let is_cut = cut && (6.0..12.0).contains(&self.now.as_secs_f64());
        let reaches = |one: usize, other: usize| {
            !is_cut || one.is_multiple_of(DOMAINS) == other.is_multiple_of(DOMAINS)
        };
        self.fleet.exchange(now, &mut self.random, reaches);
        let third = self.third_end.filter(|_| self.run.known_after_ms == 0.0);
        if let Some(third) = third.filter(|_| self.fleet.knows_everywhere(&digest(0), now)) {
            self.run.known_after_ms = (self.now - third).as_secs_f64() * 1_000.0;
        }
        self.schedule(self.now + EXCHANGE, Event::Exchange);
    }
}

/// The digest of the request with this number; 0 is the one that crashes upstreams.
fn digest(number: usize) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        method: "POST",
        host: "spa",
        path: "/notes",
        team: None,
        body: &number.to_le_bytes(),
    })
}
