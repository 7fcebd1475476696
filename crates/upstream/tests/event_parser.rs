//! The events of an answer: in order, whole, bounded, whatever the pieces they arrive in.

use nutmegsail_upstream::{EventParser, StreamEvent, UpstreamError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const END_1: &str = "event: end\ndata: {\"count\":1,\"reason\":\"stop\"}\n\n";
const LIMIT_BYTES: usize = 1_000_000;

/// Every event of `chunks`, and the error that stopped the reading.
fn parse(chunks: &[&[u8]]) -> (Vec<StreamEvent>, Option<UpstreamError>) {
    let mut parser = EventParser::after(0);
    let mut events = Vec::new();
    for chunk in chunks {
        parser.push(chunk);
        loop {
            match parser.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(error) => return (events, Some(error)),
            }
        }
    }
    (events, None)
}

#[rstest]
#[case::gap("id: 2\ndata: {}\n\n", "event 2 came after event 0")]
#[case::no_id("data: {}\n\n", "an event has no number as its id")]
#[case::bad_id("id: x\ndata: {}\n\n", "an event has no number as its id")]
#[case::two_lines(
    "id: 1\ndata: {}\ndata: {}\n\n",
    "an event has more than one line of data"
)]
#[case::unknown_name("event: ping\ndata: {}\n\n", "an event has an unknown name")]
#[case::miscounted_end(END_1, "the end counts 1 events, but 0 came")]
fn events_out_of_order_are_malformed(#[case] text: &str, #[case] why: &str) {
    let (events, error) = parse(&[text.as_bytes()]);
    assert!(events.is_empty());
    assert_eq!(error, Some(UpstreamError::Malformed(why.to_owned())));
}

#[test]
fn bytes_that_are_no_text_are_malformed() {
    let (_, error) = parse(&[b"id: 1\ndata: \xff\n\n"]);
    let why = "an event is not UTF-8".to_owned();
    assert_eq!(error, Some(UpstreamError::Malformed(why)));
}

#[test]
fn comments_and_carriage_returns_are_taken() {
    let text = format!(": alive\n\nid: 1\r\ndata:{{}}\r\n\r\n{END_1}");
    let (events, error) = parse(&[text.as_bytes()]);
    assert_eq!((events.len(), error), (2, None));
}

#[test]
fn nothing_is_read_after_the_end() {
    let text = format!("id: 1\ndata: {{}}\n\n{END_1}id: 9\ndata: {{}}\n\n");
    let (events, error) = parse(&[text.as_bytes()]);
    assert_eq!((events.len(), error), (2, None));
}

/// An engine that never ends an event must not fill the node's memory.
#[rstest]
#[case::just_fits(LIMIT_BYTES, true)]
#[case::one_over(LIMIT_BYTES + 1, false)]
fn an_event_over_the_limit_is_malformed(
    #[case] size_bytes: usize,
    #[case] is_taken: bool,
    #[values(1, 7, 65_536, 2_000_000)] last_bytes: usize,
) {
    let head = "id: 1\ndata: ";
    let data = "x".repeat(size_bytes - head.len() - 1);
    let text = format!("{head}{data}\n\n");
    let (first, last) = text.split_at(text.len().saturating_sub(last_bytes));
    let (events, error) = parse(&[first.as_bytes(), last.as_bytes()]);
    assert_eq!((events.len() == 1, error.is_none()), (is_taken, is_taken));
}

#[test]
fn an_event_that_never_ends_is_malformed() {
    let chunk = vec![b'x'; 64 * 1024];
    let chunks: Vec<&[u8]> = std::iter::repeat_n(chunk.as_slice(), 16).collect();
    assert!(parse(&chunks).1.is_some());
}

fn fragment() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        6 => (1..4_u64).prop_map(|id| format!("id: {id}\ndata: \"é漢🙂\"\n\n").into_bytes()),
        2 => Just(END_1.as_bytes().to_vec()),
        1 => Just(b": alive\r\n\r\n".to_vec()),
        1 => Just(b"\n".to_vec()),
        1 => proptest::collection::vec(any::<u8>(), 0..6),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_split_of_the_bytes_gives_the_same_events(
        fragments in proptest::collection::vec(fragment(), 0..6),
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..8),
    ) {
        let whole = fragments.concat();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(whole.len() + 1)).collect();
        cuts.sort_unstable();
        let mut chunks = Vec::new();
        let mut from = 0;
        for to in cuts.into_iter().chain([whole.len()]) {
            chunks.push(&whole[from..to]);
            from = to;
        }
        prop_assert_eq!(parse(&chunks), parse(&[&whole]));
    }
}
