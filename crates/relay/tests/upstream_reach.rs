//! When a service counts as unreachable from a node.

use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;
use nutmegsail_relay::{FailedOpen, ReachChange, UpstreamReach};
use proptest::prelude::*;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);

/// How long opening a connection may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which a node with requests has to find out that it is cut off: the longest silence, one probe interval and
/// the probe itself, with steps in between.
const DETECTION_BOUND: Duration = Duration::from_millis(1_100);

/// Time within which all requests have to return: a probe that just failed, the next one, and the gradual return.
const RETURN_BOUND: Duration = Duration::from_millis(3_000);

/// A node with requests to one service, whose upstreams can or cannot be reached.
struct World {
    reach: UpstreamReach,
    service: ServiceName,
    now: Instant,
    is_cut: bool,
    changed_at: Instant,
    /// Probes that have not ended, and when they end.
    probes: Vec<Instant>,
    in_flight: u32,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            reach: UpstreamReach::default(),
            service: "desk".into(),
            now,
            is_cut: false,
            changed_at: now,
            probes: Vec::new(),
            in_flight: 0,
        }
    }

    /// Runs one step, in which a request is sent and, if `answers`, something comes back.
    fn step(&mut self, sends: bool, answers: bool, opens_fail: bool) {
        self.now += STEP;
        if sends {
            self.in_flight += 1;
            self.reach.record_sent(&self.service, self.now);
        }
        if answers && !self.is_cut && self.in_flight > 0 {
            self.in_flight -= 1;
            self.reach.record_contact(&self.service, self.now);
            self.reach.record_ended(&self.service);
        }
        if opens_fail {
            let why = FailedOpen::Silent;
            self.reach.record_failed_open(&self.service, why, self.now);
        }
        let (ended, running) = self.probes.iter().partition(|ends| **ends <= self.now);
        self.probes = running;
        let ended: Vec<Instant> = ended;
        for _ in ended {
            let service = &self.service;
            self.reach.record_probe(service, !self.is_cut, self.now);
        }
        for _ in self.reach.due_probes(self.now) {
            let takes = match self.is_cut {
                true => OPEN_TIMEOUT,
                false => Duration::ZERO,
            };
            self.probes.push(self.now + takes);
        }
    }

    fn set_cut(&mut self, is_cut: bool) {
        if self.is_cut != is_cut {
            self.is_cut = is_cut;
            self.changed_at = self.now;
        }
    }

    fn since_change(&self) -> Duration {
        self.now.duration_since(self.changed_at)
    }
}

proptest! {
    // Guards against a node that keeps sending requests to upstreams which it cannot reach, or that stays cut off by its own
    // view after they can be reached again.
    #[test]
    fn the_view_follows_any_cuts(
        steps in proptest::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 20..400),
        cuts in proptest::collection::vec(0..400usize, 0..8),
    ) {
        let mut world = World::new();
        for (index, (sends, answers, opens_fail)) in steps.into_iter().enumerate() {
            if cuts.contains(&index) {
                world.set_cut(!world.is_cut);
            }
            // A node that is cut off still has callers.
            let sends = sends || world.is_cut;
            world.step(sends, answers, opens_fail);
            let share = world.reach.local_share(&world.service, world.now);
            if world.is_cut && world.since_change() > DETECTION_BOUND {
                prop_assert_eq!(share, 0.0);
            }
            if !world.is_cut && world.since_change() > RETURN_BOUND {
                prop_assert_eq!(share, 1.0);
            }
        }
    }

    // Guards against a probe per failure, which would open connections without end while upstreams are overloaded.
    #[test]
    fn probes_are_rare_however_many_connections_fail(failures in 1..500u32) {
        let (mut reach, start, service) = (UpstreamReach::default(), Instant::now(), "desk".into());
        let mut probes = 0;
        for failure in 0..failures {
            let now = start + Duration::from_millis(u64::from(failure));
            reach.record_failed_open(&service, FailedOpen::Silent, now);
            for probe in reach.due_probes(now) {
                probes += 1;
                reach.record_probe(&probe.service, true, now);
            }
        }
        prop_assert!(probes <= 1 + failures / 250);
    }
}

// Guards against a node that takes itself for cut off because single upstreams fail, or are silent for a second and go on.
#[rstest]
#[case::one_upstream_refuses(FailedOpen::Refused, 1, false)]
#[case::two_upstreams_refuse(FailedOpen::Refused, 2, true)]
#[case::one_does_not_answer(FailedOpen::Silent, 1, true)]
fn failures_cause_probes_at_most(
    #[case] why: FailedOpen,
    #[case] count: u32,
    #[case] is_probed: bool,
) {
    let (mut reach, now, service) = (UpstreamReach::default(), Instant::now(), "desk".into());
    for _ in 0..count {
        reach.record_failed_open(&service, why, now);
    }
    assert_eq!(!reach.due_probes(now).is_empty(), is_probed);
    assert_eq!(reach.record_probe(&service, true, now), None);
    assert!(!reach.is_unreachable(&service));
    assert_eq!(reach.local_share(&service, now), 1.0);
}

#[test]
fn silence_causes_probes_only_while_answers_are_pending() {
    let (mut reach, now, service) = (UpstreamReach::default(), Instant::now(), "desk".into());
    let later = now + Duration::from_millis(500);
    reach.record_sent(&service, now);
    reach.record_contact(&service, now);
    reach.record_ended(&service);
    assert_eq!(reach.due_probes(later), [], "nothing is pending");
    reach.record_sent(&service, later);
    assert_eq!(reach.due_probes(later + Duration::from_millis(300)), []);
    let silent = later + Duration::from_millis(500);
    assert_eq!(reach.due_probes(silent).len(), 1);
    assert_eq!(reach.due_probes(silent), [], "one probe at a time");
}

// Guards against requests that go to a node which has not reached the service lately itself.
#[test]
fn an_idle_node_probes_before_it_says_that_it_reaches_a_service() {
    let (mut reach, now, service) = (UpstreamReach::default(), Instant::now(), "desk".into());
    assert!(!reach.has_recent_contact(&service, now));
    reach.request_probe(&service, now);
    assert_eq!(reach.due_probes(now).len(), 1);
    reach.record_probe(&service, true, now);
    assert!(reach.has_recent_contact(&service, now));
    let later = now + Duration::from_secs(2);
    assert!(!reach.has_recent_contact(&service, later));
    let change = reach.record_probe(&service, false, later);
    assert_eq!(change, Some(ReachChange::Lost));
    assert!(!reach.has_recent_contact(&service, later));
    reach.record_probe(&service, true, later);
    assert!(
        !reach.has_recent_contact(&service, later),
        "it is returning"
    );
}

// Guards against an idle node that says once a second, until its next probe has ended, that it does not reach a service.
#[test]
fn a_service_that_peers_ask_for_keeps_a_recent_contact() {
    let (mut reach, service, mut now) = (UpstreamReach::default(), "desk".into(), Instant::now());
    reach.record_probe(&service, true, now);
    let mut probes: Vec<Instant> = Vec::new();
    for _ in 0..100 {
        now += STEP;
        for _ in probes.extract_if(.., |ends| *ends <= now) {
            reach.record_probe(&service, true, now);
        }
        probes.extend(reach.due_probes(now).iter().map(|_| now + OPEN_TIMEOUT));
        assert!(reach.has_recent_contact(&service, now));
        reach.request_probe(&service, now);
    }
}
