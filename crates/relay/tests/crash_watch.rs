//! Which requests get a strike when an upstream ends.

#[path = "common/request.rs"]
mod request;

use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{BrokenRequest, CrashStep, CrashWatch, Reach};
use request::digest;
use rstest::rstest;

fn broken(body: &str) -> BrokenRequest {
    BrokenRequest {
        digest: digest(body),
        began_ago: None,
    }
}

fn engine() -> UpstreamId {
    "engine-1@7".into()
}

#[test]
fn all_starting_requests_get_a_strike_when_an_upstream_ends() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    assert_eq!(
        watch.note_broken(&engine(), broken("a"), now),
        CrashStep::Check
    );
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        CrashStep::Wait
    );
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        CrashStep::Wait
    );
    assert!(watch.is_checking(&digest("a")));

    let mut struck = watch.note_reach(&engine(), Reach::Refused, now);

    struck.sort_unstable();
    let mut both = [digest("a"), digest("b")];
    both.sort_unstable();
    assert_eq!(struck, both);
    assert!(!watch.is_checking(&digest("a")));
    let after = now + Duration::from_millis(3);
    assert_eq!(
        watch.note_broken(&engine(), broken("c"), after),
        CrashStep::Strike,
        "noticed after the probe"
    );
}

#[rstest]
#[case::a_broken_answer(Reach::Connected)]
#[case::a_partition(Reach::Silent)]
fn requests_get_no_strike_if_the_upstream_did_not_end(#[case] reach: Reach) {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    watch.note_broken(&engine(), broken("a"), now);
    assert_eq!(watch.note_reach(&engine(), reach, now), []);
    assert!(!watch.is_checking(&digest("a")));
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        CrashStep::Check,
        "each broken connection causes a probe"
    );
}

#[test]
fn a_stream_that_ran_for_seconds_gets_no_strike() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    let running = BrokenRequest {
        began_ago: Some(Duration::from_secs(2)),
        ..broken("a")
    };
    assert_eq!(
        watch.note_broken(&engine(), running, now),
        CrashStep::Ignore
    );
    let starting = BrokenRequest {
        began_ago: Some(Duration::from_millis(80)),
        ..broken("b")
    };
    assert_eq!(
        watch.note_broken(&engine(), starting, now),
        CrashStep::Check
    );
    assert_eq!(
        watch.note_reach(&engine(), Reach::Refused, now),
        [digest("b")]
    );
}

#[test]
fn an_upstream_counts_as_ended_only_briefly() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    watch.note_broken(&engine(), broken("a"), now);
    watch.note_reach(&engine(), Reach::Refused, now);
    let later = now + Duration::from_secs(3);
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), later),
        CrashStep::Check
    );
}
