//! Retries after an attempt without an answer.

mod support;

use nutmegsail_base::{Class, ResultCode};
use nutmegsail_routing::{Outcome, RoutingEvent};
use rstest::rstest;
use support::{Harness, dispatched, given_up, refused, service};

/// The connection breaks after the request was sent, so the node can't know whether the upstream
/// ran it. Sending a booking again could book two slots for one guest; the caller is told that it
/// may have run.
#[test]
fn a_call_that_is_not_idempotent_is_not_retried_after_it_may_have_run() {
    let mut harness = Harness::new(service(3));
    let mut call = harness.call(Class::Urgent);
    call.idempotent = false;
    harness.arrive(&call);

    let actions = harness.end(&call, Outcome::Failed);

    assert_eq!(dispatched(&actions), None);
    assert_eq!(given_up(&actions), Some(ResultCode::UpstreamFailed));
}

/// The event that a request arrived is duplicated. A second dispatch could book a slot twice.
#[test]
fn a_duplicate_arrival_is_dispatched_once() {
    let mut harness = Harness::new(service(3));
    let (call, sent) = harness.send(Class::Urgent);
    assert!(sent.is_some());

    assert_eq!(harness.arrive(&call), []);
}

/// An upstream refuses a call without running it, so the call may go to another upstream, but not
/// to the same one again. When all have refused it, the caller is told that it did not run.
#[test]
fn a_refused_call_goes_to_each_upstream_at_most_once() {
    let mut harness = Harness::new(service(2));
    let (call, first) = harness.send(Class::Urgent);

    let second = dispatched(&harness.end(&call, Outcome::RefusedByUpstream));
    let actions = harness.end(&call, Outcome::RefusedByUpstream);

    assert_ne!(first, second);
    assert!(second.is_some());
    assert_eq!(refused(&actions), Some(ResultCode::UpstreamRefused));
}

/// An engine fails after the first bytes of its answer reached the caller. Another engine would
/// generate a different text, and joining the two would corrupt the answer.
#[test]
fn a_call_is_not_retried_after_the_first_byte_of_its_answer() {
    let mut harness = Harness::new(service(3));
    let (call, _) = harness.send(Class::Routine);
    let request = call.request.clone();
    harness.handle(RoutingEvent::FirstByte { request });

    let actions = harness.end(&call, Outcome::Failed);

    assert_eq!(given_up(&actions), Some(ResultCode::AnswerCut));
}

/// Every attempt at every upstream fails. Retrying each call would double the load of a service
/// that is already failing.
#[rstest]
#[case::ratio_from_the_text(0.1, 0.1)]
#[case::at_most_a_fifth(0.9, 0.2)]
fn retries_stay_within_the_budget(#[case] ratio: f64, #[case] allowed: f64) {
    let mut harness = Harness::new(service(10).with_retry_budget(ratio));
    let calls = 1_000;
    let mut sends = 0;
    for _ in 0..calls {
        let (call, first) = harness.send(Class::Routine);
        sends += usize::from(first.is_some());
        while dispatched(&harness.end(&call, Outcome::Failed)).is_some() {
            sends += 1;
        }
        harness.advance(100);
    }

    let burst = 4.0;
    assert!(
        sends as f64 <= calls as f64 * (1.0 + allowed) + burst,
        "{sends} sends"
    );
    assert!(
        sends > calls * 9 / 10,
        "{sends} sends: the service got too little traffic"
    );
}
