//! Connections: silence, number, request ids, and the operators' listener.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures_util::stream::{self, StreamExt};
use nutmegsail_front::{FrontError, FrontSettings, OperatorsQuery};
use nutmegsail_telemetry::discard_logger;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::support::{
    DropSignal, FakeNode, answer_to, generation, piece, read_reply, request, send, serve,
    serve_with, settings, signalled,
};

#[tokio::test]
async fn a_connection_without_a_request_is_closed() {
    let node = Arc::new(FakeNode::new());
    let mut settings = settings();
    settings.idle_timeout_ms = 20;
    let front = serve_with(&node, settings).await;
    let mut socket = TcpStream::connect(front.callers_address()).await.unwrap();
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

/// A tablet keeps its connection between two bookings. Taken for a sender that stalled in a head, it
/// would find its connection closed under the second one. Here another sender does stall, after the
/// first booking; once that one is refused, the kept connection must still answer.
#[tokio::test]
async fn a_connection_between_requests_is_idle() {
    let node = Arc::new(FakeNode::new());
    let mut settings = settings();
    settings.header_timeout_ms = 20;
    let front = serve_with(&node, settings).await;
    let mut kept = TcpStream::connect(front.callers_address()).await.unwrap();
    probe(&mut kept).await;
    let stalled = send(front.callers_address(), b"GET /hea").await;
    assert_eq!(stalled.number(), 1009);
    probe(&mut kept).await;
}

/// Asks whether the node is healthy, and leaves the connection open.
async fn probe(socket: &mut TcpStream) {
    let sent = socket.write_all(PROBE.as_bytes()).await;
    sent.expect("an open connection");
    let mut answer = Vec::new();
    while !answer.ends_with(br#"{"healthy":true}"#) {
        answer.push(socket.read_u8().await.expect("an open connection"));
    }
}

#[tokio::test]
async fn one_connection_too_many_is_told_so() {
    let node = Arc::new(FakeNode::new());
    let mut settings = settings();
    settings.max_connections = 1;
    let front = serve_with(&node, settings).await;
    let mut first = TcpStream::connect(front.callers_address()).await.unwrap();
    first
        .write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    first.read_u8().await.unwrap();
    let mut second = TcpStream::connect(front.callers_address()).await.unwrap();
    let reply = read_reply(&mut second).await;
    assert_eq!((reply.status, reply.number()), (429, 2001));
    assert_eq!(reply.run_state(), "not_run");
}

/// A reader that takes nothing for a long time holds an engine's place for ever.
#[tokio::test]
async fn a_reader_that_takes_nothing_is_given_up() {
    let (dropped, mut drops) = mpsc::unbounded_channel();
    let node = Arc::new(FakeNode::answering(move |_| {
        let signal = DropSignal(dropped.clone());
        let text = "x".repeat(16 * 1024);
        stream::iter(1..)
            .map(move |id| {
                let _ = &signal;
                Ok(piece(id, &text))
            })
            .boxed()
    }));
    let mut settings = settings();
    settings.write_timeout_ms = 20;
    let front = serve_with(&node, settings).await;
    let mut socket = TcpStream::connect(front.callers_address()).await.unwrap();
    socket.write_all(&generation(true)).await.unwrap();
    signalled(&mut drops).await;
}

/// Two clients count their requests from 1. Engines know a run by its id, so the second would get
/// the first one's answer on a resume.
#[tokio::test]
async fn two_requests_never_share_an_id() {
    let node = Arc::new(FakeNode::with_generate(|request| {
        Box::pin(async move { Ok(answer_to(&request, crate::support::whole(&["a"]))) })
    }));
    let front = serve(&node).await;
    let body = format!(r#"{{"model":"{}"}}"#, crate::support::ADAPTER);
    let headers = ["nutmegsail-request-id: 1"];
    let bytes = request("POST", "/v1/completions", &headers, body.as_bytes());
    let mut echoed = Vec::new();
    for _ in 0..2 {
        let reply = send(front.callers_address(), &bytes).await;
        echoed.push(reply.header("nutmegsail-request-id").unwrap().to_owned());
    }
    assert!(echoed.iter().all(|id| id.starts_with("1.")), "{echoed:?}");
    assert_ne!(echoed[0], echoed[1]);
    let generated = node.generated.lock().expect("not poisoned");
    assert_eq!(generated[0].request.as_str(), echoed[0]);
}

const LENGTH_FIRST: &str = "content-length: 60\r\ntransfer-encoding: chunked";
const LENGTH_LAST: &str = "transfer-encoding: chunked\r\nContent-Length: 60";
const CHUNKED: &str = "transfer-encoding: chunked";
const PROBE: &str = "GET /healthz HTTP/1.1\r\n\r\n";

/// The second request of a connection must be looked at like the first.
#[tokio::test]
async fn two_framings_are_seen_on_a_kept_connection() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let mut socket = TcpStream::connect(front.callers_address()).await.unwrap();
    probe(&mut socket).await;
    let second = format!("POST /svc/spa-desk/rooms HTTP/1.1\r\n{LENGTH_LAST}\r\n\r\n0\r\n\r\n");
    socket.write_all(second.as_bytes()).await.unwrap();
    let reply = read_reply(&mut socket).await;
    assert_eq!((reply.status, reply.number()), (400, 1008));
}

/// A request with two framings hides a second one in its body. A balancer that reads the framing
/// differently would hand the second one's answer to another caller.
#[rstest]
#[case::length_first("", LENGTH_FIRST, 0)]
#[case::length_last("", LENGTH_LAST, 0)]
#[case::pipelined(PROBE, LENGTH_FIRST, 1)]
#[case::one_framing("", CHUNKED, 1)]
#[tokio::test]
async fn a_smuggled_request_never_runs(
    #[case] before: &str,
    #[case] framing: &str,
    #[case] calls: usize,
) {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let smuggled = format!(
        "{before}POST /svc/spa-desk/rooms HTTP/1.1\r\n{framing}\r\n\r\n0\r\n\r\n\
         POST /svc/spa-desk/smuggled HTTP/1.1\r\ncontent-length: 0\r\n\r\n"
    );
    let mut socket = TcpStream::connect(front.callers_address()).await.unwrap();
    socket.write_all(smuggled.as_bytes()).await.unwrap();
    let reply = read_reply(&mut socket).await;
    if calls == 0 {
        assert_eq!((reply.status, reply.number()), (400, 1008));
        assert_eq!(reply.run_state(), "not_run");
    }
    let called = node.called.lock().expect("not poisoned");
    assert_eq!(called.len(), calls);
    assert!(called.iter().all(|call| call.path == "/rooms"));
}

#[rstest]
#[case("GET", "/operators/status", OperatorsQuery::Status)]
#[case("POST", "/operators/drain", OperatorsQuery::Drain)]
#[case(
    "GET",
    "/operators/explain?service=spa-scribe&adapter=treatment-summary-0042%401",
    OperatorsQuery::Explain {
        service: Some("spa-scribe".into()),
        adapter: Some("treatment-summary-0042@1".into()),
        call: None,
        class: None,
    }
)]
#[tokio::test]
async fn operators_ask_on_their_own_address(
    #[case] method: &str,
    #[case] path: &str,
    #[case] query: OperatorsQuery,
) {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let bytes = request(method, path, &[], b"");
    let from_callers = send(front.callers_address(), &bytes).await;
    assert_eq!((from_callers.status, from_callers.number()), (404, 1011));
    let reply = send(front.operators_address(), &bytes).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "{}"));
    assert_eq!(*node.asked.lock().expect("not poisoned"), [query]);
    let wrong = send(front.operators_address(), &request("PUT", path, &[], b"")).await;
    assert_eq!((wrong.status, wrong.number()), (405, 1012));
}

#[tokio::test]
async fn readiness_is_the_nodes() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let probe = request("GET", "/readyz", &[], b"");
    assert_eq!(send(front.callers_address(), &probe).await.status, 200);
    node.is_ready.store(false, Ordering::Release);
    let reply = send(front.callers_address(), &probe).await;
    assert_eq!((reply.status, reply.number()), (503, 5004));
}

#[tokio::test]
async fn settings_report_all_faults_at_once() {
    let settings = FrontSettings {
        header_timeout_ms: 0,
        max_connections: 0,
        write_buffer_bytes: 1,
        ..settings()
    };
    let node = Arc::new(FakeNode::new());
    let refused = nutmegsail_front::Front::bind(settings, node, discard_logger()).await;
    let Err(FrontError::Settings { faults }) = refused else {
        panic!("the settings were taken");
    };
    assert_eq!(faults.len(), 3, "{faults:?}");
}
