//! What each answer of an engine means, and what a missing one means.

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use std::time::Duration;

use futures_util::StreamExt;
use nutmegsail_base::{AdapterRef, Class, Incarnation, NodeId, RequestId, RunState, UpstreamId};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, Engine, EngineRequest, EngineStream, HttpEngine, LoadOrder,
    OrderAnswer, OrderError, OrderOp, StreamEvent, UpstreamError, UpstreamSettings,
};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn, answer};

const HEADERS: &str = "x-adapter: summary@3\r\nx-incarnation: 7\r\n";
const PIECE_1: &str = "id: 1\ndata: {\"text\":\"a\"}\n\n";
const PIECE_2: &str = "id: 2\ndata: {\"text\":\"b\"}\n\n";
const END_2: &str = "event: end\ndata: {\"count\":2,\"reason\":\"stop\"}\n\n";

fn engine() -> HttpEngine {
    HttpEngine::new(UpstreamSettings::default())
}

/// An engine client that gives up soon, for servers that never answer.
fn impatient_engine() -> HttpEngine {
    HttpEngine::new(UpstreamSettings {
        control_timeout: Duration::from_millis(100),
        silence_timeout: Duration::from_millis(100),
        ..UpstreamSettings::default()
    })
}

fn request() -> EngineRequest {
    EngineRequest {
        request: RequestId::from("r1"),
        adapter: AdapterRef::new("summary", 3),
        class: Class::Urgent,
        deadline: Duration::from_secs(30),
        body: "{\"max_tokens\":2}".into(),
        path: "/v1/completions",
        traceparent: Some("00-1-2-01".to_owned()),
    }
}

fn upstream(server: &ScriptedServer) -> UpstreamId {
    server.address.as_str().into()
}

async fn start(turn: Turn) -> Result<EngineStream, UpstreamError> {
    let server = ScriptedServer::start([turn]).await;
    let result = engine().start(&upstream(&server), request()).await;
    assert_eq!(server.seen().len(), 1, "a request goes out once");
    result
}

/// The ids of the pieces, `end`, and the error that follows, if any.
async fn read(stream: EngineStream) -> (Vec<String>, Option<UpstreamError>) {
    let mut seen = Vec::new();
    let mut events = stream.events;
    while let Some(event) = events.next().await {
        match event {
            Ok(StreamEvent::Piece { id, .. }) => seen.push(id.to_string()),
            Ok(StreamEvent::End(_)) => seen.push("end".to_owned()),
            Err(error) => return (seen, Some(error)),
        }
    }
    (seen, None)
}

#[rstest]
#[case::full("x-not-run: true\r\nx-reason: full\r\n", UpstreamError::Full)]
#[case::leaving("x-not-run: true\r\nx-reason: leaving\r\n", UpstreamError::Leaving)]
#[case::absent(
    "x-not-run: true\r\nx-reason: adapter-absent\r\n",
    UpstreamError::AdapterAbsent(AdapterRef::new("summary", 3))
)]
#[case::without_the_statement("x-reason: full\r\n", UpstreamError::Failed { status: 503 })]
#[tokio::test]
async fn only_a_stated_refusal_did_not_run(#[case] headers: &str, #[case] expected: UpstreamError) {
    let is_refusal = !matches!(expected, UpstreamError::Failed { .. });
    let error = start(Turn::Answer(answer(503, headers, "x")))
        .await
        .unwrap_err();
    assert_eq!(error, expected);
    assert_eq!(error.run_state() == RunState::NotRun, is_refusal);
}

#[tokio::test]
async fn a_request_that_was_never_sent_did_not_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let result = engine().start(&address.into(), request()).await;
    assert_eq!(result.unwrap_err(), UpstreamError::Unreachable);
}

#[rstest]
#[case::no_byte(b"".as_slice())]
#[case::half_a_head(b"HTTP/1.1 200 OK\r\nx-ada".as_slice())]
#[tokio::test]
async fn a_connection_that_breaks_before_the_answer_may_have_run(#[case] bytes: &[u8]) {
    let error = start(Turn::AnswerAndClose(bytes.to_vec()))
        .await
        .unwrap_err();
    assert_eq!(error, UpstreamError::Broken);
    assert_eq!(error.run_state(), RunState::MayHaveRun);
}

#[tokio::test]
async fn a_silent_engine_breaks_at_the_deadline() {
    let server = ScriptedServer::start([Turn::AnswerAndHang(Vec::new())]).await;
    let hasty = EngineRequest {
        deadline: Duration::from_millis(100),
        ..request()
    };
    let error = engine().start(&upstream(&server), hasty).await.unwrap_err();
    assert_eq!(error, UpstreamError::Broken);
}

/// A therapist reads a summary that another hotel's adapter wrote: the engine had swapped the
/// adapter in its slot after the node chose it. The engine names what runs, so the node can see it.
#[rstest]
#[case::version("x-adapter: summary@4\r\n", "summary@4")]
#[case::name("x-adapter: other@3\r\n", "other@3")]
#[case::nothing("", "")]
#[tokio::test]
async fn an_answer_by_another_adapter_is_discarded_unread(
    #[case] header: &str,
    #[case] named: &str,
) {
    let headers = format!("{header}x-incarnation: 7\r\n");
    let error = start(Turn::Answer(answer(200, &headers, PIECE_1)))
        .await
        .unwrap_err();
    let expected = UpstreamError::WrongAdapter {
        asked: AdapterRef::new("summary", 3),
        answered: named.to_owned(),
    };
    assert_eq!(error, expected);
}

#[tokio::test]
async fn a_whole_answer_ends_with_its_count_and_its_connection_is_kept() {
    let body = [PIECE_1, PIECE_2, END_2].concat();
    let turn = || Turn::Answer(answer(200, HEADERS, &body));
    let server = ScriptedServer::start([turn(), turn()]).await;
    let engine = engine();
    for _ in 0..2 {
        let stream = engine.start(&upstream(&server), request()).await.unwrap();
        assert_eq!(stream.incarnation, Incarnation(7));
        let (seen, error) = read(stream).await;
        assert_eq!((seen.join(" "), error), ("1 2 end".to_owned(), None));
    }
    assert_eq!(server.connections(), 1);
    insta::assert_snapshot!(server.seen()[1].head.replace(&server.address, "ADDRESS"), @r###"
    POST /v1/completions HTTP/1.1
    content-type: application/json
    x-request-id: r1
    x-adapter: summary@3
    x-priority: 0
    x-deadline-ms: 30000
    x-resumable: true
    traceparent: 00-1-2-01
    host: ADDRESS
    content-length: 16
    "###);
}

#[rstest]
#[case::closed_in_good_order([PIECE_1, PIECE_2].concat(), 0, "1 2", UpstreamError::Broken)]
#[case::cut_in_the_body(PIECE_1.to_owned(), 9, "1", UpstreamError::Broken)]
#[case::cut_in_an_event(format!("{PIECE_1}id: 2\nda"), 9, "1", UpstreamError::Broken)]
#[tokio::test]
async fn an_answer_cut_short_shows(
    #[case] body: String,
    #[case] missing_bytes: usize,
    #[case] expected: &str,
    #[case] fault: UpstreamError,
) {
    let length = body.len() + missing_bytes;
    let bytes = format!("HTTP/1.1 200 x\r\n{HEADERS}content-length: {length}\r\n\r\n{body}");
    let stream = start(Turn::AnswerAndClose(bytes.into_bytes()))
        .await
        .unwrap();
    let (seen, error) = read(stream).await;
    assert_eq!((seen.join(" "), error), (expected.to_owned(), Some(fault)));
}

/// Routine passes fill their connections to an engine while a guest waits at the desk. In one pool
/// the guest's request would wait for a manuscript to end, or be refused for it.
#[tokio::test]
async fn routine_work_takes_no_connection_from_urgent_work() {
    let body = [PIECE_1, PIECE_2, END_2].concat();
    let turns = [
        Turn::AnswerAndHang(Vec::new()),
        Turn::Answer(answer(200, HEADERS, &body)),
    ];
    let server = ScriptedServer::start(turns).await;
    let engine = HttpEngine::new(UpstreamSettings {
        routine_connections: 1,
        ..UpstreamSettings::default()
    });
    let routine = EngineRequest {
        class: Class::Routine,
        ..request()
    };
    let at = upstream(&server);
    let mut long_pass = std::pin::pin!(engine.start(&at, routine.clone()));
    assert!(futures_util::poll!(&mut long_pass).is_pending());
    let second_pass = engine.start(&at, routine).await.unwrap_err();
    assert_eq!(second_pass, UpstreamError::Full);
    tokio::select! {
        biased;
        answer = engine.start(&at, request()) => assert!(answer.is_ok(), "{answer:?}"),
        _ = &mut long_pass => panic!("nobody answers"),
    }
}

#[tokio::test]
async fn a_stream_that_falls_silent_breaks() {
    let bytes = format!("HTTP/1.1 200 x\r\n{HEADERS}content-length: 999\r\n\r\n{PIECE_1}");
    let server = ScriptedServer::start([Turn::AnswerAndHang(bytes.into_bytes())]).await;
    let stream = impatient_engine()
        .start(&upstream(&server), request())
        .await
        .unwrap();
    let (seen, error) = read(stream).await;
    assert_eq!(
        (seen.join(" "), error),
        ("1".to_owned(), Some(UpstreamError::Broken))
    );
}

#[tokio::test]
async fn a_resume_goes_on_after_the_last_event() {
    let turns = [
        Turn::Answer(answer(200, HEADERS, &[PIECE_2, END_2].concat())),
        Turn::Answer(answer(200, HEADERS, &[PIECE_1, PIECE_2, END_2].concat())),
        Turn::Answer(answer(200, "x-incarnation: 8\r\n", PIECE_2)),
        Turn::Answer(answer(404, "", "")),
    ];
    let server = ScriptedServer::start(turns).await;
    let engine = engine();
    let (at, run) = (upstream(&server), RequestId::from("r1"));
    let resume = || engine.resume(&at, Incarnation(7), &run, 1);
    let (seen, error) = read(resume().await.unwrap()).await;
    assert_eq!((seen.join(" "), error), ("2 end".to_owned(), None));
    let (seen, error) = read(resume().await.unwrap()).await;
    assert!(seen.is_empty(), "an event that came before is not repeated");
    assert!(matches!(error, Some(UpstreamError::Malformed(_))));
    let spliced = resume().await.unwrap_err();
    assert!(
        matches!(spliced, UpstreamError::Malformed(_)),
        "{spliced:?}"
    );
    let gone = resume().await.unwrap_err();
    assert_eq!(gone, UpstreamError::Failed { status: 404 });
    assert_eq!(server.seen()[0].line(), "GET /v1/runs/r1?after=1");
}

#[tokio::test]
async fn a_cancelled_run_is_over() {
    let turns = [200, 404, 409, 500].map(|status| Turn::Answer(answer(status, "", "")));
    let server = ScriptedServer::start(turns).await;
    let engine = engine();
    let cancel = async || {
        engine
            .cancel(&upstream(&server), &"r1".into(), Attachment::FIRST)
            .await
    };
    assert_eq!(cancel().await, Ok(CancelAnswer::Ended));
    assert_eq!(cancel().await, Ok(CancelAnswer::Ended));
    assert_eq!(cancel().await, Ok(CancelAnswer::TakenOver));
    assert_eq!(cancel().await, Err(UpstreamError::Failed { status: 500 }));
}

#[tokio::test]
async fn a_report_is_read() {
    let report = r#"{"incarnation":7,"order_seq":2,"fence":1,"adapters":[{"adapter":{"name":"summary","version":3},"state":"ready","running":1}],"adapter_slots":4,"in_flight":1,"queued":0,"batch_slots":8,"is_leaving":false}"#;
    let turns = [report, "{"].map(|body| Turn::Answer(answer(200, "", body)));
    let server = ScriptedServer::start(turns).await;
    let engine = engine();
    let read = engine.report(&upstream(&server)).await.unwrap();
    assert_eq!((read.incarnation, read.adapter_slots), (Incarnation(7), 4));
    let unreadable = engine.report(&upstream(&server)).await;
    assert!(matches!(unreadable, Err(UpstreamError::Malformed(_))));
}

fn order() -> LoadOrder {
    LoadOrder {
        op: OrderOp::Load,
        adapter: AdapterRef::new("summary", 3),
        holder: NodeId::from("n1"),
        fence: 4,
        expected_seq: 2,
        incarnation: Incarnation(7),
        valid_until_unix_ms: 1_700_000_000_000,
    }
}

#[rstest]
#[case::accepted(202, "", Ok(OrderAnswer::Accepted))]
#[case::already_done(200, "", Ok(OrderAnswer::AlreadyDone))]
#[case::stale(409, r#"{"reason":"stale"}"#, Err(OrderError::Stale))]
#[case::no_slot(409, r#"{"reason":"no_slot"}"#, Err(OrderError::NoSlot))]
#[case::in_use(409, r#"{"reason":"in_use"}"#, Err(OrderError::InUse))]
#[case::unreadable(409, "", Err(OrderError::Ambiguous))]
#[case::fenced(412, "", Err(OrderError::Fenced))]
#[case::store(429, "", Err(OrderError::StoreRefused))]
#[case::failed(500, "", Err(OrderError::Ambiguous))]
#[tokio::test]
async fn an_order_is_told_what_came_of_it(
    #[case] status: u16,
    #[case] body: &str,
    #[case] expected: Result<OrderAnswer, OrderError>,
) {
    let server = ScriptedServer::start([Turn::Answer(answer(status, "", body))]).await;
    assert_eq!(engine().order(&upstream(&server), &order()).await, expected);
}

#[rstest]
#[case::closed(Turn::AnswerAndClose(Vec::new()))]
#[case::silent(Turn::AnswerAndHang(Vec::new()))]
#[tokio::test]
async fn an_order_without_an_answer_may_still_be_carried_out(#[case] turn: Turn) {
    let server = ScriptedServer::start([turn]).await;
    let answer = impatient_engine().order(&upstream(&server), &order()).await;
    assert_eq!(answer, Err(OrderError::Ambiguous));
    assert_eq!(server.seen().len(), 1);
}
