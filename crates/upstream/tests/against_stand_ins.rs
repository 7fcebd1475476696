//! The clients against the stand-ins over HTTP.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderMap, Method};
use nutmegsail_base::{AdapterRef, Class, ManualClock, RequestId, UpstreamId};
use nutmegsail_fakes::{
    EngineSettings, FakeEngine, FakePlainService, FakeWeightStore, HttpServer, Knobs,
    PlainSettings, WeightStoreSettings, loopback,
};
use nutmegsail_upstream::{
    Attachment, Engine, EngineRequest, EngineStream, HttpEngine, HttpPlainService, PlainRequest,
    PlainService, StreamEvent, UpstreamError, UpstreamSettings,
};

/// An engine that holds `summary@3` and moves only when the test steps it.
async fn engine() -> (FakeEngine, HttpServer, UpstreamId) {
    let clock = Arc::new(ManualClock::default());
    let now = nutmegsail_base::Clock::now(clock.as_ref());
    let store = Arc::new(FakeWeightStore::new(WeightStoreSettings::default(), now));
    let engine = FakeEngine::new("engine", EngineSettings::default(), clock, store, 1);
    engine.preload(AdapterRef::new("summary", 3));
    let listener = loopback().await.expect("a free port");
    let server = engine.serve_http(listener).expect("a server");
    let upstream = UpstreamId::from(server.address.to_string());
    (engine, server, upstream)
}

fn client(keeps_runs: bool) -> HttpEngine {
    HttpEngine::new(UpstreamSettings {
        keeps_runs,
        ..UpstreamSettings::default()
    })
}

fn ask(version: u32) -> EngineRequest {
    EngineRequest {
        request: RequestId::from("r1"),
        adapter: AdapterRef::new("summary", version),
        class: Class::Routine,
        deadline: Duration::from_secs(30),
        body: r#"{"max_tokens":3}"#.into(),
        path: "/v1/chat/completions",
        traceparent: None,
    }
}

async fn next_text(stream: &mut EngineStream) -> Result<String, UpstreamError> {
    match stream.events.next().await.expect("an event")? {
        StreamEvent::Piece { json, .. } => Ok(String::from_utf8_lossy(&json).into_owned()),
        StreamEvent::End(end) => Ok(format!("{} {}", end.count, end.reason)),
    }
}

#[tokio::test]
async fn an_answer_comes_whole() {
    let (engine, _server, upstream) = engine().await;
    let mut stream = client(true).start(&upstream, ask(3)).await.unwrap();
    assert_eq!(stream.incarnation, engine.incarnation());
    for number in 1..=3 {
        engine.step();
        let text = next_text(&mut stream).await.unwrap();
        assert!(text.contains(&format!("r1/summary@3/{number} ")), "{text}");
    }
    assert_eq!(next_text(&mut stream).await.unwrap(), "3 stop");
    assert!(stream.events.next().await.is_none());
    assert_eq!(engine.ledger().runs_of("r1"), 1);
}

#[tokio::test]
async fn an_adapter_that_is_not_held_did_not_run() {
    let (engine, _server, upstream) = engine().await;
    let absent = client(true).start(&upstream, ask(4)).await.unwrap_err();
    assert_eq!(
        absent,
        UpstreamError::AdapterAbsent(AdapterRef::new("summary", 4))
    );
    assert_eq!(engine.ledger().runs_of("r1"), 0);
}

/// A node dies while an editor reads along. Another node goes on where the editor stopped, at the
/// same incarnation, so the two halves belong together.
#[tokio::test]
async fn an_answer_goes_on_after_its_connection_closed() {
    let (engine, _server, upstream) = engine().await;
    let mut first = client(true).start(&upstream, ask(3)).await.unwrap();
    engine.step();
    next_text(&mut first).await.unwrap();
    let incarnation = first.incarnation;
    drop(first);
    let other_node = client(true);
    let run = RequestId::from("r1");
    let resumed = other_node.resume(&upstream, incarnation, &run, 1).await;
    let mut resumed = resumed.unwrap();
    engine.step();
    engine.step();
    assert!(
        next_text(&mut resumed)
            .await
            .unwrap()
            .contains("r1/summary@3/2 ")
    );
    assert!(
        next_text(&mut resumed)
            .await
            .unwrap()
            .contains("r1/summary@3/3 ")
    );
    assert_eq!(next_text(&mut resumed).await.unwrap(), "3 stop");
    assert_eq!(engine.ledger().runs_of("r1"), 1);
}

/// A caller goes away. Its run would keep a place in the batch from others until it is done.
#[tokio::test]
async fn a_dropped_answer_ends_its_run() {
    let (engine, _server, upstream) = engine().await;
    let client = client(false);
    let mut stream = client.start(&upstream, ask(3)).await.unwrap();
    engine.step();
    next_text(&mut stream).await.unwrap();
    assert_eq!(client.report(&upstream).await.unwrap().in_flight, 1);
    drop(stream);
    while client.report(&upstream).await.unwrap().in_flight > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_cancelled_run_frees_its_place() {
    let (engine, _server, upstream) = engine().await;
    let client = client(true);
    let mut stream = client.start(&upstream, ask(3)).await.unwrap();
    engine.step();
    next_text(&mut stream).await.unwrap();
    client
        .cancel(&upstream, &"r1".into(), Attachment::FIRST)
        .await
        .unwrap();
    assert_eq!(client.report(&upstream).await.unwrap().in_flight, 0);
    assert_eq!(next_text(&mut stream).await, Err(UpstreamError::Broken));
}

#[tokio::test]
async fn a_restart_breaks_the_answer_and_cannot_be_resumed() {
    let (engine, _server, upstream) = engine().await;
    let client = client(true);
    let mut stream = client.start(&upstream, ask(3)).await.unwrap();
    engine.step();
    next_text(&mut stream).await.unwrap();
    engine.restart();
    assert_eq!(next_text(&mut stream).await, Err(UpstreamError::Broken));
    let run = RequestId::from("r1");
    let resumed = client.resume(&upstream, stream.incarnation, &run, 1).await;
    assert_eq!(resumed.unwrap_err(), UpstreamError::Failed { status: 404 });
}

/// A confirmation runs and its answer is lost. Whatever the client does next, it must not run again.
#[tokio::test]
async fn a_call_whose_answer_is_lost_ran_once() {
    let service = FakePlainService::new("desk", PlainSettings::default(), 1);
    service.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let server = service.serve_http(loopback().await.unwrap()).unwrap();
    let upstream = UpstreamId::from(server.address.to_string());
    let call = PlainRequest {
        request: RequestId::from("r1"),
        method: Method::POST,
        path: "/bookings/confirm".to_owned(),
        headers: HeaderMap::new(),
        body: "{}".into(),
        deadline: Duration::from_secs(30),
    };
    let client = HttpPlainService::new(UpstreamSettings::default());
    let lost = client.call(&upstream, call).await.unwrap_err();
    assert_eq!(lost, UpstreamError::Broken);
    assert_eq!(service.ledger().runs_of("r1"), 1);
    assert_eq!(client.is_ready(&upstream).await, Ok(true));
}
