//! The slot gate where operators have set the value of late answers.

use std::time::{Duration, Instant};

use nutmegsail_relay::{LateWorth, SlotAnswer, SlotGate, SlotRequest};

const MS: Duration = Duration::from_millis(1);

const ROUTINE: SlotRequest = SlotRequest {
    due_in_ms: 300,
    wait_limit_ms: 3_000,
    may_queue: true,
    priority: 1,
};

const URGENT: SlotRequest = SlotRequest {
    priority: 0,
    ..ROUTINE
};

/// A gate with one slot, and the two requests that it grants at once.
fn full_gate(now: Instant) -> SlotGate<u32> {
    let mut gate = SlotGate::new(1).with_late_worth(LateWorth::default());
    assert_eq!(gate.ask(1, ROUTINE, now), SlotAnswer::Granted);
    assert_eq!(gate.ask(2, ROUTINE, now), SlotAnswer::Granted);
    gate
}

/// Guards against a table that has no effect without a rate limit.
#[test]
fn urgent_requests_and_those_on_time_go_before_late_ones() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    let late = SlotRequest {
        due_in_ms: 0,
        ..ROUTINE
    };
    assert_eq!(gate.ask(3, late, now), SlotAnswer::Queued);
    assert_eq!(gate.ask(4, ROUTINE, now), SlotAnswer::Queued);
    assert_eq!(gate.ask(5, URGENT, now), SlotAnswer::Queued);
    let mut order = Vec::new();
    for released in [1, 2, 5, 4] {
        let answers = gate.release(&released, Some(50 * MS), now);
        order.extend(answers.into_iter().map(|(key, _)| key));
    }
    assert_eq!(order, [5, 4, 3]);
}

/// Guards against requests that hold a place until their callers give up, although urgent ones have
/// left no room for them.
#[test]
fn what_a_later_request_makes_hopeless_is_refused_at_once() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    // A slot is held for 50 ms, and two requests hold one at a time: one starts each 25 ms.
    let short = SlotRequest {
        due_in_ms: 0,
        wait_limit_ms: 60,
        ..ROUTINE
    };
    assert_eq!(gate.ask(3, short, now), SlotAnswer::Queued);
    assert_eq!(gate.take_refused(), []);
    for key in 4..7 {
        assert_eq!(gate.ask(key, URGENT, now), SlotAnswer::Queued);
    }
    let refused = gate.take_refused();
    assert!(
        matches!(refused[..], [(3, SlotAnswer::Refused { wait_ms })] if wait_ms > 0),
        "{refused:?}"
    );
    // The refusal is returned once; the request's own caller gets it as the answer.
    assert_eq!(gate.take_refused(), []);
    let answer = gate.ask(8, short, now);
    assert!(matches!(answer, SlotAnswer::Refused { .. }), "{answer:?}");
    assert_eq!(gate.take_refused(), []);
}

/// Guards against a queue entry that outlives its caller, or a datagram that is delivered twice.
#[test]
fn requests_leave_the_queue_once() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    assert_eq!(gate.ask(3, ROUTINE, now), SlotAnswer::Queued);
    assert_eq!(gate.ask(3, ROUTINE, now), SlotAnswer::Queued);
    assert_eq!(gate.release(&3, None, now), []);
    assert_eq!(gate.release(&1, None, now), []);
    assert_eq!(gate.release(&2, None, now), []);
    assert!(gate.is_idle());
    // A caller that gave up is refused, not granted.
    let mut gate = full_gate(now);
    assert_eq!(gate.ask(3, ROUTINE, now), SlotAnswer::Queued);
    let answers = gate.release(&1, None, now + 3_000 * MS);
    assert!(
        matches!(answers[..], [(3, SlotAnswer::Refused { .. })]),
        "{answers:?}"
    );
}

/// Guards against a wait that does not count those that go first.
#[test]
fn a_request_that_may_not_queue_learns_its_wait() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    let probe = |gate: &mut SlotGate<u32>, ask: SlotRequest| {
        let ask = SlotRequest {
            may_queue: false,
            ..ask
        };
        match gate.ask(9, ask, now) {
            SlotAnswer::Busy { wait_ms } => wait_ms,
            answer => panic!("{answer:?}"),
        }
    };
    let first = probe(&mut gate, ROUTINE);
    assert_eq!(gate.ask(3, ROUTINE, now), SlotAnswer::Queued);
    assert!(probe(&mut gate, ROUTINE) > first);
    assert_eq!(probe(&mut gate, URGENT), first);
}
