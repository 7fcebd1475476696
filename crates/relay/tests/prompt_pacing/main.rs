//! Plays loads on a model of one engine to test what callers get when a gate paces its prompts.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod model;

use model::{EARLIER, FIRST, Load, SECOND, WAIT_LIMIT_MS, simulate};
use rstest::rstest;

/// Fails if paced prompts still pause running streams for too long, or if the load is one at which
/// nothing would be paced.
#[rstest]
fn prompts_that_arrive_together_do_not_pause_streams_for_too_long(
    #[values(FIRST, SECOND)] load: Load,
    #[values(0.6, 1.0, 1.6)] speed: f64,
    #[values(1.0, 2.4)] burst: f64,
    #[values(0.5, 1.0, 2.0)] estimate: f64,
) {
    let report = simulate(load, speed, burst, estimate, true);
    assert_eq!(report.long_pauses, 0);
    let unpaced = simulate(load, speed, burst, estimate, false);
    assert!(unpaced.long_pauses > 0 || speed > 1.0);
}

/// Fails if urgent requests wait behind the prompts that are held back.
#[rstest]
fn first_events_of_urgent_requests_stay_on_time(
    #[values(FIRST, SECOND)] load: Load,
    #[values(0.6, 1.0, 1.6)] speed: f64,
    #[values(1.0, 2.4)] burst: f64,
) {
    let report = simulate(load, speed, burst, 1.0, true);
    assert_eq!(report.urgent_late, 0, "of {}", report.urgent);
}

/// Fails if the gate delays requests at an engine whose streams tolerate full chunks.
#[rstest]
fn nothing_is_delayed_without_pauses_over_the_limit(
    #[values(1.0, 1.3, 1.6)] speed: f64,
    #[values(1.0, 2.4)] burst: f64,
    #[values(0.5, 1.0, 2.0)] estimate: f64,
) {
    let report = simulate(EARLIER, speed, burst, estimate, true);
    assert_eq!((report.held_back, report.refused), (0, 0));
}

/// Fails if a wrong estimate of the pace stays. With a pace over 1 / 0.9 of the true one, pauses
/// exceed the limit; below 0.63 of it, the mean load of 0.38 exceeds what the bucket refills.
#[rstest]
fn samples_correct_a_wrong_pace(
    #[values(FIRST, SECOND)] load: Load,
    #[values(0.6, 1.0, 1.6)] speed: f64,
    #[values(1.0, 2.4)] burst: f64,
    #[values(0.5, 1.0, 2.0)] estimate: f64,
) {
    let report = simulate(load, speed, burst, estimate, true);
    assert!(
        (0.63..=1.11).contains(&report.pace_share),
        "{}",
        report.pace_share
    );
}

/// Fails if requests wait past their limits to be refused when there is too little capacity.
#[rstest]
fn no_request_waits_past_its_limit(#[values(0.5, 1.0, 2.0)] estimate: f64) {
    let report = simulate(SECOND, 0.6, 2.4, estimate, true);
    assert!(report.refused > 0, "the load exceeds the capacity");
    assert!(report.longest_wait_ms <= f64::from(WAIT_LIMIT_MS));
}
