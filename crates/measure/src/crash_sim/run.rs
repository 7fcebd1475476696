//! One run of a fleet whose upstreams crash.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{BrokenRequest, PART_STARTUP_PERIOD, RequestTraits, Suspicion};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::prompts::{GuiltyPrompts, Prompt};
use super::ways::{CrashWay, DOMAINS, Fleet, Placement};

const LENGTH: Duration = Duration::from_secs(40);

/// Requests of one node in a second, and upstreams for each node.
const REQUESTS_PER_NODE: f64 = 6.0;
const UPSTREAMS_PER_NODE: usize = 2;

/// How long requests are read before they begin, and how long they run then, in milliseconds.
const READING_MS: std::ops::Range<u64> = 50..350;
const RUNNING_MS: std::ops::Range<u64> = 300..5_000;

/// The share of requests that go to the upstream that has their shared parts, if it is up.
const HOME_SHARE: f64 = 0.7;

/// How long after its beginning a request crashes its upstream.
const CRASHES_AFTER: Duration = Duration::from_millis(60);

/// How long an upstream that crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// How often a caller whose answer broke off repeats its request, and when; a stream that may be resumed is resumed at once.
const REPEATS: u8 = 3;
const REPEATED_AFTER: Duration = Duration::from_millis(300);
const RESUMED_AFTER: Duration = Duration::from_millis(5);

const EXCHANGE: Duration = Duration::from_millis(100);
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a datagram takes, with what its sender and receiver do.
const DATAGRAM: Duration = Duration::from_millis(2);

/// When requests that crash upstreams come, and when a part that was harmless before turns.
const GUILTY_TIME: std::ops::Range<Duration> = Duration::from_secs(5)..Duration::from_secs(35);
const TURNED_AT: Duration = Duration::from_secs(10);

/// When companions of a part that crashes upstreams come alone.
const COMPANION_GAP: Duration = Duration::from_secs(2);

/// The time in which nodes in touch learn of something.
const CONTACT: Duration = Duration::from_secs(3);

/// After how many ends sends are late, [`CONTACT`] after the last of them.
const LATE_AFTER_PARTS: usize = 5;
const LATE_AFTER_REQUESTS: usize = 3;

/// What crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guilty {
    /// One request, which its caller repeats.
    Request,
    /// Requests that are all different, by parts of their prompts.
    Prompts(GuiltyPrompts),
}

/// What befalls a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashScenario {
    pub(crate) nodes: usize,
    /// What crashes upstreams, and the time from one such request to the next.
    pub(crate) guilty: Option<(Guilty, Duration)>,
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
    /// Upstreams that guilty requests crashed.
    pub(crate) ends: usize,
    /// Sends of guilty requests after the time in which the fleet has to know, and not within that time of a cut.
    pub(crate) late_sends: usize,
    /// Answers to others that broke off.
    pub(crate) broken: usize,
    /// Harmless requests that were refused, and among them those with a common part.
    pub(crate) refused_falsely: usize,
    pub(crate) refused_common: usize,
    /// Harmless requests that were held back, and among them those with a common part.
    pub(crate) held: usize,
    pub(crate) held_common: usize,
    pub(crate) requests: usize,
    /// From the last end that has to be known until every node knew.
    pub(crate) known_after_ms: f64,
    /// What a node sends in a second.
    pub(crate) messages_per_node_s: f64,
    pub(crate) bytes_per_node_s: f64,
    /// The share of harmless requests with the guilty ones' first part that began at the first try, before any guilty
    /// request and after nodes had to know.
    pub(crate) begun_before: f64,
    pub(crate) begun_after: f64,
}

#[derive(Clone, Debug)]
struct Asked {
    prompt: Prompt,
    traits: RequestTraits,
    node: usize,
    is_guilty: bool,
    is_resumable: bool,
    is_first_try: bool,
    repeats_left: u8,
    waits_until: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Running {
    asked: Asked,
    sent: Duration,
    begins: Duration,
    is_starting: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Guilty,
    Companion,
    Send(usize),
    Began { request: usize, upstream: usize },
    RunsOn { request: usize, upstream: usize },
    Ended { request: usize, upstream: usize },
    Crash { upstream: usize, request: usize },
    Up(usize),
    CrashMany,
    Flap,
    Exchange,
    News(usize),
}

/// How many requests were sent and how many began.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    begun: usize,
}

impl Tally {
    fn share(self) -> f64 {
        self.begun as f64 / self.sent.max(1) as f64
    }
}

struct World {
    scenario: CrashScenario,
    random: ChaCha8Rng,
    origin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    fleet: Fleet,
    /// Nodes whose news is about to be sent.
    has_news: BTreeSet<usize>,
    /// Requests that wait to be sent, and those at upstreams, by number.
    waiting: HashMap<usize, Asked>,
    running: Vec<HashMap<usize, Running>>,
    is_up: Vec<bool>,
    starts: Vec<u64>,
    numbers: usize,
    guilty_count: usize,
    /// The end from which on nodes have to know.
    last_allowed_end: Option<Duration>,
    before: Tally,
    after: Tally,
    run: CrashRun,
}

pub(crate) fn simulate(scenario: CrashScenario, way: CrashWay, seed: u64) -> CrashRun {
    let upstreams = scenario.nodes * UPSTREAMS_PER_NODE;
    let mut world = World {
        scenario,
        random: ChaCha8Rng::seed_from_u64(seed),
        origin: Instant::now() + Duration::from_secs(3_600),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        scheduled: 0,
        fleet: Fleet::new(way, scenario.nodes),
        has_news: BTreeSet::new(),
        waiting: HashMap::new(),
        running: vec![HashMap::new(); upstreams],
        is_up: vec![true; upstreams],
        starts: vec![0; upstreams],
        numbers: 0,
        guilty_count: 0,
        last_allowed_end: None,
        before: Tally::default(),
        after: Tally::default(),
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
    world.run.bytes_per_node_s = world.fleet.bytes as f64 / fleet_s;
    world.run.begun_before = world.before.share();
    world.run.begun_after = world.after.share();
    world.run
}

impl World {
    fn begin(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        self.schedule(EXCHANGE, Event::Exchange);
        if self.scenario.guilty.is_some() {
            self.schedule(GUILTY_TIME.start, Event::Guilty);
            self.schedule(GUILTY_TIME.start, Event::Companion);
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
            Event::Guilty => self.arrive_guilty(),
            Event::Companion => self.arrive_companion(),
            Event::Send(request) => {
                if let Some(asked) = self.waiting.remove(&request) {
                    self.send(asked);
                }
            }
            Event::Began { request, upstream } => self.count_begun(request, upstream),
            Event::RunsOn { request, upstream } => self.run_on(request, upstream),
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
            Event::News(node) => self.send_news(node),
        }
    }

    fn at(&self) -> Instant {
        self.origin + self.now
    }

    fn arrive(&mut self) {
        let rate = REQUESTS_PER_NODE * self.scenario.nodes as f64;
        let gap = -self.random.random::<f64>().max(1e-12).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        self.numbers += 1;
        let prompt = Prompt::usual(&mut self.random);
        self.ask(prompt, self.numbers);
    }

    fn arrive_companion(&mut self) {
        self.schedule(self.now + COMPANION_GAP, Event::Companion);
        let companions = Guilty::Prompts(GuiltyPrompts::WithCompanion);
        if self
            .scenario
            .guilty
            .is_some_and(|(guilty, _)| guilty == companions)
        {
            self.numbers += 1;
            self.ask(Prompt::companion(), self.numbers);
        }
    }

    /// A harmless request arrives.
    fn ask(&mut self, prompt: Prompt, content: usize) {
        self.run.requests += 1;
        let asked = Asked {
            traits: prompt.traits(content, self.fleet.knows_parts()),
            prompt,
            node: self.random.random_range(0..self.scenario.nodes),
            is_guilty: false,
            is_resumable: self.random.random::<f64>() < 0.3,
            is_first_try: true,
            repeats_left: REPEATS,
            waits_until: None,
        };
        self.send(asked);
    }

    fn arrive_guilty(&mut self) {
        let Some((guilty, gap)) = self.scenario.guilty else {
            return;
        };
        if self.now < GUILTY_TIME.end {
            self.schedule(self.now + gap, Event::Guilty);
        }
        self.guilty_count += 1;
        let number = self.guilty_count;
        let (prompt, content) = match guilty {
            Guilty::Request => (Prompt::guilty(GuiltyPrompts::OnePart, 0, true), 0),
            Guilty::Prompts(which) => {
                let is_harmless = which == GuiltyPrompts::Turned && self.now < TURNED_AT;
                let content = usize::MAX - number;
                (Prompt::guilty(which, number, is_harmless), content)
            }
        };
        let asked = Asked {
            traits: prompt.traits(content, self.fleet.knows_parts()),
            prompt,
            node: self.random.random_range(0..self.scenario.nodes),
            is_guilty: guilty == Guilty::Request || prompt.guilty.is_some(),
            is_resumable: self.random.random::<f64>() < 0.3,
            is_first_try: false,
            repeats_left: 0,
            waits_until: None,
        };
        self.send(asked);
    }

    fn send(&mut self, mut asked: Asked) {
        let now = self.at();
        match self.fleet.suspicion(asked.node, &asked.traits, now) {
            Suspicion::Crashes => {
                let is_counted = !asked.is_guilty;
                self.run.refused_falsely += usize::from(is_counted);
                self.run.refused_common += usize::from(is_counted && asked.prompt.is_common());
                self.count_first_try(&asked);
                return;
            }
            Suspicion::OnTrial => {
                if asked.waits_until.is_none() {
                    let is_counted = !asked.is_guilty;
                    self.run.held += usize::from(is_counted);
                    self.run.held_common += usize::from(is_counted && asked.prompt.is_common());
                }
                let until = *asked.waits_until.get_or_insert(self.now + TRIAL_TIMEOUT);
                if self.now < until {
                    self.send_later(asked, TRIAL_POLL_INTERVAL);
                } else {
                    self.count_first_try(&asked);
                }
                return;
            }
            Suspicion::None => {}
        }
        self.count_first_try(&asked);
        let Some(upstream) = self.choose(&asked) else {
            return;
        };
        let is_news = self.fleet.begin(asked.node, &asked.traits, now);
        self.note_news(asked.node, is_news);
        if asked.is_guilty && self.is_late() {
            self.run.late_sends += 1;
        }
        self.numbers += 1;
        let request = self.numbers;
        let reading = Duration::from_millis(self.random.random_range(READING_MS));
        let running = Duration::from_millis(self.random.random_range(RUNNING_MS));
        let begins = self.now + reading;
        let (at, event) = match asked.is_guilty {
            true => (begins + CRASHES_AFTER, Event::Crash { upstream, request }),
            false => (begins + running, Event::Ended { request, upstream }),
        };
        self.schedule(begins, Event::Began { request, upstream });
        self.schedule(
            begins + PART_STARTUP_PERIOD,
            Event::RunsOn { request, upstream },
        );
        self.schedule(at, event);
        let running = Running {
            asked,
            sent: self.now,
            begins,
            is_starting: true,
        };
        self.running[upstream].insert(request, running);
    }

    fn send_later(&mut self, asked: Asked, after: Duration) {
        self.numbers += 1;
        self.waiting.insert(self.numbers, asked);
        self.schedule(self.now + after, Event::Send(self.numbers));
    }

    /// The tally that a first try of a harmless request with the guilty ones' first part belongs to.
    fn tally(&mut self, asked: &Asked) -> Option<&mut Tally> {
        if !asked.is_first_try || !asked.prompt.is_of_guilty_route() {
            return None;
        }
        let settled = self.last_allowed_end.map(|end| end + 2 * CONTACT);
        match self.now {
            now if now < GUILTY_TIME.start => Some(&mut self.before),
            now if settled.is_some_and(|settled| now > settled) && now < GUILTY_TIME.end => {
                Some(&mut self.after)
            }
            _ => None,
        }
    }

    fn count_first_try(&mut self, asked: &Asked) {
        if let Some(tally) = self.tally(asked) {
            tally.sent += 1;
        }
    }

    fn count_begun(&mut self, request: usize, upstream: usize) {
        let asked = self.running[upstream]
            .get(&request)
            .map(|running| running.asked.clone());
        if let Some(asked) = asked
            && let Some(tally) = self.tally(&asked)
        {
            tally.begun += 1;
        }
    }

    fn choose(&mut self, asked: &Asked) -> Option<usize> {
        let now = self.at();
        match self.fleet.place(asked.node, &asked.traits, now) {
            Some(Placement::Random) => return self.draw(asked.node),
            Some(Placement::ByRank(suspected)) => {
                let all = 0..self.is_up.len();
                let up = all.filter(|upstream| {
                    self.is_up[*upstream] && !self.is_cut(asked.node, *upstream)
                });
                return up.max_by_key(|upstream| suspected.rank(&self.process(*upstream)));
            }
            None => {}
        }
        if self.random.random::<f64>() >= HOME_SHARE {
            return self.draw(asked.node);
        }
        let count = self.is_up.len();
        let home = asked.prompt.home() as usize % count;
        let mut homes = (0..count).map(|step| (home + step) % count);
        homes.find(|home| self.is_up[*home] && !self.is_cut(asked.node, *home))
    }

    /// The id of the process that runs as an upstream.
    fn process(&self, upstream: usize) -> UpstreamId {
        let id = format!("engine-{upstream}@{}", self.starts[upstream]);
        id.as_str().into()
    }

    /// Draws an upstream that `node` reaches.
    fn draw(&mut self, node: usize) -> Option<usize> {
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
        let last = self.last_allowed_end;
        last.is_some_and(|last| self.now > last + CONTACT) && !is_excused
    }

    fn run_on(&mut self, request: usize, upstream: usize) {
        let Some(running) = self.running[upstream].get_mut(&request) else {
            return;
        };
        running.is_starting = false;
        let (node, traits) = (running.asked.node, running.asked.traits.clone());
        let (began, now) = (self.origin + running.begins, self.at());
        self.fleet.begun(node, &traits, began, now);
        let is_news = self.fleet.end_parts(node, &traits, now);
        self.note_news(node, is_news);
    }

    fn end(&mut self, request: usize, upstream: usize) {
        let Some(ended) = self.running[upstream].remove(&request) else {
            return;
        };
        let (node, traits, now) = (ended.asked.node, ended.asked.traits, self.at());
        let began = self.origin + ended.begins;
        if ended.is_starting {
            self.fleet.end_parts(node, &traits, now);
        }
        self.fleet.end_request(node, &traits, now);
        let is_news = self.fleet.answered(node, &traits, began, now);
        self.note_news(node, is_news);
    }

    fn count_end(&mut self) {
        self.run.ends += 1;
        let allowed = match self.scenario.guilty {
            Some((Guilty::Request, _)) => LATE_AFTER_REQUESTS,
            _ => LATE_AFTER_PARTS,
        };
        // Fewer ends may do; the last one counts then.
        if self.run.ends <= allowed {
            self.last_allowed_end = Some(self.now);
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
        let id = self.process(upstream);
        self.is_up[upstream] = false;
        self.starts[upstream] += 1;
        self.schedule(self.now + DOWN, Event::Up(upstream));
        let now = self.at();
        let mut there: Vec<(usize, Running)> = self.running[upstream].drain().collect();
        there.sort_by_key(|(request, _)| *request);
        for (_, running) in there {
            let asked = &running.asked;
            if running.is_starting {
                self.fleet.end_parts(asked.node, &asked.traits, now);
            }
            self.fleet.end_request(asked.node, &asked.traits, now);
            let broken = self.broken(&running);
            if self.fleet.is_blamed(&broken) {
                let is_news = self.fleet.strike(asked.node, &broken, &id, now);
                self.note_news(asked.node, is_news);
            }
            self.run.broken += usize::from(!asked.is_guilty);
            self.repeat(running.asked);
        }
    }

    fn broken(&self, running: &Running) -> BrokenRequest {
        let since = self.now.checked_sub(running.begins);
        BrokenRequest {
            traits: running.asked.traits.clone(),
            sent: self.origin + running.sent,
            since_first_event: since,
        }
    }

    fn repeat(&mut self, mut asked: Asked) {
        asked.waits_until = None;
        asked.is_first_try = false;
        if asked.is_resumable {
            asked.is_resumable = false;
            self.send_later(asked, RESUMED_AFTER);
        } else if asked.repeats_left > 0 {
            asked.repeats_left -= 1;
            asked.node = self.random.random_range(0..self.scenario.nodes);
            self.send_later(asked, REPEATED_AFTER);
        }
    }

    fn note_news(&mut self, node: usize, is_news: bool) {
        if is_news && self.fleet.sends_at_once() && self.has_news.insert(node) {
            self.schedule(self.now + DATAGRAM, Event::News(node));
        }
    }

    fn send_news(&mut self, node: usize) {
        self.has_news.remove(&node);
        let (now, reaches) = (self.at(), self.reaches());
        let next = self.fleet.send(node, now, &mut self.random, &reaches);
        for node in next {
            self.note_news(node, true);
        }
    }

    /// Whether a datagram of one node reaches another now.
    fn reaches(&self) -> impl Fn(usize, usize) -> bool + use<> {
        let cut = Duration::from_secs(6)..Duration::from_secs(12);
        let is_cut = self.scenario.has_cut && cut.contains(&self.now);
        move |one, other| !is_cut || one.is_multiple_of(DOMAINS) == other.is_multiple_of(DOMAINS)
    }

    fn exchange(&mut self) {
        let (now, reaches) = (self.at(), self.reaches());
        self.fleet.exchange(now, &mut self.random, &reaches);
        self.note_known(now);
        self.schedule(self.now + EXCHANGE, Event::Exchange);
    }

    fn note_known(&mut self, now: Instant) {
        let (Some(end), Some((guilty, _))) = (self.last_allowed_end, self.scenario.guilty) else {
            return;
        };
        if self.run.known_after_ms > 0.0 {
            return;
        }
        let traits = match guilty {
            Guilty::Request => Prompt::guilty(GuiltyPrompts::OnePart, 0, true).traits(0, true),
            Guilty::Prompts(which) => Prompt::guilty(which, 0, false).traits(usize::MAX, true),
        };
        if self.fleet.knows_everywhere(&traits, now) {
            self.run.known_after_ms = (self.now - end).as_secs_f64() * 1_000.0;
        }
    }
}
