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
fn an_end_is_held_against_all_that_were_beginning_there() {
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
#[case::a_break_off_of_one_answer(Reach::Connected)]
#[case::a_partition(Reach::Silent)]
fn what_does_not_end_an_upstream_is_held_against_nobody(#[case] reach: Reach) {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    watch.note_broken(&engine(), broken("a"), now);
    assert_eq!(watch.note_reach(&engine(), reach, now), []);
    assert!(!watch.is_checking(&digest("a")));
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        CrashStep::Check,
        "each broken connection is probed"
    );
}

#[test]
fn a_stream_that_had_run_for_seconds_is_no_cause() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    let running = BrokenRequest {
        began_ago: Some(Duration::from_secs(2)),
        ..broken("a")
    };
    assert_eq!(
        watch.note_broken(&engine(), running, now),
        CrashStep::Ignore
    );
    let beginning = BrokenRequest {
        began_ago: Some(Duration::from_millis(80)),
        ..broken("b")
    };
    assert_eq!(
        watch.note_broken(&engine(), beginning, now),
        CrashStep::Check
    );
    assert_eq!(
        watch.note_reach(&engine(), Reach::Refused, now),
        [digest("b")]
    );
}

#[test]
fn an_end_counts_for_a_moment_only() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    watch.note_broken(&engine(), broken("a"), now);
    watch.note_reach(&engine(), Reach::Refused, now);
    let later = now + Duration::from_secs(3);
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), later),
        CrashStep::Check
    );
}
