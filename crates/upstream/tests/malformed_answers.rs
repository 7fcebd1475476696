//! Malformed answers of upstreams to the own interface's clients.

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use std::time::Duration;

use http::{HeaderMap, Method};
use nutmegsail_base::{AdapterRef, Class, RequestId, UpstreamId};
use nutmegsail_upstream::{
    Engine, EngineRequest, HttpEngine, HttpPlainService, PlainRequest, PlainService, UpstreamError,
    UpstreamSettings,
};
use scripted_server::malformed::Malformed;
use scripted_server::{ScriptedServer, Turn};

const STREAM: &str =
    "id: 1\ndata: {\"text\":\"a\"}\n\nevent: end\ndata: {\"count\":1,\"reason\":\"stop\"}\n\n";

const REPORT: &str = r#"{"incarnation":7,"slots":4,"running":1,"queued":0,"adapters":[]}"#;

async fn server(malformed: Malformed, headers: &str, body: &str) -> (ScriptedServer, UpstreamId) {
    let turn = Turn::AnswerAndClose(malformed.answer(headers, body));
    let server = ScriptedServer::start([turn]).await;
    let upstream = UpstreamId::from(server.address.as_str());
    (server, upstream)
}

// Guards against an answer of the own interface whose body is another than the upstream's, or that is recorded as the
// answer to a call which runs once.
#[tokio::test]
async fn a_malformed_answer_is_a_broken_one() {
    for malformed in Malformed::ALL {
        println!("{malformed:?}");
        check(malformed).await;
    }
}

async fn check(malformed: Malformed) {
    let deadline = Duration::from_secs(30);
    let plain = HttpPlainService::new(UpstreamSettings::default());
    let (called, upstream) = server(malformed, "x-request-id: r1\r\n", "done").await;
    let request = PlainRequest {
        request: RequestId::from("r1"),
        method: Method::POST,
        path: "/bookings/42/confirm".to_owned(),
        headers: HeaderMap::new(),
        body: "{}".into(),
        deadline,
    };
    let answer = plain.call(&upstream, request).await;
    let answer = answer.map(|answer| answer.status);
    assert_eq!(answer, Err(UpstreamError::Broken));
    assert_eq!(called.seen().len(), 1, "a call goes out once");

    let (_server, upstream) = server(malformed, "", "").await;
    let is_ready = plain.is_ready(&upstream).await;
    assert_eq!(is_ready, Err(UpstreamError::Broken));

    let engine = HttpEngine::new(UpstreamSettings::default());
    let headers = "x-adapter: summary@3\r\nx-incarnation: 7\r\n";
    let (_server, upstream) = server(malformed, headers, STREAM).await;
    let request = EngineRequest {
        request: RequestId::from("r1"),
        adapter: AdapterRef::new("summary", 3),
        class: Class::Urgent,
        deadline,
        body: "{\"max_tokens\":1}".into(),
        path: "/v1/completions",
        traceparent: None,
    };
    let stream = engine.start(&upstream, request).await;
    assert_eq!(stream.err(), Some(UpstreamError::Broken));

    let (_server, upstream) = server(malformed, "", REPORT).await;
    let report = engine.report(&upstream).await;
    assert_eq!(report.err(), Some(UpstreamError::Broken));
}
