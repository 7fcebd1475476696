//! Properties of the order in which waiting requests are served or refused, over random loads with
//! fixed seeds.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_relay::{ShedQueue, WaitingWork, shed_order};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 0..40;

/// Seeds of whole loads, which take longer.
const LOAD_SEEDS: std::ops::Range<u64> = 0..5;

fn after(start: Instant, ms: f64) -> Instant {
    start + Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}

/// Any request, also one that is late, with any priority, size and value.
fn any_work(random: &mut ChaCha8Rng, now: Instant) -> WaitingWork {
    let latest_ms = random.random_range(-200.0..800.0_f64);
    let latest_start = match latest_ms < 0.0 {
        true => now - Duration::from_secs_f64(-latest_ms / 1_000.0),
        false => after(now, latest_ms),
    };
    WaitingWork {
        priority: random.random_range(0..4),
        latest_start,
        expires_at: after(now, random.random_range(1.0..4_000.0)),
        work_ms: random.random_range(1.0..100.0),
        late_worth: random.random_range(0.0..=1.0),
        waits_since: now,
    }
}

fn on_time(now: Instant, latest_ms: f64, work_ms: f64) -> WaitingWork {
    WaitingWork {
        priority: 1,
        latest_start: after(now, latest_ms),
        expires_at: after(now, latest_ms + 5_000.0),
        work_ms,
        late_worth: 0.5,
        waits_since: now,
    }
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    served: u32,
    refused: u32,
}

impl Tally {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// A grant of a load.
struct Grant {
    granted: u8,
    /// Priorities that waited for it.
    waiting: Vec<u8>,
    /// Whether a request waited that could not be on time any more.
    has_late: bool,
}

/// One resource that serves one request at a time, under a load that is a multiple of what it can
/// do.
struct Load {
    seed: u64,
    factor: f64,
    /// Shares of the requests, by priority.
    shares: [f64; 3],
    /// Estimated over actual work.
    estimate: f64,
    requests: u32,
}

impl Load {
    fn overload(seed: u64, factor: f64) -> Self {
        Self {
            seed,
            factor,
            shares: [0.1, 0.6, 0.3],
            estimate: 1.0,
            requests: 1_500,
        }
    }

    /// Runs the load. Returns the requests with their outcome (whether served), and the grants.
    fn run(&self) -> (Vec<(WaitingWork, bool)>, Vec<Grant>) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let (start, mut queue) = (Instant::now(), ShedQueue::default());
        let (mut requests, mut grants): (Vec<(WaitingWork, bool)>, Vec<_>) =
            (Vec::new(), Vec::new());
        let mut answered: Vec<u32> = Vec::new();
        let (mut arrives_ms, mut now_ms) = (0.0, 0.0);
        loop {
            while arrives_ms <= now_ms && requests.len() < self.requests as usize {
                let work = self.request(&mut random, start, arrives_ms);
                queue.push(requests.len(), work);
                requests.push((work, false));
                answered.push(0);
                arrives_ms += 10.0 * exponential(&mut random) / self.factor;
            }
            let now = after(start, now_ms);
            for (key, _) in queue.refuse_hopeless(now, 1.0) {
                answered[key] += 1;
            }
            let has_late = queue.iter().any(|(_, work)| work.is_late(now));
            let mut waiting: Vec<u8> = queue.iter().map(|(_, work)| work.priority).collect();
            waiting.sort_unstable();
            waiting.dedup();
            let Some((key, work)) = queue.pop_next(now) else {
                if requests.len() >= self.requests as usize {
                    break;
                }
                now_ms = arrives_ms;
                continue;
            };
            answered[key] += 1;
            requests[key].1 = true;
            grants.push(Grant {
                granted: work.priority,
                waiting,
                has_late,
            });
            now_ms += work.work_ms / self.estimate;
        }
        // A request that has started is never refused, and none is answered twice.
        assert!(queue.is_empty());
        assert!(answered.iter().all(|answers| *answers == 1));
        (requests, grants)
    }

    fn request(&self, random: &mut ChaCha8Rng, start: Instant, at_ms: f64) -> WaitingWork {
        let share: f64 = random.random();
        let priority = match share {
            _ if share < self.shares[0] => 0,
            _ if share < self.shares[0] + self.shares[1] => 1,
            _ => 2,
        };
        // The mean is 10 ms, and the largest are seven times that.
        let work_ms = (10.0 * exponential(random)).clamp(0.5, 70.0);
        let due_ms = [300.0, 400.0, 800.0][usize::from(priority)];
        WaitingWork {
            priority,
            latest_start: after(start, at_ms + due_ms),
            expires_at: after(start, at_ms + 2_000.0),
            work_ms: work_ms * self.estimate,
            late_worth: [0.2, 0.5, 0.8][usize::from(priority)],
            waits_since: after(start, at_ms),
        }
    }
}

fn exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn tally<'a>(requests: impl Iterator<Item = &'a (WaitingWork, bool)>) -> Tally {
    requests.fold(Tally::default(), |tally, (_, is_served)| Tally {
        asked: tally.asked + 1,
        served: tally.served + u32::from(*is_served),
        refused: tally.refused + u32::from(!is_served),
    })
}

/// Guards against a panic of `sort_by`, and against an order that depends on the order of arrival
/// in memory: the comparison has to be total.
#[test]
fn the_order_is_total() {
    for seed in SEEDS {
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let works: Vec<_> = (0..12).map(|_| any_work(&mut random, now)).collect();
        for a in &works {
            for b in &works {
                assert_eq!(shed_order(a, b, now), shed_order(b, a, now).reverse());
                for c in &works {
                    let is_chain = shed_order(a, b, now) != Ordering::Greater
                        && shed_order(b, c, now) != Ordering::Greater;
                    assert!(!is_chain || shed_order(a, c, now) != Ordering::Greater);
                }
            }
        }
    }
}

/// Guards against routine work, also owed floor grants, that goes ahead of waiting urgent work.
#[rstest]
fn urgent_work_is_never_behind_routine_work(#[values(0.5, 1.0, 2.0)] estimate: f64) {
    for seed in LOAD_SEEDS {
        let load = Load {
            estimate,
            ..Load::overload(seed, 2.0)
        };
        for Grant {
            granted, waiting, ..
        } in load.run().1
        {
            assert!(granted == 0 || !waiting.contains(&0), "seed {seed}");
        }
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let mut queue = ShedQueue::default();
        (0..50).for_each(|key| queue.push(key, any_work(&mut random, now)));
        let popped = std::iter::from_fn(|| queue.pop_next(now));
        let urgent: Vec<bool> = popped.map(|(_, work)| work.priority == 0).collect();
        assert!(urgent.is_sorted_by(|a, b| a >= b), "seed {seed}");
    }
}

/// Guards against late requests that make others late: without one that is about to expire, those
/// that can be on time go first.
#[test]
fn requests_that_can_be_on_time_go_before_late_ones() {
    for seed in SEEDS {
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let mut queue = ShedQueue::default();
        for key in 0..30 {
            let mut work = any_work(&mut random, now);
            work.priority = 1;
            work.expires_at = now + Duration::from_secs(60);
            queue.push(key, work);
        }
        let mut now_ms = 0.0;
        while let Some((_, next)) = queue.pop_next(after(now, now_ms)) {
            let at = after(now, now_ms);
            let others_on_time = queue.iter().filter(|(_, work)| !work.is_late(at)).count();
            assert!(
                !next.is_late(at) || others_on_time == 0,
                "seed {seed}, {next:?}"
            );
            now_ms += next.work_ms;
        }
    }
}

/// Guards against a late request that expires although one that can be on time had time to spare.
#[test]
fn a_late_request_that_would_expire_goes_ahead_of_those_with_time_to_spare() {
    let now = Instant::now();
    let mut queue = ShedQueue::default();
    queue.push("on time", on_time(now, 100.0, 50.0));
    let mut late = on_time(now, 0.0, 20.0);
    late.latest_start = now - Duration::from_millis(1);
    late.expires_at = after(now, 40.0);
    queue.push("late", late);
    assert!(queue.refuse_hopeless(now, 1.0).is_empty());
    assert_eq!(queue.pop_next(now).unwrap().0, "late");
    // With no time to spare, the one that can be on time goes.
    queue.push("late", late);
    queue.push("on time", on_time(now, 10.0, 50.0));
    assert_eq!(queue.pop_next(now).unwrap().0, "on time");
}

/// Guards against large requests of little value that take the place of several others.
#[test]
fn what_cannot_all_be_on_time_is_ordered_by_value_per_work() {
    for seed in SEEDS {
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let latest_ms = random.random_range(1.0..50.0);
        let work_ms = latest_ms + random.random_range(1.0..50.0);
        let short = on_time(now, latest_ms, work_ms);
        let long = WaitingWork {
            work_ms: work_ms * 1.5,
            ..short
        };
        let late_is_fine = WaitingWork {
            late_worth: 0.9,
            ..short
        };
        for other in [long, late_is_fine] {
            let mut queue = ShedQueue::default();
            queue.push("other", other);
            queue.push("better", short);
            assert_eq!(shed_order(&short, &other, now), Ordering::Less);
            assert_eq!(queue.pop_next(now).unwrap().0, "better", "seed {seed}");
        }
    }
}

/// Guards against requests that miss their deadlines although an order exists that meets them all.
#[test]
fn among_equal_values_the_earliest_deadline_goes_first_and_all_that_fit_are_on_time() {
    for seed in SEEDS {
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let (mut queue, mut start_ms) = (ShedQueue::default(), 0.0);
        let mut works = Vec::new();
        for _ in 0..30 {
            let work_ms = random.random_range(1.0..100.0);
            let mut work = on_time(now, start_ms + random.random_range(0.0..30.0), work_ms);
            work.priority = random.random_range(1..4);
            works.push(work);
            start_ms += work_ms;
        }
        let mut order: Vec<usize> = (0..works.len()).collect();
        order.sort_by_cached_key(|_| random.random::<u32>());
        order
            .into_iter()
            .for_each(|key| queue.push(key, works[key]));
        let mut now_ms = 0.0;
        while let Some((key, work)) = queue.pop_next(after(now, now_ms)) {
            assert!(
                !work.is_late(after(now, now_ms)),
                "seed {seed}, request {key}"
            );
            now_ms += work.work_ms;
        }
        let (sooner, later) = (on_time(now, 10.0, 5.0), on_time(now, 20.0, 5.0));
        assert_eq!(shed_order(&sooner, &later, now), Ordering::Less);
    }
}

/// Guards against refusals while there is an order in which all are served before their callers
/// give up.
#[test]
fn nothing_is_refused_that_would_have_fit() {
    for seed in SEEDS {
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let (mut queue, mut end_ms) = (ShedQueue::default(), 0.0);
        for key in 0..40 {
            let work_ms = random.random_range(1.0..100.0);
            let start_ms = end_ms + 1.0;
            end_ms = start_ms + work_ms;
            let mut work = on_time(now, start_ms, work_ms);
            work.expires_at = after(now, end_ms + random.random_range(0.0..200.0));
            if random.random::<f64>() < 0.5 {
                work.latest_start = now - Duration::from_millis(1);
            }
            queue.push(key, work);
        }
        let (mut now_ms, mut served) = (0.0, 0);
        loop {
            let at = after(now, now_ms);
            assert_eq!(queue.refuse_hopeless(at, 1.0), [], "seed {seed}");
            let Some((_, work)) = queue.pop_next(at) else {
                break;
            };
            now_ms += work.work_ms;
            assert!(after(now, now_ms) <= work.expires_at, "seed {seed}");
            served += 1;
        }
        assert_eq!(served, 40, "seed {seed}");
    }
}

/// Guards against a late request of little value that holds a place until its caller gives up.
#[test]
fn a_late_request_of_little_value_makes_room_at_once() {
    for seed in SEEDS {
        let (mut random, now) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let (mut queue, mut end_ms) = (ShedQueue::default(), 0.0);
        for key in 0..10 {
            let work_ms = random.random_range(5.0..100.0);
            // 10 us are left over, as times are rounded.
            queue.push(key, on_time(now, end_ms + 0.01, work_ms));
            end_ms += work_ms;
        }
        let late = WaitingWork {
            latest_start: now - Duration::from_millis(1),
            expires_at: after(now, end_ms - 1.0),
            work_ms: 10.0,
            late_worth: 0.1,
            ..on_time(now, 0.0, 10.0)
        };
        queue.push(10, late);
        let refused = queue.refuse_hopeless(now, 1.0);
        let keys: Vec<_> = refused.iter().map(|(key, _)| *key).collect();
        assert_eq!(keys, [10], "seed {seed}");
        assert!(!refused[0].1.has_expired);
        // One whose caller waits long enough stays, behind the others.
        let patient = WaitingWork {
            expires_at: after(now, end_ms + 20.0),
            ..late
        };
        let wait = queue.wait_of(&patient, now).as_secs_f64() * 1_000.0;
        assert!((wait - end_ms).abs() < 0.1, "seed {seed}: {wait}");
        queue.push(11, patient);
        assert_eq!(queue.refuse_hopeless(now, 1.0), []);
        let mut now_ms = 0.0;
        let order = std::iter::from_fn(|| {
            let (key, work) = queue.pop_next(after(now, now_ms))?;
            now_ms += work.work_ms;
            Some(key)
        });
        assert_eq!(order.last(), Some(11), "seed {seed}");
    }
}

/// Guards against large requests, or a team that sends only such, that are shed in favour of small
/// ones for as long as the overload lasts.
#[rstest]
fn the_largest_tenth_is_served_at_least_half_as_often_as_its_kind(
    #[values(1.2, 1.5, 2.0, 3.0)] factor: f64,
    #[values(0.5, 1.0, 2.0)] estimate: f64,
) {
    for seed in LOAD_SEEDS {
        let load = Load {
            estimate,
            ..Load::overload(seed, factor)
        };
        let (requests, _) = load.run();
        for priority in 0..3 {
            let kind = requests
                .iter()
                .filter(|(work, _)| work.priority == priority);
            let mut kind: Vec<_> = kind.collect();
            kind.sort_by(|(a, _), (b, _)| b.work_ms.total_cmp(&a.work_ms));
            let largest = tally(kind.iter().copied().take(kind.len() / 10));
            let all = tally(kind.into_iter());
            assert!(
                largest.served_share() >= 0.5 * all.served_share(),
                "seed {seed}, priority {priority}: {largest:?} of {all:?}"
            );
        }
    }
}

/// Guards against an order that depends on who sends: a team, adapter or failure domain with an
/// equal load is served at least half as often as all.
#[test]
fn no_sender_is_starved() {
    for seed in LOAD_SEEDS {
        let (requests, _) = Load::overload(seed, 2.0).run();
        let all = tally(requests.iter());
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut by_sender: BTreeMap<u32, Vec<_>> = BTreeMap::new();
        for request in &requests {
            let sender = random.random_range(0..16);
            by_sender.entry(sender).or_default().push(request);
        }
        for (sender, requests) in by_sender {
            let tally = tally(requests.into_iter());
            assert!(
                tally.served_share() >= 0.5 * all.served_share(),
                "seed {seed}, sender {sender}: {tally:?} of {all:?}"
            );
        }
    }
}

/// Guards against starvation of the least urgent work: it gets one grant in ten, also with urgent
/// work that leaves that much.
#[rstest]
#[case::no_urgent_work([0.0, 0.9, 0.1])]
#[case::little_of_it([0.0, 0.95, 0.05])]
#[case::urgent_work([0.15, 0.7, 0.15])]
fn the_least_urgent_work_gets_one_grant_in_ten(
    #[case] shares: [f64; 3],
    #[values(1.5, 3.0)] factor: f64,
    #[values(0.5, 1.0, 2.0)] estimate: f64,
) {
    for seed in LOAD_SEEDS {
        let load = Load {
            shares,
            estimate,
            ..Load::overload(seed, factor)
        };
        let (_, grants) = load.run();
        // Overload that lasts: the least urgent work waits, and some work is late already.
        let is_overload = |grant: &Grant| grant.has_late && grant.waiting.contains(&2);
        for run in grants.split(|grant| !is_overload(grant)) {
            let least = run.iter().filter(|grant| grant.granted == 2).count();
            // A rest of under ten grants may have none. Urgent work may use up a run's last ones.
            let urgent_at_end = run.iter().rev().take_while(|grant| grant.granted == 0);
            let counted = run.len() - urgent_at_end.count();
            assert!(
                least >= counted / 10,
                "seed {seed}: {least} of {counted} grants"
            );
        }
        if shares[0] == 0.0 {
            for window in grants.windows(10) {
                let lasts = window.iter().all(is_overload);
                let contends = window.iter().all(|grant| grant.waiting.contains(&1));
                let is_served = window.iter().any(|grant| grant.granted == 2);
                assert!(!(lasts && contends) || is_served, "seed {seed}");
            }
        }
    }
}

/// Guards against a backlog of the least urgent work that delays the most urgent.
#[test]
fn urgent_requests_after_a_burst_of_the_least_urgent_wait_for_one_request_at_most() {
    for seed in SEEDS {
        let (mut random, start) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let mut queue = ShedQueue::default();
        for key in 0..300 {
            let work_ms = random.random_range(5.0..50.0);
            let mut work = on_time(start, 1_000.0, work_ms);
            work.priority = 2;
            queue.push(key, work);
        }
        let mut now_ms = 0.0;
        for urgent in 300..400 {
            queue.refuse_hopeless(after(start, now_ms), 1.0);
            if let Some((_, running)) = queue.pop_next(after(start, now_ms)) {
                now_ms += running.work_ms;
            }
            let now = after(start, now_ms);
            let mut work = on_time(now, 50.0, random.random_range(5.0..50.0));
            work.priority = 0;
            assert_eq!(queue.wait_of(&work, now), Duration::ZERO);
            queue.push(urgent, work);
            queue.refuse_hopeless(now, 1.0);
            let next = queue.pop_next(now).map(|(key, _)| key);
            assert_eq!(next, Some(urgent), "seed {seed}");
            now_ms += work.work_ms;
        }
    }
}

/// Guards against refusals caused by wrong estimates where there is room for all.
#[rstest]
fn estimates_off_by_half_or_twofold_refuse_nothing_under_light_load(
    #[values(0.5, 1.0, 2.0)] estimate: f64,
) {
    for seed in LOAD_SEEDS {
        let load = Load {
            estimate,
            ..Load::overload(seed, 0.4)
        };
        let tally = tally(load.run().0.iter());
        assert_eq!(tally.refused, 0, "seed {seed}: {tally:?}");
    }
}

/// Guards against a queue that needs a history: a new one takes any request that may still run.
#[test]
fn a_new_queue_serves_what_it_gets() {
    let now = Instant::now();
    let mut queue = ShedQueue::default();
    assert!(queue.pop_next(now).is_none());
    assert!(queue.refuse_hopeless(now, 0.0).is_empty());
    let work = on_time(now, 100.0, 50.0);
    assert_eq!(queue.wait_of(&work, now), Duration::ZERO);
    queue.push(1, work);
    // A datagram may be delivered twice.
    queue.push(1, work);
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.pop_next(now).unwrap().0, 1);
    // Idle capacity goes to a request even if its estimate says that it cannot be done in time.
    queue.push(2, on_time(now, 100.0, 1e9));
    assert_eq!(queue.pop_next(now).unwrap().0, 2);
    // One whose caller has given up is refused, not served.
    queue.push(
        3,
        WaitingWork {
            expires_at: now,
            ..work
        },
    );
    assert!(queue.pop_next(now).is_none());
    let refused = queue.refuse_hopeless(now, 1.0);
    assert!(refused[0].1.has_expired);
    assert!(queue.is_empty());
}
