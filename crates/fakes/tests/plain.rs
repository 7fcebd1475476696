//! What the plain service's stand-in promises, in memory and over HTTP.

#![allow(clippy::unwrap_used, reason = "in a test file a panic is the verdict")]

mod http_client;

use std::time::Duration;

use futures_util::{FutureExt, StreamExt};
use http::{HeaderMap, HeaderValue, Method};
use http_client::call;
use nutmegsail_base::UpstreamId;
use nutmegsail_fakes::{FakePlainService, Knobs, PlainSettings, loopback};
use nutmegsail_upstream::{PlainRequest, PlainResponse, PlainService, UpstreamError};
use rstest::rstest;

fn service(slots: usize) -> FakePlainService {
    let settings = PlainSettings {
        slots,
        queue_slots: 1,
        ..PlainSettings::default()
    };
    FakePlainService::new("127.0.0.1:9001", settings, 3)
}

async fn confirm(
    service: &FakePlainService,
    request: &str,
) -> Result<PlainResponse, UpstreamError> {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static("key"));
    let request = PlainRequest {
        request: request.into(),
        method: Method::POST,
        path: "/confirm".into(),
        headers,
        body: "{}".into(),
        deadline: Duration::from_secs(1),
    };
    service
        .call(&UpstreamId::from("127.0.0.1:9001"), request)
        .await
}

/// A node sends a confirmation, loses the answer and sends it again under a new request id. The
/// guest is booked twice. The ledger shows it by the key.
#[tokio::test(start_paused = true)]
async fn the_ledger_shows_a_call_that_ran_twice() {
    let service = service(1);
    service.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let lost = confirm(&service, "r1").await;
    assert_eq!(lost.unwrap_err(), UpstreamError::Broken);
    service.set_knobs(Knobs::default());
    let mut answer = confirm(&service, "r2").await.unwrap();
    let body = answer.body.next().await.unwrap().unwrap();
    assert!(body.windows(4).any(|part| part == b"\"r2\""));
    let ledger = service.ledger();
    assert_eq!((ledger.runs_of("r1"), ledger.runs_of("r2")), (1, 1));
    assert_eq!(ledger.runs_of_key("key"), 2);
}

#[rstest]
#[case::full(Knobs { full: true, ..Knobs::default() }, UpstreamError::Full)]
#[case::leaving(Knobs { leaving: true, ..Knobs::default() }, UpstreamError::Leaving)]
#[case::away(Knobs { outage: true, ..Knobs::default() }, UpstreamError::Unreachable)]
#[case::broken(Knobs { broken_share: 1.0, ..Knobs::default() }, UpstreamError::Broken)]
#[tokio::test]
async fn a_refused_call_did_not_run(#[case] knobs: Knobs, #[case] expected: UpstreamError) {
    let service = service(1);
    service.set_knobs(knobs);
    assert_eq!(confirm(&service, "r1").await.unwrap_err(), expected);
    assert_eq!(service.ledger().runs_of("r1"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_call_that_leaves_the_queue_never_runs() {
    let service = service(1);
    let mut running = Box::pin(confirm(&service, "running"));
    assert!(running.as_mut().now_or_never().is_none());
    let mut waiting = Box::pin(confirm(&service, "waiting"));
    assert!(waiting.as_mut().now_or_never().is_none());
    let refused = confirm(&service, "refused").await;
    assert_eq!(refused.unwrap_err(), UpstreamError::Full);
    drop(waiting);
    running.await.unwrap();
    confirm(&service, "after").await.unwrap();
    let ran: Vec<_> = service.ledger().requests.into_keys().collect();
    assert_eq!(ran, ["after", "running"]);
}

#[tokio::test(start_paused = true)]
async fn a_restart_loses_the_answers_under_way() {
    let service = service(1);
    let mut running = Box::pin(confirm(&service, "r1"));
    assert!(running.as_mut().now_or_never().is_none());
    service.restart();
    assert_eq!(running.await.unwrap_err(), UpstreamError::Broken);
    assert_eq!(service.ledger().runs_of("r1"), 1);
}

#[tokio::test]
async fn over_http_it_answers_as_the_readme_says() {
    let service = service(1);
    let server = service.serve_http(loopback().await.unwrap()).unwrap();
    let address = server.address;
    let headers = [("x-request-id", "r1"), ("idempotency-key", "key")];
    let mut lines = Vec::new();
    let knobs = [
        Knobs::default(),
        Knobs {
            leaving: true,
            ..Knobs::default()
        },
        Knobs {
            lost_answer_share: 1.0,
            ..Knobs::default()
        },
    ];
    for knobs in knobs {
        service.set_knobs(knobs);
        let ready = call(address, "GET", "/healthz", &[], "").await;
        let reply = call(address, "PUT", "/slots/7?day=1", &headers, "{}").await;
        lines.push(format!("healthz {}; {}", ready.line(), reply.line()));
    }
    lines.push(call(address, "GET", "/v1/ledger", &[], "").await.line());
    insta::assert_snapshot!(lines.join("\n"));
}
