//! Which requests get a strike when an upstream ends.

#[path = "common/request.rs"]
mod request;

use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{BrokenRequest, BrokenRequestAction, CrashWatch, ProbeResult};
use request::{digest, traits};
use rstest::rstest;

fn broken(body: &str) -> BrokenRequest {
    BrokenRequest {
        traits: traits(body),
        since_first_event: None,
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
        BrokenRequestAction::Check
    );
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        BrokenRequestAction::Wait
    );
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        BrokenRequestAction::Wait
    );
    assert!(watch.is_probing(&digest("a")));

    let struck = watch.record_probe(&engine(), ProbeResult::Refused, now);

    let struck: Vec<_> = struck.iter().map(|traits| *traits.digest()).collect();
    let mut both = [digest("a"), digest("b")];
    both.sort_unstable();
    assert_eq!(struck, both);
    assert!(!watch.is_probing(&digest("a")));
    let after = now + Duration::from_millis(3);
    assert_eq!(
        watch.note_broken(&engine(), broken("c"), after),
        BrokenRequestAction::Strike,
        "noticed after the probe"
    );
}

#[rstest]
#[case::a_broken_answer(ProbeResult::Connected)]
#[case::a_partition(ProbeResult::Silent)]
fn requests_get_no_strike_if_the_upstream_did_not_end(#[case] reach: ProbeResult) {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    watch.note_broken(&engine(), broken("a"), now);
    assert_eq!(watch.record_probe(&engine(), reach, now), []);
    assert!(!watch.is_probing(&digest("a")));
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), now),
        BrokenRequestAction::Check,
        "each broken connection causes a probe"
    );
}

#[test]
fn a_stream_that_ran_for_seconds_gets_no_strike() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    let running = BrokenRequest {
        since_first_event: Some(Duration::from_secs(2)),
        ..broken("a")
    };
    assert_eq!(
        watch.note_broken(&engine(), running, now),
        BrokenRequestAction::Ignore
    );
    let starting = BrokenRequest {
        since_first_event: Some(Duration::from_millis(80)),
        ..broken("b")
    };
    assert_eq!(
        watch.note_broken(&engine(), starting, now),
        BrokenRequestAction::Check
    );
    assert_eq!(
        watch.record_probe(&engine(), ProbeResult::Refused, now),
        [traits("b")]
    );
}

#[test]
fn an_upstream_counts_as_ended_only_briefly() {
    let (mut watch, now) = (CrashWatch::default(), Instant::now());
    watch.note_broken(&engine(), broken("a"), now);
    watch.record_probe(&engine(), ProbeResult::Refused, now);
    let later = now + Duration::from_secs(3);
    assert_eq!(
        watch.note_broken(&engine(), broken("b"), later),
        BrokenRequestAction::Check
    );
}
