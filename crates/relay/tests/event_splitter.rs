//! Whole events of a stream that one upstream after another sends.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use nutmegsail_relay::{EventOutOfOrder, EventSplitter};
use rstest::rstest;

// Guards against a whole stream that is taken for one that broke off, or is joined wrongly, because of its line ends.
#[rstest]
#[case::lf("id: 1\ndata: a\n\nid: 2\nda", "id: 2\ndata: b\n\n")]
#[case::cr_lf("id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", "id: 2\r\ndata: b\r\n\r\n")]
#[case::cr("id: 1\rdata: a\r\rid: 2\rda", "id: 2\rdata: b\r\r")]
#[case::other_line_ends("id: 1\r\ndata: a\r\n\r", "id: 2\ndata: b\n\n")]
#[case::byte_order_marks("\u{FEFF}id: 1\ndata: a\n\nid", "\u{FEFF}id: 2\ndata: b\n\n")]
fn a_resumed_stream_is_joined_between_events(#[case] first: &str, #[case] second: &str) {
    let mut events = EventSplitter::default();
    let mut forwarded = events.push(first.as_bytes()).unwrap();
    events.begin_resumed();
    assert_eq!(events.last_id(), Some(1));
    for byte in second.as_bytes() {
        forwarded.extend(events.push(&[*byte]).unwrap());
    }
    assert!(!events.is_inside_event());
    forwarded.extend(events.take_partial());
    let text = String::from_utf8(forwarded).unwrap();
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let text = text.strip_prefix('\u{FEFF}').unwrap_or(&text);
    assert_eq!(text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against lost events: those before the one that is out of order are not forwarded, so the stream is not resumed
// after them.
#[test]
fn events_before_one_out_of_order_are_sent_again() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: a\n\n").unwrap();
    let repeated = events.push(b"id: 2\ndata: b\n\nid: 1\ndata: a\n\n");
    assert_eq!(repeated, Err(EventOutOfOrder));
    assert_eq!(events.last_id(), Some(1));
}

// Guards against repeated events: an upstream starts from the first one, though the caller has them.
#[test]
fn a_stream_that_a_caller_resumes_does_not_start_again() {
    let mut events = EventSplitter::after(Some(7));
    assert_eq!(events.push(b"id: 1\ndata: a\n\n"), Err(EventOutOfOrder));
    assert_eq!(events.last_id(), Some(7));
}

#[test]
fn comments_are_forwarded_at_once() {
    let mut events = EventSplitter::default();
    assert_eq!(events.push(b": ping\nid: 1\n").unwrap(), b": ping\n");
    assert!(events.is_inside_event());
}

#[test]
fn an_event_with_an_id_ends_the_ban_on_resuming() {
    let mut events = EventSplitter::default();
    events.push(b"data: a\n\n").unwrap();
    assert!(!events.can_resume());
    events.push(b"id: 2\ndata: b\n\n").unwrap();
    assert!(events.can_resume());
}
