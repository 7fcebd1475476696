//! The pace of an engine, learned from first events.

use std::time::{Duration, Instant};

use nutmegsail_relay::EnginePace;
use rstest::rstest;

const EVENT_TIME: Duration = Duration::from_millis(40);

/// Records `count` first events of prompts of 2,000 tokens at a true pace of 20 tokens per ms.
fn record(pace: &mut EnginePace, count: usize) {
    for _ in 0..count {
        pace.record(
            2_000,
            Duration::from_millis(140),
            EVENT_TIME,
            Instant::now(),
        );
    }
}

/// Fails if a wrong start value outlives the samples: after 30, 4 in 100 of its logarithm is left.
#[rstest]
fn samples_replace_the_start_value(#[values(10.0, 20.0, 40.0)] start: f64) {
    let mut pace = EnginePace::new(start);
    record(&mut pace, 30);
    let share = pace.tokens_per_ms() / 20.0;
    assert!((0.95..=1.05).contains(&share), "{share}");
}

/// Fails if one first event of a hung engine moves the pace by more than a factor of 3 would.
#[rstest]
#[case::hung(Duration::from_secs(3_600), 1.0 / 3.0)]
#[case::sooner_than_an_event(Duration::ZERO, 3.0)]
fn one_sample_counts_for_at_most_a_factor_of_three(#[case] took: Duration, #[case] factor: f64) {
    let mut pace = EnginePace::new(20.0);
    pace.record(2_000, took, EVENT_TIME, Instant::now());
    let expected = 20.0 * factor.powf(0.1);
    assert!((pace.tokens_per_ms() - expected).abs() < 1e-9);
}

/// Fails if short prompts, whose time is that of engine steps, count as samples of the pace.
#[test]
fn short_prompts_are_no_samples() {
    let mut pace = EnginePace::new(20.0);
    pace.record(100, Duration::from_millis(200), EVENT_TIME, Instant::now());
    pace.record(0, Duration::ZERO, Duration::ZERO, Instant::now());
    assert!((pace.tokens_per_ms() - 20.0).abs() < f64::EPSILON);
    assert_eq!(pace.updated_at(), None);
}

/// Fails if the age of the pace is not that of its last sample.
#[test]
fn the_last_sample_dates_the_pace() {
    let (mut pace, now) = (EnginePace::new(20.0), Instant::now());
    pace.record(2_000, Duration::from_millis(140), EVENT_TIME, now);
    assert_eq!(pace.updated_at(), Some(now));
}

/// Fails if nonsensical input makes the pace zero, negative or not a number.
#[rstest]
fn the_pace_stays_positive(#[values(0.0, -1.0, f64::MIN_POSITIVE)] start: f64) {
    let mut pace = EnginePace::new(start);
    for _ in 0..1_000 {
        pace.record(u32::MAX, Duration::MAX, Duration::ZERO, Instant::now());
    }
    assert!(pace.tokens_per_ms() > 0.0);
}
