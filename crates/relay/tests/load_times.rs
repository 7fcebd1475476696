//! Tests of the load time estimate with different actual load times.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use std::time::Duration;

use nutmegsail_relay::LoadTimes;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Result of a simulation.
struct Simulated {
    /// Median time from the order of a load until the adapter was used, in milliseconds.
    wait_ms: f64,
    /// Fraction of loads whose adapter was used too early.
    too_early: f64,
}

/// Simulates `loads` loads that take `load_ms` each and are reported `delay_ms` later. A request is
/// sent when the load is expected to be done. If it is not, the request comes back and waits for
/// the report. The first 40 loads are not counted.
fn simulate(load_ms: f64, delay_ms: f64, loads: usize) -> Simulated {
    const FIRST: usize = 40;
    let mut random = ChaCha8Rng::seed_from_u64(23);
    let mut times = LoadTimes::default();
    let (mut waits_ms, mut too_early) = (Vec::new(), 0);
    for load in 0..loads {
        let took_ms = load_ms * random.random_range(0.98..1.02);
        let reported_ms = took_ms + delay_ms * random.random_range(0.7..1.3);
        let expected_ms = times.expected(1.0).as_secs_f64() * 1_000.0;
        times.record_used_on_time();
        let is_too_early = expected_ms < took_ms;
        if is_too_early {
            times.record_used_too_early();
        }
        times.note(Duration::from_secs_f64(reported_ms / 1_000.0), 1.0);
        if load >= FIRST {
            too_early += usize::from(is_too_early);
            waits_ms.push(if is_too_early {
                reported_ms
            } else {
                expected_ms
            });
        }
    }
    waits_ms.sort_by(f64::total_cmp);
    Simulated {
        wait_ms: waits_ms[waits_ms.len() / 2],
        too_early: too_early as f64 / waits_ms.len() as f64,
    }
}

// Load times differ between deployments. With an estimate that is too high, callers of small
// adapters wait unnecessarily. With one that is too low, requests arrive before the adapter, come
// back and wait for a report: all of them, with loads of 330 ms estimated at 254.
#[rstest]
#[case::small(60.0)]
#[case::half(120.0)]
#[case::expected(250.0)]
#[case::larger(330.0)]
#[case::large(500.0)]
#[case::huge(1_500.0)]
fn requests_are_sent_when_the_load_is_done(#[case] load_ms: f64) {
    let simulated = simulate(load_ms, 150.0, 400);
    assert!(simulated.too_early < 0.1, "{}", simulated.too_early);
    let late = simulated.wait_ms / load_ms;
    assert!((1.0..1.1).contains(&late), "{late}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Whatever engines report and however requests end, the expected load time stays between its
    // bounds and grows with the number of concurrent loads.
    #[test]
    fn expected_load_time_stays_within_bounds(
        events in prop::collection::vec((0u8..3, 1u64..20_000, 0.0f64..500.0), 0..300),
    ) {
        let mut times = LoadTimes::default();
        for (event, took_ms, under_way) in events {
            match event {
                0 => times.note(Duration::from_millis(took_ms), under_way),
                1 => times.record_used_on_time(),
                _ => times.record_used_too_early(),
            }
            let (alone, beside) = (times.expected(1.0), times.expected(50.0));
            prop_assert!(alone >= Duration::from_millis(20) && alone <= Duration::from_secs(3));
            prop_assert!(beside >= alone && times.recent() < alone + Duration::from_millis(10));
        }
    }
}
