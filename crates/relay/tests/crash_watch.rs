//! Which requests get a strike when an upstream ends.

#[path = "common/request.rs"]
mod request;

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{BrokenRequest, BrokenRequestAction, CrashWatch, ProbeResult};
use request::{digest, traits};
use rstest::rstest;

fn broken(body: &str) -> BrokenRequest {
    request::broken(traits(body), sent())
}

/// When all requests were sent.
fn sent() -> Instant {
    static SENT: LazyLock<Instant> = LazyLock::new(Instant::now);
    *SENT
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
    assert!(watch.is_probing(&traits("a"), |_| false));

    let struck = watch.record_probe(&engine(), ProbeResult::Refused, now);

    let struck: Vec<_> = struck
        .iter()
        .map(|broken| *broken.traits.digest())
        .collect();
    let mut both = [digest("a"), digest("b")];
    both.sort_unstable();
    assert_eq!(struck, both);
    assert!(!watch.is_probing(&traits("a"), |_| false));
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
    assert!(!watch.is_probing(&traits("a"), |_| false));
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
        watch.note_broken(&engine(), starting.clone(), now),
        BrokenRequestAction::Check
    );
    assert_eq!(
        watch.record_probe(&engine(), ProbeResult::Refused, now),
        [starting]
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

// Guards against an upstream that is back under its address before the list shows it, and ends again without an answer.
#[test]
fn an_upstream_that_ends_again_before_it_is_listed_counts_apart() {
    let (mut watch, now) = (CrashWatch::default(), sent());
    watch.note_broken(&engine(), broken("a"), now);
    watch.record_probe(&engine(), ProbeResult::Refused, now);
    let first = watch.process_of(&engine());

    let resent = now + Duration::from_millis(500);
    let again = request::broken(traits("a"), resent);
    assert_eq!(
        watch.note_broken(&engine(), again, resent),
        BrokenRequestAction::Check
    );
    assert_ne!(watch.process_of(&engine()), first);
}

// Guards against counting an upstream that runs on as several that ended, when the way to it refuses connections by turns.
#[test]
fn an_upstream_that_is_reached_at_once_counts_as_one_that_ended_once() {
    let (mut watch, first) = (CrashWatch::default(), sent());
    let process = watch.process_of(&engine());
    for turn in 0..3 {
        let at = first + Duration::from_millis(120) * turn;
        let broken = request::broken(traits("a"), at);
        watch.note_broken(&engine(), broken, at);
        watch.record_probe(&engine(), ProbeResult::Refused, at);
        watch.record_received(&engine(), at + Duration::from_millis(50));
        assert_eq!(watch.process_of(&engine()), process);
    }
}
