//! What each answer of a plain service means, and what a missing one means.

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderMap, Method};
use nutmegsail_base::{RequestId, UpstreamId};
use nutmegsail_upstream::{
    HttpPlainService, PlainRequest, PlainResponse, PlainService, UpstreamError, UpstreamSettings,
};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn, answer};

fn confirm() -> PlainRequest {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", "k1".parse().expect("a value"));
    headers.insert("connection", "keep-alive, x-hop".parse().expect("a value"));
    headers.insert("x-hop", "1".parse().expect("a value"));
    headers.insert("content-length", "999".parse().expect("a value"));
    PlainRequest {
        request: RequestId::from("r1"),
        method: Method::POST,
        path: "/bookings/42/confirm?slot=9".to_owned(),
        headers,
        body: "{}".into(),
        deadline: Duration::from_secs(30),
    }
}

async fn call(turn: Turn) -> Result<PlainResponse, UpstreamError> {
    let server = ScriptedServer::start([turn]).await;
    let upstream = UpstreamId::from(server.address.as_str());
    let service = HttpPlainService::new(UpstreamSettings::default());
    let result = service.call(&upstream, confirm()).await;
    assert_eq!(server.seen().len(), 1, "a call goes out once");
    result
}

async fn body_of(answer: PlainResponse) -> Result<Vec<u8>, UpstreamError> {
    let mut body = Vec::new();
    let mut chunks = answer.body;
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body)
}

#[tokio::test]
async fn a_call_passes_on_what_does_not_concern_the_connection() {
    let headers = "x-request-id: r1\r\nconnection: x-hop\r\nx-hop: 1\r\n";
    let server = ScriptedServer::start([Turn::Answer(answer(201, headers, "done"))]).await;
    let upstream = UpstreamId::from(server.address.as_str());
    let service = HttpPlainService::new(UpstreamSettings::default());
    let answer = service.call(&upstream, confirm()).await.unwrap();
    assert_eq!(answer.status, 201);
    let names: Vec<&str> = answer
        .headers
        .keys()
        .map(http::HeaderName::as_str)
        .collect();
    assert_eq!(names, ["x-request-id"]);
    assert_eq!(body_of(answer).await.unwrap(), b"done");
    insta::assert_snapshot!(server.seen()[0].head.replace(&server.address, "ADDRESS"), @r###"
    POST /bookings/42/confirm?slot=9 HTTP/1.1
    idempotency-key: k1
    x-request-id: r1
    x-deadline-ms: 30000
    host: ADDRESS
    content-length: 2
    "###);
}

// Guards against a body that ended early and counts as whole: the connection's end says nothing of that.
#[rstest]
#[case::neither(b"HTTP/1.1 200 OK\r\n\r\ndone", true)]
#[case::length(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone", false)]
#[tokio::test]
async fn a_body_without_a_delimiter_is_marked(
    #[case] sent: &[u8],
    #[case] ends_with_connection: bool,
) {
    let answer = call(Turn::AnswerAndClose(sent.to_vec())).await.unwrap();
    assert_eq!(answer.ends_with_connection, ends_with_connection);
    assert_eq!(body_of(answer).await.unwrap(), b"done");
}

/// The desk service takes a confirmation and its VM dies. Only the clerk can know whether the
/// booking stands; a client that sends again may block two therapists for one guest.
#[tokio::test]
async fn a_call_whose_connection_breaks_is_not_sent_again() {
    let error = call(Turn::AnswerAndClose(Vec::new())).await.unwrap_err();
    assert_eq!(error, UpstreamError::Broken);
}

#[rstest]
#[case::full("x-not-run: true\r\nx-reason: full\r\n", UpstreamError::Full)]
#[case::leaving("x-not-run: true\r\nx-reason: leaving\r\n", UpstreamError::Leaving)]
#[tokio::test]
async fn a_stated_refusal_did_not_run(#[case] headers: &str, #[case] expected: UpstreamError) {
    let error = call(Turn::Answer(answer(503, headers, "")))
        .await
        .unwrap_err();
    assert_eq!(error, expected);
}

#[tokio::test]
async fn an_answer_of_the_service_itself_is_passed_on_whatever_its_status() {
    let answer = call(Turn::Answer(answer(503, "", "busy"))).await.unwrap();
    assert_eq!(answer.status, 503);
}

#[tokio::test]
async fn a_body_cut_short_shows() {
    let cut = b"HTTP/1.1 200 x\r\ncontent-length: 9\r\n\r\nhalf".to_vec();
    let answer = call(Turn::AnswerAndClose(cut)).await.unwrap();
    assert_eq!(body_of(answer).await, Err(UpstreamError::Broken));
}

#[tokio::test]
async fn readiness_is_asked_for() {
    let turns = [200, 503, 404].map(|status| Turn::Answer(answer(status, "", "")));
    let server = ScriptedServer::start(turns).await;
    let upstream = UpstreamId::from(server.address.as_str());
    let service = HttpPlainService::new(UpstreamSettings::default());
    assert_eq!(service.is_ready(&upstream).await, Ok(true));
    assert_eq!(service.is_ready(&upstream).await, Ok(false));
    let unknown = service.is_ready(&upstream).await;
    assert_eq!(unknown, Err(UpstreamError::Failed { status: 404 }));
}
