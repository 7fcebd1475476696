//! The slot gate of an upstream with a rate limit.

use std::time::{Duration, Instant};

use nutmegsail_relay::{RateBucket, SlotAnswer, SlotGate, SlotRequest};
use proptest::prelude::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const WINDOW: Duration = Duration::from_secs(4);

const ASK: SlotRequest = SlotRequest {
    due_in_ms: 800,
    wait_limit_ms: 5_000,
    may_queue: false,
    priority: 5,
};

fn limited(per_s: f64, now: Instant) -> SlotGate<u32> {
    let mut gate = SlotGate::new(u32::MAX);
    gate.set_rate(Some(per_s), now);
    gate
}

#[test]
fn a_new_limit_allows_nothing_until_the_first_request_is_due() {
    let now = Instant::now();
    let mut gate = limited(2.0, now);
    let busy = SlotAnswer::Busy { wait_ms: 500 };
    assert_eq!(gate.ask(1, ASK, now), busy);
    assert_eq!(gate.ask(2, ASK, now + 500 * MS), SlotAnswer::Granted);
    assert_eq!(gate.ask(3, ASK, now + 500 * MS), busy);
}

// Guards against serving routine requests before urgent ones.
#[test]
fn the_most_urgent_request_goes_first() {
    let now = Instant::now();
    let mut gate = limited(2.0, now);
    let queued = |rank| SlotRequest {
        may_queue: true,
        priority: rank,
        ..ASK
    };
    assert_eq!(gate.ask(1, queued(5), now), SlotAnswer::Queued);
    assert_eq!(gate.ask(2, queued(1), now + MS), SlotAnswer::Queued);
    assert_eq!(gate.grant_due(now + 400 * MS), []);
    assert_eq!(gate.grant_due(now + 500 * MS), [(2, SlotAnswer::Granted)]);
    assert_eq!(gate.grant_due(now + 1_000 * MS), [(1, SlotAnswer::Granted)]);
}

// Guards against queueing requests that would be served too late.
#[test]
fn a_request_that_cannot_be_in_time_is_refused_with_a_return_time() {
    let now = Instant::now();
    let mut gate = limited(0.5, now);
    let ask = SlotRequest {
        may_queue: true,
        ..ASK
    };
    let refused = SlotAnswer::Refused { wait_ms: 2_000 };
    assert_eq!(gate.ask(1, ask, now), refused);
}

// Guards against counting a request twice, or queueing it twice, if its datagram is delivered
// twice.
#[test]
fn a_request_received_twice_counts_once() {
    let now = Instant::now();
    let mut gate = limited(2.0, now);
    let queued = SlotRequest {
        may_queue: true,
        ..ASK
    };
    let at = now + 1_000 * MS;
    assert_eq!(gate.ask(1, ASK, at), SlotAnswer::Granted);
    assert_eq!(gate.ask(1, ASK, at), SlotAnswer::Granted);
    assert_eq!(gate.ask(2, ASK, at), SlotAnswer::Granted);
    assert_eq!(gate.ask(3, queued, at), SlotAnswer::Queued);
    assert_eq!(gate.ask(3, queued, at), SlotAnswer::Queued);
    let later = at + 1_000 * MS;
    assert_eq!(gate.grant_due(later), [(3, SlotAnswer::Granted)]);
}

#[rstest]
#[case::zero(0.0)]
#[case::far_below_one(0.001)]
fn a_rate_near_zero_still_allows_a_request_now_and_then(#[case] per_s: f64) {
    let now = Instant::now();
    let mut gate = limited(per_s, now);
    let granted = (0..60_u32).filter(|second| {
        let at = now + Duration::from_secs(u64::from(*second));
        gate.ask(*second, ASK, at) == SlotAnswer::Granted
    });
    let granted = granted.count();
    assert!((10..=15).contains(&granted), "{granted} in a minute");
}

#[test]
fn requests_are_not_limited_after_the_limit_is_lifted() {
    let now = Instant::now();
    let mut gate = limited(1.0, now);
    let queued = SlotRequest {
        may_queue: true,
        ..ASK
    };
    gate.set_rate(Some(2.0), now);
    assert_eq!(gate.ask(1, queued, now), SlotAnswer::Queued);
    gate.set_rate(None, now);
    assert_eq!(gate.grant_due(now), [(1, SlotAnswer::Granted)]);
    assert!(!gate.is_limited());
    assert_eq!(gate.ask(2, ASK, now), SlotAnswer::Granted);
}

#[test]
fn lowering_the_rate_removes_accumulated_requests() {
    let now = Instant::now();
    let mut bucket = RateBucket::new(10.0, now);
    let later = now + Duration::from_secs(5);
    bucket.set_rate(1.0, later);
    assert!(bucket.take(later));
    assert!(!bucket.take(later));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against exceeding one and a half times the limit plus five requests within any four
    // seconds.
    #[test]
    fn the_gate_keeps_to_the_limit_in_every_window(
        per_s in 0.0..40.0_f64,
        steps in prop::collection::vec((0..300_u64, 0..10_u8, any::<bool>()), 1..400),
    ) {
        let mut now = Instant::now();
        let mut gate = limited(per_s, now);
        let mut sent = Vec::new();
        for (number, (pause_ms, rank, may_queue)) in steps.into_iter().enumerate() {
            now += MS * pause_ms as u32;
            sent.extend(gate.grant_due(now).into_iter().filter(|(_, answer)| *answer == SlotAnswer::Granted).map(|_| now));
            let ask = SlotRequest { priority: rank, may_queue, ..ASK };
            if gate.ask(number as u32, ask, now) == SlotAnswer::Granted {
                sent.push(now);
            }
        }
        let allowed = 1.5 * per_s * WINDOW.as_secs_f64() + 5.0;
        for from in &sent {
            let in_window = sent.iter().filter(|at| *at >= from && **at < *from + WINDOW).count();
            prop_assert!(in_window as f64 <= allowed, "{in_window} of {allowed}");
        }
    }
}
