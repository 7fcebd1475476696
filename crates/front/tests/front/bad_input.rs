//! Bad input is refused with a number and "not run", and disturbs nothing else.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::support::{
    ADAPTER, FakeNode, end, generation, piece, request, send, serve, serve_with, settings,
    without_ids,
};

/// How long a test waits before a hang counts as a failure.
const HANG: Duration = Duration::from_secs(30);
const RANDOM_BODIES: usize = 10_000;

fn completion(body: &[u8]) -> Vec<u8> {
    request("POST", "/v1/completions", &[], body)
}

fn completion_with(header: &str) -> Vec<u8> {
    let body = format!(r#"{{"model":"{ADAPTER}"}}"#);
    request("POST", "/v1/completions", &[header], body.as_bytes())
}

fn model(name: &str) -> Vec<u8> {
    completion(format!(r#"{{"model":"{name}"}}"#).as_bytes())
}

fn confirm(path: &str) -> Vec<u8> {
    request("POST", path, &[], b"{}")
}

#[rstest]
#[case::not_json(completion(b"{"), 400, 1001)]
#[case::empty(completion(b""), 400, 1001)]
#[case::not_an_object(completion(b"[1]"), 400, 1001)]
#[case::trailing_text(completion(b"{\"model\":\"a@1\"} x"), 400, 1001)]
#[case::bad_utf8(completion(b"{\"model\":\"\xff@1\"}"), 400, 1001)]
#[case::bad_utf8_elsewhere(completion(b"{\"model\":\"a@1\",\"x\":\"\xff\"}"), 400, 1001)]
#[case::no_model(completion(b"{\"prompt\":\"x\"}"), 400, 1001)]
#[case::model_not_text(completion(b"{\"model\":7}"), 400, 1001)]
#[case::model_twice(completion(b"{\"model\":\"a@1\",\"model\":\"b@1\"}"), 400, 1001)]
#[case::stream_not_bool(completion(b"{\"model\":\"a@1\",\"stream\":1}"), 400, 1001)]
#[case::deep_nesting(completion("[".repeat(60_000).as_bytes()), 400, 1001)]
#[case::no_version(model("treatment-summary-0042"), 400, 1007)]
#[case::bad_version(model("treatment-summary-0042@one"), 400, 1007)]
#[case::unknown_adapter(model("no-such@1"), 404, 1005)]
#[case::unknown_version(model("treatment-summary-0042@9"), 404, 1006)]
#[case::body_too_large(completion(&[b' '; 70_000]), 413, 1002)]
#[case::body_much_too_large(completion(&[b' '; 8_000_000]), 413, 1002)]
#[case::chunked_too_large(
    request("POST", "/v1/completions", &["transfer-encoding: chunked"],
        format!("11170\r\n{}\r\n0\r\n\r\n", " ".repeat(70_000)).as_bytes()),
    413, 1002
)]
#[case::bad_chunk(
    request("POST", "/v1/completions", &["transfer-encoding: chunked"], b"zz\r\n"), 400, 1001
)]
#[case::unknown_call(completion_with("nutmegsail-call: no-such"), 404, 1010)]
#[case::two_callers(
    completion_with("nutmegsail-caller: a\r\nnutmegsail-caller: b"),
    400,
    1008
)]
#[case::two_keys(
    request("POST", "/svc/spa-desk/bookings/confirm",
        &["idempotency-key: a", "idempotency-key: b"], b"{}"),
    400, 1008
)]
#[case::bad_deadline(completion_with("nutmegsail-deadline-ms: soon"), 400, 1008)]
#[case::no_time_left(completion_with("nutmegsail-deadline-ms: 0"), 503, 2002)]
#[case::caller_not_ascii(completion_with("nutmegsail-caller: caf\u{e9}"), 400, 1008)]
#[case::no_such_principal(completion_with("nutmegsail-on-behalf-of: no-such"), 404, 1004)]
#[case::not_a_dependant(completion_with("nutmegsail-on-behalf-of: spa-scribe"), 400, 1008)]
#[case::header_too_large(completion_with(&format!("x-long: {}", "a".repeat(9_000))), 431, 1003)]
#[case::headers_too_large(completion_with(&format!("x-long: {}", "a".repeat(300_000))), 431, 1003)]
#[case::path_too_long(request("GET", &format!("/{}", "a".repeat(70_000)), &[], b""), 431, 1003)]
#[case::too_many_headers(completion_with("a: b\r\n".repeat(200).trim_end()), 431, 1003)]
#[case::two_lengths(completion_with("content-length: 5\r\ncontent-length: 6"), 400, 1008)]
#[case::bad_length(completion_with("content-length: many"), 400, 1008)]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec(), 400, 1008)]
#[case::unknown_path(request("GET", "/v2/models", &[], b""), 404, 1011)]
#[case::wrong_method(request("GET", "/v1/completions", &[], b""), 405, 1012)]
#[case::wrong_method_on_probe(request("POST", "/readyz", &[], b""), 405, 1012)]
#[case::garbage_handle(request("GET", "/v1/answers/00ff", &[], b""), 404, 1013)]
#[case::bad_last_event(
    request("GET", "/v1/answers/00ff", &["last-event-id: x"], b""), 400, 1008
)]
#[case::unknown_service(confirm("/svc/no-such/bookings/confirm"), 404, 1004)]
#[case::engines_behind_svc(confirm("/svc/spa-scribe/x"), 404, 1004)]
#[case::no_key(confirm("/svc/spa-desk/bookings/confirm"), 400, 4001)]
#[case::no_key_encoded(confirm("/svc/spa-desk/bookings/%63onfirm"), 400, 4001)]
#[case::no_key_slash(confirm("/svc/spa-desk/bookings/confirm/"), 400, 4001)]
#[case::no_key_case(confirm("/svc/spa-desk/Bookings/Confirm;v=1"), 400, 4001)]
#[case::dot_segment(confirm("/svc/spa-desk/slots/../bookings/confirm"), 404, 1011)]
#[case::encoded_dots(confirm("/svc/spa-desk/slots/%2e%2e/bookings/confirm"), 404, 1011)]
#[case::encoded_slash(confirm("/svc/spa-desk/bookings%2Fconfirm"), 404, 1011)]
#[case::empty_segment(confirm("/svc/spa-desk//bookings/confirm"), 404, 1011)]
#[tokio::test]
async fn bad_input_gets_a_number_and_did_not_run(
    #[case] bytes: Vec<u8>,
    #[case] status: u16,
    #[case] number: u64,
) {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let refused = send(front.callers_address(), &bytes).await;
    assert_eq!((refused.status, refused.number()), (status, number));
    assert_eq!(refused.run_state(), "not_run");
    assert!(refused.header("nutmegsail-request-id").is_some());
    assert!(node.generated.lock().expect("not poisoned").is_empty());
    assert!(node.called.lock().expect("not poisoned").is_empty());

    let next = send(front.callers_address(), &generation(false)).await;
    assert_eq!(next.status, 200);
}

#[tokio::test]
async fn an_error_says_what_happened_and_what_to_do() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let mut shown = String::new();
    for bytes in [
        completion(b"{"),
        model("no-such@1"),
        completion_with("nutmegsail-deadline-ms: soon"),
        confirm("/svc/spa-desk/bookings/confirm"),
        b"nonsense\r\n\r\n".to_vec(),
    ] {
        let reply = send(front.callers_address(), &bytes).await;
        writeln!(shown, "{} {}", reply.status, without_ids(&reply.body)).unwrap();
    }
    insta::assert_snapshot!(shown);
}

/// A tablet loses its network in the middle of a request. Its connection stays open on the node's
/// side, with half a request that will never be complete, and would be held for ever.
#[rstest]
#[case::in_the_head(b"POST /v1/completions HTTP/1.1\r\nhost: no".to_vec())]
#[case::in_the_body(b"POST /v1/completions HTTP/1.1\r\ncontent-length: 90\r\n\r\n{\"mod".to_vec())]
#[case::in_a_later_head(b"GET /healthz HTTP/1.1\r\n\r\nPOST /v1/com".to_vec())]
#[tokio::test]
async fn a_stalled_sender_is_refused(#[case] bytes: Vec<u8>) {
    let node = Arc::new(FakeNode::new());
    let mut settings = settings();
    settings.header_timeout_ms = 20;
    settings.idle_timeout_ms = 20;
    settings.body_timeout_ms = 20;
    let front = serve_with(&node, settings).await;
    let reply = send(front.callers_address(), &bytes).await;
    let text = format!("{}\r\n\r\n{}", reply.head, reply.body);
    let refusal = &text[text.rfind("HTTP/1.1").unwrap()..];
    let refused = crate::support::parse_reply(refusal.as_bytes());
    assert_eq!((refused.status, refused.number()), (408, 1009));
    assert_eq!(refused.run_state(), "not_run");
}

/// A sender that gives a byte now and then never leaves a gap, so the whole body has its own limit.
#[tokio::test]
async fn a_body_that_takes_too_long_is_refused() {
    let node = Arc::new(FakeNode::new());
    let mut settings = settings();
    settings.whole_body_timeout_ms = 20;
    settings.body_timeout_ms = 3_600_000;
    let front = serve_with(&node, settings).await;
    let bytes = request("POST", "/v1/completions", &["content-length: 90"], b"{");
    let refused = timeout(HANG, send(front.callers_address(), &bytes)).await;
    let refused = refused.expect("a refusal");
    assert_eq!((refused.status, refused.number()), (408, 1009));
}

#[tokio::test]
async fn without_a_text_nothing_runs() {
    let node = Arc::new(FakeNode::without_text());
    let front = serve(&node).await;
    let refused = send(front.callers_address(), &generation(true)).await;
    assert_eq!((refused.status, refused.number()), (503, 5004));
    assert_eq!(refused.run_state(), "not_run");
}

/// A broken client floods a node with random bodies while an editor's stream is on its way. A fault
/// in the parser would show as a dead node or as a broken stream.
#[tokio::test]
async fn random_bodies_leave_the_server_up_and_other_streams_alone() {
    let go_on = Arc::new(Semaphore::new(0));
    let held = Arc::clone(&go_on);
    let node = Arc::new(FakeNode::answering(move |request| {
        if !request.is_stream {
            return crate::support::whole(&["ok"]);
        }
        let held = Arc::clone(&held);
        let second = async move {
            let _ = held.acquire().await.expect("open");
            Ok(piece(2, "b"))
        };
        stream::iter([Ok(piece(1, "a"))])
            .chain(stream::once(second))
            .chain(stream::iter([Ok(end(2))]))
            .boxed()
    }));
    let front = serve(&node).await;
    let address = front.callers_address();
    let streaming = tokio::spawn(async move { send(address, &generation(true)).await });

    let socket = TcpStream::connect(address).await.unwrap();
    let (mut client, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .unwrap();
    tokio::spawn(connection);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (mut answered, mut refused) = (0, 0);
    for _ in 0..RANDOM_BODIES {
        let body = random_body(&mut random);
        let request = http::Request::post("/v1/completions")
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        client.ready().await.expect("the connection lives");
        let response = client.send_request(request).await.expect("an answer");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        if status == 200 {
            answered += 1;
            continue;
        }
        let json: serde_json::Value = serde_json::from_slice(&body).expect("a JSON error");
        assert_eq!(json["error"]["run_state"], "not_run", "{json}");
        refused += 1;
    }
    assert_eq!(answered + refused, RANDOM_BODIES);
    assert!(refused > RANDOM_BODIES / 2, "{refused} refused");
    assert_eq!(
        node.generated.lock().expect("not poisoned").len(),
        answered + 1
    );

    go_on.add_permits(1);
    let whole = streaming.await.unwrap();
    assert!(whole.body.ends_with("data: [DONE]\n\n"), "{}", whole.body);
}

/// Random bytes, or a good body with a few bytes changed.
fn random_body(random: &mut ChaCha8Rng) -> Vec<u8> {
    let good = format!(r#"{{"model":"{ADAPTER}","prompt":"Guest 7","max_tokens":16}}"#);
    if random.random_bool(0.5) {
        let length = random.random_range(0..200);
        return (0..length).map(|_| random.random()).collect();
    }
    let mut body = good.into_bytes();
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..body.len());
        body[at] = random.random();
    }
    body
}
