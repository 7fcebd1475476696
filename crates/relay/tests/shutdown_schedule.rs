//! The stages of a shutdown, by how long it may take.

use std::time::Duration;

use nutmegsail_relay::ShutdownSchedule;
use rstest::rstest;

#[rstest]
#[case::long(30_000, [3_000, 3_200, 29_500])]
#[case::usual(8_000, [3_000, 3_200, 7_500])]
#[case::short(4_000, [1_500, 2_000, 3_500])]
#[case::shortest(1_000, [375, 500, 500])]
fn stages_fit_the_grace_period(#[case] grace_ms: u64, #[case] stages_ms: [u64; 3]) {
    let schedule = ShutdownSchedule::within(Duration::from_millis(grace_ms));
    let ShutdownSchedule {
        accept,
        close_idle,
        end,
    } = schedule;
    let stages = [accept, close_idle, end];
    assert_eq!(stages, stages_ms.map(Duration::from_millis));
}

// Guards against a request that is accepted when the process is about to exit.
#[rstest]
fn answers_have_time_left(#[values(1_500, 2_000, 4_000, 8_000, 60_000)] grace_ms: u64) {
    let grace = Duration::from_millis(grace_ms);
    let schedule = ShutdownSchedule::within(grace);
    assert!(schedule.accept < schedule.close_idle);
    assert!(schedule.close_idle < schedule.end);
    assert!(schedule.end < grace);
}
