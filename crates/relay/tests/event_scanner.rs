//! Boundaries between the events of a stream, whatever its line ends and however its bytes are split over reads.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use nutmegsail_relay::{EventScanner, ScannedEvent};
use proptest::prelude::*;
use rstest::rstest;

/// Scans `parts` in order; returns the events with the position of their ends, and the scanner.
fn scan<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> (Vec<(usize, ScannedEvent)>, EventScanner) {
    let mut scanner = EventScanner::default();
    let (mut events, mut position) = (Vec::new(), 0);
    for part in parts {
        let mut rest = part;
        while let Some((length, event)) = scanner.next_event(rest) {
            position += length;
            rest = &rest[length..];
            events.push((position, event));
        }
        position += rest.len();
    }
    (events, scanner)
}

fn ids(bytes: &[u8]) -> Vec<u64> {
    let (events, _) = scan([bytes]);
    events.iter().filter_map(|(_, event)| event.id).collect()
}

// Guards against whole streams that are taken for broken ones, or events that are lost, because of their line ends.
#[rstest]
#[case::lf("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::cr_lf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
#[case::cr("id: 1\rdata: a\r\rid: 2\rdata: b\r\r")]
#[case::mixed("id: 1\r\ndata: a\n\rid: 2\rdata: b\r\n\n")]
#[case::byte_order_mark("\u{FEFF}id: 1\ndata: a\n\nid:2\ndata: b\n\n")]
#[case::comments(": hello\n\nid: 1\n: ping\ndata: a\n\n: ping\nid: 2\ndata: b\n\n: bye\n")]
#[case::comment_without_end("id: 1\ndata: a\n\nid: 2\ndata: b\n\n: by")]
#[case::fields_of_others(
    "retry: 100\nid: 1\nx-weights: 3\ndata: a\n\nevent: x\nid:  2 \ndata\n\nretry: 9\n"
)]
#[case::blank_lines("\n\r\n\rid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n")]
#[case::half_of_the_last_line_end("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r")]
fn events_are_found_whatever_the_line_ends(#[case] text: &str) {
    assert_eq!(ids(text.as_bytes()), [1, 2]);
    let (_, scanner) = scan([text.as_bytes()]);
    assert!(!scanner.is_inside_event());
}

// Guards against a stream that ended inside an event and counts as whole.
#[rstest]
#[case::in_the_data("id: 1\ndata: a\n\nid: 2\ndata: b")]
#[case::after_a_line("id: 1\ndata: a\n\nid: 2\ndata: b\n")]
#[case::after_a_cr_lf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n")]
#[case::in_a_name("id: 1\ndata: a\n\ni")]
#[case::after_an_id("id: 1\ndata: a\n\nid: 2\n")]
#[case::after_a_comment("id: 1\ndata: a\n\nid: 2\ndata: b\n: ping\n")]
#[case::in_a_line_of_another_name("id: 1\ndata: a\n\nx-weights: 3\n")]
fn an_unfinished_event_is_noticed(#[case] text: &str) {
    assert_eq!(ids(text.as_bytes()), [1]);
    let (_, scanner) = scan([text.as_bytes()]);
    assert!(scanner.is_inside_event());
}

#[test]
fn a_byte_order_mark_is_no_event() {
    let (_, scanner) = scan(["\u{FEFF}".as_bytes()]);
    assert!(!scanner.is_inside_event());
}

#[test]
fn an_event_without_an_id_has_none() {
    let (events, _) = scan([b"data: a\n\nid: x\ndata: b\n\nid: 3\n\n".as_slice()]);
    let found: Vec<_> = events
        .iter()
        .map(|(_, event)| (event.id, event.has_data))
        .collect();
    assert_eq!(found, [(None, true), (None, true), (Some(3), false)]);
}

#[test]
fn a_long_line_is_one_line() {
    let text = format!("id: 1\ndata: {}\n\nid: 2\ndata: b\n\n", "x".repeat(10_000));
    assert_eq!(ids(text.as_bytes()), [1, 2]);
}

/// Bytes that resemble streams: fields, comments and line ends in random order.
fn near_streams() -> impl Strategy<Value = Vec<u8>> {
    let pieces = prop::sample::select(vec![
        "id: 1", "id:22", "data: a", "data", "retry: 5", ": c", "event: x", "\n", "\r", "\r\n",
        "\n\n", "\u{FEFF}",
    ]);
    prop::collection::vec(pieces, 0..24).prop_map(|pieces| pieces.concat().into_bytes())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn how_the_bytes_are_split_does_not_matter(bytes in near_streams(), cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6)) {
        let (whole, scanner) = scan([bytes.as_slice()]);
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let parts = cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]);
        let (split, split_scanner) = scan(parts);
        let events = |found: &[(usize, ScannedEvent)]| -> Vec<ScannedEvent> {
            let found = found.iter().map(|(_, event)| *event);
            found.filter(|event| *event != ScannedEvent::default()).collect()
        };
        prop_assert_eq!(events(&whole), events(&split));
        prop_assert_eq!(scanner.is_inside_event(), split_scanner.is_inside_event());
    }

    #[test]
    fn a_boundary_is_never_inside_an_event(bytes in near_streams()) {
        let (events, _) = scan([bytes.as_slice()]);
        for (end, _) in events {
            let (_, scanner) = scan([&bytes[..end]]);
            prop_assert!(!scanner.is_inside_event());
        }
    }
}
