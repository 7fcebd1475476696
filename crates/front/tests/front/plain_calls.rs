//! Calls to plain services: which terms hold, what is passed on, and what a cut looks like.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use nutmegsail_base::{CallName, Class, ResultCode};
use nutmegsail_front::PlainCall;
use nutmegsail_request::Refusal;
use nutmegsail_upstream::UpstreamError;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{ADAPTER, FakeNode, plain_answer, request, send, serve};

const KEY: &str = "idempotency-key: 018f3a00-0000-7000-8000-000000000000";

async fn called(bytes: &[u8]) -> PlainCall {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let reply = send(front.callers_address(), bytes).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "done"));
    let call = node.called.lock().expect("not poisoned").pop();
    call.expect("one call")
}

#[rstest]
#[case::confirm("POST", "/bookings/confirm", Some("booking-confirm"), true, false)]
#[case::encoded("POST", "/bookings/%63onfirm", Some("booking-confirm"), true, false)]
#[case::other_case("POST", "/Bookings/confirm", Some("booking-confirm"), true, false)]
#[case::lookup("GET", "/slots/7?day=1", Some("slot-lookup"), false, true)]
#[case::unlisted_read("GET", "/rooms", None, false, true)]
#[case::unlisted_write("POST", "/rooms", None, false, false)]
#[tokio::test]
async fn method_and_path_choose_the_call(
    #[case] method: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
    #[case] once_only: bool,
    #[case] idempotent: bool,
) {
    let bytes = request(method, &format!("/svc/spa-desk{path}"), &[KEY], b"{}");
    let call = called(&bytes).await;
    assert_eq!(call.call, name.map(CallName::from));
    assert_eq!((call.once_only, call.idempotent), (once_only, idempotent));
    assert_eq!(call.path, path);
    assert_eq!(call.class, Class::Urgent);
}

/// A client sends confirmations under the name of a lookup. Taken at its word, the node would
/// repeat a confirmation after a failure and block two therapists for one guest.
#[tokio::test]
async fn a_confirmation_cannot_pass_for_a_lookup() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let headers = [KEY, "nutmegsail-call: slot-lookup"];
    let bytes = request("POST", "/svc/spa-desk/bookings/confirm", &headers, b"{}");
    let reply = send(front.callers_address(), &bytes).await;
    assert_eq!((reply.status, reply.number()), (404, 1010));
    assert!(node.called.lock().expect("not poisoned").is_empty());
}

#[tokio::test]
async fn headers_of_one_connection_are_not_passed_on() {
    let headers = [
        KEY,
        "x-guest: 7",
        "keep-alive: timeout=5",
        "x-http-method-override: POST",
        "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "nutmegsail-caller: desk-3",
    ];
    let call = called(&request("GET", "/svc/spa-desk/slots/7", &headers, b"")).await;
    assert_eq!(
        call.headers.get("x-guest"),
        Some(&HeaderValue::from_static("7"))
    );
    for name in [
        "connection",
        "host",
        "keep-alive",
        "content-length",
        "x-http-method-override",
    ] {
        assert!(!call.headers.contains_key(name), "{name}");
    }
    assert_eq!(call.caller.as_str(), "desk-3");
    assert!(call.traceparent.is_some());
    assert_eq!(
        call.idempotency_key.as_deref(),
        KEY.split_once(": ").map(|(_, key)| key)
    );
}

#[rstest]
#[case::shorter("nutmegsail-deadline-ms: 500", 500)]
#[case::longer("nutmegsail-deadline-ms: 90000", 1_500)]
#[tokio::test]
async fn a_caller_may_only_shorten_its_deadline(#[case] header: &str, #[case] at_most_ms: u64) {
    let call = called(&request("GET", "/svc/spa-desk/slots/7", &[header], b"")).await;
    assert!(call.deadline <= Duration::from_millis(at_most_ms));
    assert!(call.deadline > Duration::ZERO);
}

#[tokio::test]
async fn a_generation_for_an_urgent_service_is_urgent() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let body = format!(r#"{{"model":"{ADAPTER}"}}"#);
    for headers in [vec![], vec!["nutmegsail-on-behalf-of: spa-desk"]] {
        let bytes = request("POST", "/v1/completions", &headers, body.as_bytes());
        assert_eq!(send(front.callers_address(), &bytes).await.status, 200);
    }
    let generated = node.generated.lock().expect("not poisoned");
    let classes: Vec<_> = generated.iter().map(|request| request.class).collect();
    assert_eq!(classes, [Class::Routine, Class::Urgent]);
    assert!(generated[1].deadline < generated[0].deadline);
}

/// A plain service dies in the middle of a proof. A body that simply ended would look whole.
#[rstest]
#[case::chunked(false)]
#[case::with_length(true)]
#[tokio::test]
async fn a_plain_answer_that_breaks_off_is_visible(#[case] has_length: bool) {
    let node = Arc::new(FakeNode::new().with_call(move |_| {
        let pieces = vec![Ok(Bytes::from("half")), Err(UpstreamError::Broken)];
        let mut answer = plain_answer(pieces);
        if has_length {
            let length = HeaderValue::from_static("8");
            answer.headers.insert("content-length", length);
        }
        Ok(answer)
    }));
    let front = serve(&node).await;
    let bytes = request("GET", "/svc/spa-desk/slots/7", &[], b"");
    let reply = send(front.callers_address(), &bytes).await;
    let announced: Option<usize> = reply
        .header("content-length")
        .map(|length| length.parse().unwrap());
    assert_eq!(announced, has_length.then_some(8));
    assert!(reply.body.len() < 8 && (has_length || !reply.is_complete));
}

// Guards against an answer that ended early and looks whole: it has neither a length nor chunks.
#[rstest]
#[case::whole(false)]
#[case::broken(true)]
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_looks_no_more_whole_than_it_is(
    #[case] is_broken: bool,
) {
    let node = Arc::new(FakeNode::new().with_call(move |_| {
        let end = is_broken.then_some(Err(UpstreamError::Broken));
        let pieces = std::iter::once(Ok(Bytes::from("half"))).chain(end);
        let mut answer = plain_answer(pieces.collect());
        answer.ends_with_connection = true;
        Ok(answer)
    }));
    let front = serve(&node).await;
    let mut caller = TcpStream::connect(front.callers_address()).await.unwrap();
    let bytes = request("GET", "/svc/spa-desk/slots/7", &[], b"");
    caller.write_all(&bytes).await.unwrap();
    let mut answer = Vec::new();
    let end = caller.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.0 200 OK\r\n"), "{answer}");
    assert!(!answer.contains("transfer-encoding") && !answer.contains("content-length"));
    assert!(answer.ends_with("\r\n\r\nhalf"));
    assert_eq!(end.is_err(), is_broken, "a broken answer ends with a reset");
}

#[tokio::test]
async fn a_refusal_says_when_to_come_back() {
    let node = Arc::new(FakeNode::new().with_call(|_| {
        let refusal = Refusal::may_have_run(ResultCode::OutcomeUnknown, "the connection broke");
        Err(refusal.with_retry_after(Duration::from_millis(1_200)))
    }));
    let front = serve(&node).await;
    let bytes = request("POST", "/svc/spa-desk/bookings/confirm", &[KEY], b"{}");
    let reply = send(front.callers_address(), &bytes).await;
    assert_eq!((reply.status, reply.number()), (409, 4007));
    assert_eq!(reply.run_state(), "may_have_run");
    assert_eq!(reply.header("retry-after"), Some("2"));
    assert!(reply.body.contains(r#""retry_after_ms":1200"#));
}
