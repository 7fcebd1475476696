//! Which new connections a node serves while its traffic thread has more to do than it gets done.

use std::time::Duration;

use nutmegsail_relay::OverloadGate;
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How many of the connections are served that come every 10 ms from `from_ms` on for `for_ms`, if tasks wait for
/// `delay_ms`. The delay of one task is recorded every 10 ms.
fn served(gate: &mut OverloadGate, delay_ms: u64, from_ms: u64, for_ms: u64) -> usize {
    let times = (from_ms..from_ms + for_ms).step_by(10);
    times
        .filter(|at| {
            let is_served = gate.accepts(ms(*at));
            gate.record_delay(ms(delay_ms), ms(*at));
            is_served
        })
        .count()
}

#[rstest]
#[case::at_once(0)]
#[case::late_but_in_time(100)]
fn connections_are_served_while_delays_are_low(#[case] delay_ms: u64) {
    let mut gate = OverloadGate::default();
    assert_eq!(served(&mut gate, delay_ms, 10_000, 1_000), 100);
    assert!(!gate.is_overloaded(ms(11_000)));
}

// Guards against closing connections for a stop of the process that is short.
#[test]
fn short_stops_of_the_process_are_no_overload() {
    let mut gate = OverloadGate::default();
    for at in (0..5_000).step_by(10) {
        let delay = 190_u64.saturating_sub(at % 200);
        gate.record_delay(ms(delay), ms(at));
        assert!(gate.accepts(ms(at)), "at {at} ms");
    }
}

// Guards against two delays far apart that count as one that lasted.
#[test]
fn delays_far_apart_are_no_overload() {
    let mut gate = OverloadGate::default();
    for at in (0..60_000).step_by(1_500) {
        gate.record_delay(ms(500), ms(at));
        assert!(gate.accepts(ms(at)), "at {at} ms");
    }
}

// Guards against a node that is ready and takes no connection at all.
#[test]
fn an_overloaded_node_accepts_some_connections() {
    let mut gate = OverloadGate::default();
    let count = served(&mut gate, 400, 10_000, 10_000);
    assert!((30..80).contains(&count), "{count}");
    assert!(gate.is_overloaded(ms(20_000)));
}

// Guards against a burst that is accepted at once as soon as an overloaded node has nothing to do.
#[test]
fn an_overloaded_node_accepts_as_fast_as_tasks_run() {
    let mut gate = OverloadGate::default();
    served(&mut gate, 400, 10_000, 1_000);
    gate.record_delay(ms(1), ms(11_000));
    let burst = (0..100).filter(|_| gate.accepts(ms(11_001))).count();
    assert!((1..10).contains(&burst), "{burst}");
    gate.record_delay(ms(1), ms(11_002));
    assert!(gate.accepts(ms(11_003)));
}

#[test]
fn all_connections_are_served_a_while_after_an_overload() {
    let mut gate = OverloadGate::default();
    served(&mut gate, 400, 10_000, 1_000);
    served(&mut gate, 10, 11_000, 1_000);
    assert!(!gate.is_overloaded(ms(12_000)));
    assert!((0..100).all(|_| gate.accepts(ms(12_000))));
}
