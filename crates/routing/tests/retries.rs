//! What happens after an attempt that gave no answer.

mod support;

use nutmegsail_base::{Class, ResultCode};
use nutmegsail_routing::{Outcome, RoutingEvent};
use rstest::rstest;
use support::{Bench, dispatched, given_up, refused, service};

/// A confirmation is sent, the connection breaks after the bytes went out, and the node cannot
/// know whether the upstream booked the slot. A second send could block two therapists for one
/// guest, so the caller is told that it may have run.
#[test]
fn a_call_that_is_not_idempotent_is_never_sent_again_after_it_may_have_run() {
    let mut bench = Bench::new(service(3));
    let mut call = bench.call(Class::Urgent);
    call.idempotent = false;
    bench.arrive(&call);

    let actions = bench.end(&call, Outcome::Failed);

    assert_eq!(dispatched(&actions), None);
    assert_eq!(given_up(&actions), Some(ResultCode::UpstreamFailed));
}

/// The message that a confirmation arrived is given to the router twice. A second dispatch would
/// book the slot twice.
#[test]
fn a_doubled_arrival_is_sent_once() {
    let mut bench = Bench::new(service(3));
    let (call, sent) = bench.send(Class::Urgent);
    assert!(sent.is_some());

    assert_eq!(bench.arrive(&call), []);
}

/// An upstream refuses a call and says that it did not run. Another one may take it; the one that
/// refused is not asked again, and when all have refused the caller is told "not run".
#[test]
fn a_refused_call_goes_to_each_upstream_at_most_once() {
    let mut bench = Bench::new(service(2));
    let (call, first) = bench.send(Class::Urgent);

    let second = dispatched(&bench.end(&call, Outcome::RefusedByUpstream));
    let actions = bench.end(&call, Outcome::RefusedByUpstream);

    assert_ne!(first, second);
    assert!(second.is_some());
    assert_eq!(refused(&actions), Some(ResultCode::UpstreamRefused));
}

/// The first words of an answer reached the editor, then the engine died. Another engine would
/// begin a different text; gluing both together would corrupt a manuscript.
#[test]
fn an_answer_that_broke_off_is_not_started_elsewhere() {
    let mut bench = Bench::new(service(3));
    let (call, _) = bench.send(Class::Routine);
    let request = call.request.clone();
    bench.tell(RoutingEvent::FirstByte { request });

    let actions = bench.end(&call, Outcome::Failed);

    assert_eq!(given_up(&actions), Some(ResultCode::AnswerCut));
}

/// Every attempt at every upstream fails. Each failed call wants a second send, which would double
/// the load of a service that is already failing.
#[rstest]
#[case::as_the_text_says(0.1, 0.1)]
#[case::never_more_than_a_fifth(0.9, 0.2)]
fn second_sends_stay_within_the_budget(#[case] ratio: f64, #[case] allowed: f64) {
    let mut bench = Bench::new(service(10).with_retry_budget(ratio));
    let calls = 1_000;
    let mut sends = 0;
    for _ in 0..calls {
        let (call, first) = bench.send(Class::Routine);
        sends += usize::from(first.is_some());
        while dispatched(&bench.end(&call, Outcome::Failed)).is_some() {
            sends += 1;
        }
        bench.advance(100);
    }

    let burst = 4.0;
    assert!(
        sends as f64 <= calls as f64 * (1.0 + allowed) + burst,
        "{sends} sends"
    );
    assert!(
        sends > calls * 9 / 10,
        "{sends} sends: the service was left without traffic"
    );
}
