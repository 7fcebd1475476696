//! Which paces are sent to other nodes, and how they are encoded.

use std::time::{Duration, Instant};

use nutmegsail_relay::{PaceFilter, decode_pace, encode_pace};

// Guards against an encoding that loses more than the change that is worth a message.
#[test]
fn encoded_paces_are_exact_to_one_in_a_hundred() {
    for tokens_per_ms in [0.6, 4.0, 11.46, 19.1, 30.56, 41.3, 655.0] {
        let decoded = encode_pace(tokens_per_ms).map(decode_pace);
        let is_exact = |decoded: f64| (decoded / tokens_per_ms - 1.0).abs() < 0.01;
        assert!(decoded.is_some_and(is_exact), "{tokens_per_ms} {decoded:?}");
    }
}

// Guards against a value that isn't a pace and that other nodes would divide by.
#[test]
fn only_paces_are_encoded() {
    for value in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(encode_pace(value), None, "{value}");
    }
    assert_eq!(encode_pace(10_000.0), Some(u16::MAX));
    assert_eq!(encode_pace(0.000_1), Some(1));
}

// Guards against slow changes that are never sent, since each is small by itself.
#[test]
fn small_changes_add_up_until_they_are_sent() {
    let (mut filter, now) = (PaceFilter::default(), Instant::now());
    let sent = (1_000..=1_104).filter(|pace| !filter.due_paces([("e", *pace)], now).is_empty());
    assert_eq!(sent.collect::<Vec<u16>>(), [1_000, 1_051, 1_104]);
}

// Guards against receivers that forget a pace that doesn't change, after 30 s.
#[test]
fn all_paces_are_sent_every_10_s() {
    let (mut filter, now) = (PaceFilter::default(), Instant::now());
    let paces = [("e1", 1_000), ("e2", 2_000)];
    let sent_s = (0..31).filter(|second| {
        let now = now + Duration::from_secs(*second);
        filter.due_paces(paces, now).len() == 2
    });
    assert_eq!(sent_s.collect::<Vec<u64>>(), [0, 10, 20, 30]);
}

// Guards against a restarted engine whose pace isn't sent because the name was known before.
#[test]
fn engine_that_was_gone_counts_as_new() {
    let (mut filter, now) = (PaceFilter::default(), Instant::now());
    filter.due_paces([("e1", 1_000)], now);
    assert!(filter.due_paces([], now).is_empty());
    assert_eq!(filter.due_paces([("e1", 1_000)], now), [("e1", 1_000)]);
}
