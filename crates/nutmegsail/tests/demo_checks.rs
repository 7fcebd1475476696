//! The checks of `nutmegsail demo`: a run that went well passes, and each broken promise is seen.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegsail::{
    BookingRecord, CallerRefusal, DemoEvidence, DemoReport, EventReader, ExitCode, Ledgers,
    NodePolls, Outcome, Piece, Poll, StreamRecord, TextChange, TextFile, UpstreamLedger,
    UpstreamRuns, check_evidence,
};
use nutmegsail_base::{AdapterRef, Class, RunState};
use nutmegsail_config::{AdapterLookup, Generation};
use rstest::rstest;

const ENGINE: &str = "127.0.0.1:9101";
const DESK: &str = "127.0.0.1:9201";
const KEY: &str = "01978f3a-0000-7000-8000-000000000001";

fn stream() -> StreamRecord {
    let piece = |id: u64| Piece {
        id,
        text: format!("tablet-1-1-1.u/note-01@1/{id} "),
    };
    StreamRecord {
        caller: "tablet-1".to_owned(),
        class: Class::Urgent,
        adapter: AdapterRef::new("note-01", 1),
        own_id: "tablet-1-1-1".to_owned(),
        asked_pieces: 3,
        outcome: Outcome::Whole,
        pieces: (1..=3).map(piece).collect(),
        count: Some(3),
        answered_by: vec!["note-01@1".to_owned()],
        first_token: Some(Duration::from_millis(21)),
        resumed: 0,
        tries: 1,
        refusals: Vec::new(),
    }
}

fn booking() -> BookingRecord {
    let answer = r#"{"path":"/bookings/confirm?guest=1","run":1}"#;
    BookingRecord {
        caller: "desk-1".to_owned(),
        key: KEY.to_owned(),
        path: "/bookings/confirm?guest=1".to_owned(),
        outcome: Outcome::Whole,
        answers: vec![answer.to_owned(); 2],
        first_answer: Some(Duration::from_millis(9)),
        tries: 3,
        lost: 0,
        refusals: vec![refusal(4008, "desk.1")],
    }
}

fn refusal(number: u16, request: &str) -> CallerRefusal {
    CallerRefusal {
        number,
        run_state: Some(RunState::NotRun),
        retry_helps: true,
        request: request.to_owned(),
        ..CallerRefusal::default()
    }
}

fn runs(adapters: &[&str]) -> UpstreamRuns {
    UpstreamRuns {
        runs: 1,
        adapters: adapters.iter().map(ToString::to_string).collect(),
    }
}

fn ledgers() -> Ledgers {
    let engine = UpstreamLedger {
        requests: [("tablet-1-1-1.u".to_owned(), runs(&["note-01@1"]))].into(),
        keys: BTreeMap::new(),
    };
    let desk = UpstreamLedger {
        requests: [("desk.2".to_owned(), runs(&[]))].into(),
        keys: [(KEY.to_owned(), runs(&[]))].into(),
    };
    Ledgers([(ENGINE.to_owned(), engine), (DESK.to_owned(), desk)].into())
}

/// A node's generation at each second; `None` where it gave no answer.
fn polls(generations: &[Option<u64>]) -> Vec<NodePolls> {
    let poll = |(second, generation): (u64, &Option<u64>)| Poll {
        asked_at: Duration::from_secs(second),
        generation: generation.map(Generation),
    };
    vec![NodePolls {
        node: "negril-1".to_owned(),
        polls: (0..).zip(generations).map(poll).collect(),
    }]
}

/// A run that went well; the text was changed after two seconds.
fn sound() -> DemoEvidence {
    DemoEvidence {
        streams: vec![stream()],
        bookings: vec![booking()],
        polls: polls(&[
            Some(1),
            Some(1),
            Some(1),
            Some(2),
            Some(2),
            Some(2),
            Some(2),
        ]),
        ledgers: ledgers(),
        change: TextChange {
            generation: Generation(2),
            asked_at: Duration::from_secs(2),
        },
    }
}

fn broken(evidence: &DemoEvidence) -> Vec<&'static str> {
    let checks = check_evidence(evidence).into_iter();
    let broken = checks.filter(|check| !check.holds());
    broken.map(|check| check.promise).collect()
}

fn ledger<'a>(evidence: &'a mut DemoEvidence, address: &str) -> &'a mut UpstreamLedger {
    evidence.ledgers.0.get_mut(address).expect("a ledger")
}

#[test]
fn a_run_that_went_well_holds_every_promise() {
    assert_eq!(broken(&sound()), Vec::<&str>::new());
    assert_eq!(DemoReport::new(&sound()).exit_code(), ExitCode::Done);
}

#[rstest]
#[case::text_of_another_adapter("adapter and version", |e: &mut DemoEvidence| {
    e.streams[0].pieces[1].text = "tablet-1-1-1.u/note-02@1/2 ".to_owned();
})]
#[case::text_of_another_version("adapter and version", |e: &mut DemoEvidence| {
    e.streams[0].pieces[1].text = "tablet-1-1-1.u/note-01@2/2 ".to_owned();
})]
#[case::a_resume_on_another_adapter("adapter and version", |e: &mut DemoEvidence| {
    e.streams[0].answered_by.push("note-01@2".to_owned());
})]
#[case::an_engine_ran_another_version("adapter and version", |e: &mut DemoEvidence| {
    ledger(e, ENGINE).requests.insert("tablet-1-1-1.u".to_owned(), runs(&["note-01@2"]));
})]
#[case::text_of_another_caller("own request", |e: &mut DemoEvidence| {
    e.streams[0].pieces[2].text = "tablet-2-1-1.u/note-01@1/3 ".to_owned();
})]
#[case::text_of_another_run("own request", |e: &mut DemoEvidence| {
    e.streams[0].pieces[2].text = "tablet-1-1-1.v/note-01@1/3 ".to_owned();
})]
#[case::a_lost_piece("lost, doubled", |e: &mut DemoEvidence| {
    e.streams[0].pieces.remove(1);
})]
#[case::a_doubled_piece("lost, doubled", |e: &mut DemoEvidence| {
    let piece = e.streams[0].pieces[1].clone();
    e.streams[0].pieces.insert(1, piece);
})]
#[case::a_piece_under_another_number("lost, doubled", |e: &mut DemoEvidence| {
    e.streams[0].pieces[1].text = "tablet-1-1-1.u/note-01@1/7 ".to_owned();
})]
#[case::a_short_answer_called_whole("lost, doubled", |e: &mut DemoEvidence| {
    e.streams[0].pieces.pop();
    e.streams[0].count = Some(2);
})]
#[case::an_end_that_counts_wrong("lost, doubled", |e: &mut DemoEvidence| {
    e.streams[0].count = Some(4);
})]
#[case::a_booking_run_twice("more than once", |e: &mut DemoEvidence| {
    ledger(e, DESK).keys.get_mut(KEY).expect("the key").runs = 2;
})]
#[case::a_booking_run_at_two_services("more than once", |e: &mut DemoEvidence| {
    ledger(e, ENGINE).keys.insert(KEY.to_owned(), runs(&[]));
})]
#[case::a_repeat_with_another_answer("answer of its own booking", |e: &mut DemoEvidence| {
    e.bookings[0].answers[1] = r#"{"path":"/bookings/confirm?guest=1","run":2}"#.to_owned();
})]
#[case::the_answer_of_another_booking("answer of its own booking", |e: &mut DemoEvidence| {
    let other = r#"{"path":"/bookings/confirm?guest=2","run":1}"#.to_owned();
    e.bookings[0].answers = vec![other.clone(), other];
})]
#[case::a_false_not_run("`not_run`", |e: &mut DemoEvidence| {
    e.bookings[0].refusals[0].request = "desk.2".to_owned();
})]
#[case::a_false_not_run_of_a_stream("`not_run`", |e: &mut DemoEvidence| {
    e.streams[0].refusals.push(refusal(2001, "tablet-1-1-1.u"));
})]
#[case::a_booking_refused_that_ran("`not_run`", |e: &mut DemoEvidence| {
    e.bookings[0].outcome = Outcome::Refused;
})]
#[case::an_older_generation("goes back", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(1), Some(2), Some(1), Some(2)]);
})]
#[case::no_generation_without_a_restart("goes back", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(1), Some(2), Some(0), Some(2)]);
})]
#[case::an_older_generation_after_a_restart("goes back", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(2), None, Some(0), Some(1), Some(2)]);
})]
#[case::an_older_generation_after_a_freeze("goes back", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(2), None, Some(1), Some(2)]);
})]
#[case::a_late_change("within 3 s", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(1), Some(1), Some(1), Some(1), Some(1), Some(1), Some(2)]);
})]
#[case::a_node_that_never_runs_the_change("within 3 s", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(1), Some(1), None, None]);
})]
#[case::late_after_it_can_be_reached_again("within 3 s", |e: &mut DemoEvidence| {
    e.polls = polls(&[Some(1), None, None, Some(1), Some(1), Some(1), Some(1), Some(2)]);
})]
#[case::no_node_looked_at("within 3 s", |e: &mut DemoEvidence| e.polls.clear())]
#[case::cut_streams("streams come whole", |e: &mut DemoEvidence| {
    e.streams[0].outcome = Outcome::Cut;
})]
#[case::no_streams("streams come whole", |e: &mut DemoEvidence| e.streams.clear())]
#[case::bookings_that_did_not_run("half of the bookings", |e: &mut DemoEvidence| {
    e.bookings[0].outcome = Outcome::Unknown;
    ledger(e, DESK).keys.clear();
})]
#[case::no_bookings("half of the bookings", |e: &mut DemoEvidence| e.bookings.clear())]
#[case::a_refusal_without_a_number("has a number", |e: &mut DemoEvidence| {
    e.streams[0].refusals.push(CallerRefusal::read(b"<html>"));
})]
fn a_broken_promise_is_seen(#[case] promise: &str, #[case] doctor: fn(&mut DemoEvidence)) {
    let mut evidence = sound();
    doctor(&mut evidence);
    let broken = broken(&evidence);
    assert!(
        broken.iter().any(|seen| seen.contains(promise)),
        "{broken:?}"
    );
    assert_eq!(
        DemoReport::new(&evidence).exit_code(),
        ExitCode::PromiseBroken
    );
}

#[rstest]
#[case::a_node_that_was_killed(&[Some(1), None, Some(0), Some(2), Some(2)])]
#[case::a_node_that_starts_with_the_newest(&[Some(1), None, Some(2), Some(2)])]
#[case::a_node_that_was_frozen(&[Some(1), None, None, None, None, None, Some(1), Some(2)])]
fn a_node_that_failed_and_came_back_breaks_nothing(#[case] generations: &[Option<u64>]) {
    let mut evidence = sound();
    evidence.polls = polls(generations);
    assert_eq!(broken(&evidence), Vec::<&str>::new());
}

#[test]
fn the_report_shows_what_each_caller_got() {
    insta::assert_snapshot!(DemoReport::new(&sound()), @r"
    What each caller got (first token in ms: median / longest)
      desk-1    booking, twice  1 whole                        9 / 9     resumed   0  1 NS4008
      tablet-1  urgent stream   1 whole                       21 / 21    resumed   0
    Requests that were tried again, resumed or refused
      desk-1    /bookings/confirm?guest=1            whole     first token     9 ms, sent 3, resumed 0  NS4008
    Promises
      held   every piece is of the adapter and version asked for (3 pieces of 1 streams)
      held   every piece is of the caller's own request (3 pieces of 1 streams)
      held   no piece is lost, doubled or out of order, and the end counts them (3 pieces of 1 streams)
      held   no booking runs more than once, and a confirmed one did run (1 bookings, sent 3 times)
      held   a repeat gets the answer of its own booking again (1 bookings answered twice)
      held   what was told `not_run` did not run (1 times told)
      held   the generation on no node goes back, but for a new process without one (7 looks at 1 nodes)
      held   the change is in force within 3 s on every node that can be reached (7 looks at 1 nodes)
      held   at least 90 % of the streams come whole (1 of 1)
      held   at least half of the bookings run (1 of 1)
      held   every refusal has a number (1 refusals)
    ");
}

#[test]
fn events_read_the_same_however_the_bytes_were_split() {
    let bytes = b"id: 1\ndata: {\"a\":1}\n\nevent: end\ndata: {\"count\":1}\n\ndata: [DONE]\n\n";
    let whole = EventReader::default().push(bytes);
    let mut reader = EventReader::default();
    let split: Vec<_> = bytes
        .iter()
        .flat_map(|byte| reader.push(&[*byte]))
        .collect();
    assert_eq!(whole, split);
    assert_eq!(whole.len(), 3);
    assert_eq!((whole[0].id, whole[1].name.as_str()), (Some(1), "end"));
}

#[test]
fn the_demonstrations_text_has_what_its_callers_ask_for() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/demo.toml");
    let file = TextFile::read(path.as_ref()).expect("a sound text");
    for index in 1..=5 {
        let adapter = AdapterRef::new(format!("note-{index:02}"), 1 + (index - 1) % 2);
        let found = file.deployment.find_adapter(&adapter);
        assert!(matches!(found, AdapterLookup::Found(_)), "{adapter}");
    }
    let desk = &file.deployment.services["spa-desk"];
    let is_once_only = |call: &nutmegsail_config::Call| call.once_only;
    assert!(desk.calls.iter().any(is_once_only));
}
