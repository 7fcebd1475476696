//! How a node learns the rate limits that upstreams announce.

use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{AnnouncedLimit, LimitChange, RateLimits};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn engine() -> UpstreamId {
    "engine-1@7".into()
}

fn per_second(per_s: f64) -> AnnouncedLimit {
    AnnouncedLimit::PerSecond(per_s)
}

#[rstest]
#[case::decimal("1.2", per_second(1.2))]
#[case::zero("0", per_second(0.0))]
#[case::spaces(" 7 ", per_second(7.0))]
#[case::negative("-0.5", AnnouncedLimit::Malformed)]
#[case::not_a_number("NaN", AnnouncedLimit::Malformed)]
#[case::infinite("inf", AnnouncedLimit::Malformed)]
#[case::not_numeric("soon", AnnouncedLimit::Malformed)]
#[case::empty("", AnnouncedLimit::Malformed)]
fn limit_values_are_parsed(#[case] text: &str, #[case] announced: AnnouncedLimit) {
    assert_eq!(AnnouncedLimit::parse(text), announced);
}

#[test]
fn a_lower_limit_applies_at_once_and_a_higher_one_later() {
    let (mut limits, now) = (RateLimits::default(), Instant::now());
    limits.note_answer(&engine(), per_second(2.0), now);
    let lower = limits.note_answer(&engine(), per_second(1.0), now + MS);
    assert_eq!(lower, Some(LimitChange::Named(1.0)));
    assert_eq!(
        limits.note_answer(&engine(), per_second(4.0), now + 100 * MS),
        None
    );
    assert_eq!(
        limits.note_answer(&engine(), per_second(3.0), now + 900 * MS),
        None
    );
    let raised = limits.note_answer(&engine(), per_second(4.0), now + 2_200 * MS);
    assert_eq!(
        raised,
        Some(LimitChange::Named(3.0)),
        "the lowest in that time"
    );
}

// Guards against lifting a limit because some answers do not announce it.
#[test]
fn a_limit_that_only_some_answers_announce_stays() {
    let (mut limits, now) = (RateLimits::default(), Instant::now());
    for turn in 0..=18 {
        let announced = match turn % 3 {
            0 => per_second(1.0),
            _ => AnnouncedLimit::None,
        };
        limits.note_answer(&engine(), announced, now + 500 * MS * turn);
        assert_eq!(limits.per_s(&engine()), Some(1.0));
    }
    let at = now + Duration::from_secs(60);
    assert_eq!(
        limits.note_answer(&engine(), AnnouncedLimit::None, at),
        None
    );
    let ended = limits.note_answer(&engine(), AnnouncedLimit::None, at + 2_100 * MS);
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limits.per_s(&engine()), None);
}

#[test]
fn a_malformed_limit_changes_nothing() {
    let (mut limits, now) = (RateLimits::default(), Instant::now());
    assert_eq!(
        limits.note_answer(&engine(), AnnouncedLimit::Malformed, now),
        None
    );
    assert_eq!(limits.per_s(&engine()), None);
    limits.note_answer(&engine(), per_second(1.0), now);
    limits.note_answer(&engine(), AnnouncedLimit::Malformed, now + 5_000 * MS);
    assert_eq!(limits.per_s(&engine()), Some(1.0));
}

#[test]
fn nodes_share_limits_and_the_newest_announcement_counts() {
    let (mut here, mut there, now) = (RateLimits::default(), RateLimits::default(), Instant::now());
    here.note_answer(&engine(), per_second(1.0), now);
    let old = here.updates(now + MS);
    assert_eq!(there.take(&old[0], now + MS), Some(LimitChange::Named(1.0)));
    there.note_answer(&engine(), per_second(0.5), now + 100 * MS);
    assert_eq!(
        there.take(&old[0], now + 100 * MS),
        None,
        "a delayed repeat"
    );
    let new = there.updates(now + 200 * MS);
    assert_eq!(
        here.take(&new[0], now + 200 * MS),
        Some(LimitChange::Named(0.5))
    );
}

// Guards against restoring a lifted limit from a node that has not heard that it was lifted.
#[test]
fn a_lifted_limit_is_not_restored_by_an_old_update() {
    let (mut limits, now) = (RateLimits::default(), Instant::now());
    limits.note_answer(&engine(), per_second(1.0), now);
    let old = limits.updates(now);
    limits.note_answer(&engine(), AnnouncedLimit::None, now + 10 * MS);
    limits.note_answer(&engine(), AnnouncedLimit::None, now + 2_100 * MS);
    limits.forget(|_| true, now + 2_200 * MS);
    let mut late = old[0].clone();
    late.age_ms = 2_200;
    assert_eq!(limits.take(&late, now + 2_200 * MS), None);
    assert_eq!(limits.count(), 0);
    limits.forget(|_| false, now + 2_200 * MS);
    assert_eq!(limits.updates(now + 2_200 * MS), []);
}

// Guards against losing a limit that the next process under a name announced before the list showed it, and against
// applying one of a process that ended long before.
#[rstest]
#[case::around_the_restart(Duration::from_secs(2), Some(1.0))]
#[case::long_before(Duration::from_secs(5), None)]
fn a_recent_limit_holds_for_the_next_process(#[case] age: Duration, #[case] expected: Option<f64>) {
    let (mut limits, announced_at) = (RateLimits::default(), Instant::now());
    let next = "engine-1@8".into();
    limits.note_answer(&engine(), per_second(1.0), announced_at);
    limits.record_successor(&engine(), &next, announced_at + age);
    assert_eq!(limits.per_s(&next), expected);
    let now = announced_at + age;
    limits.note_answer(&next, AnnouncedLimit::None, now);
    limits.note_answer(&next, AnnouncedLimit::None, now + 2_100 * MS);
    assert_eq!(limits.per_s(&next), None, "its answers lift it");
}
