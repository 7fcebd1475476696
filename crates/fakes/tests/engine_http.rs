//! What the engine stand-in promises over HTTP.

#![allow(clippy::unwrap_used, reason = "in a test file a panic is the verdict")]

mod http_client;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_client::{call, send};
use nutmegsail_base::{AdapterRef, Clock, SystemClock};
use nutmegsail_fakes::{
    EngineSettings, FakeEngine, FakeWeightStore, HttpServer, Knobs, WeightStoreSettings, loopback,
};

const COMPLETIONS: &str = "/v1/completions";

async fn engine() -> (FakeEngine, HttpServer) {
    let store = FakeWeightStore::new(WeightStoreSettings::default(), SystemClock.now());
    let settings = EngineSettings {
        step: Duration::from_millis(1),
        batch_slots: 256,
        ..EngineSettings::default()
    };
    let listener = loopback().await.unwrap();
    let id = listener.local_addr().unwrap().to_string();
    let engine = FakeEngine::new(id, settings, Arc::new(SystemClock), store.into(), 3);
    engine.preload(AdapterRef::new("a", 1));
    engine.start_stepping();
    let server = engine.serve_http(listener).unwrap();
    (engine, server)
}

async fn complete(address: SocketAddr, request: &str, events: u64) -> http_client::Reply {
    let headers = [("x-request-id", request), ("x-adapter", "a@1")];
    let body = format!(r#"{{"max_tokens":{events}}}"#);
    call(address, "POST", COMPLETIONS, &headers, &body).await
}

fn expected_stream(request: &str, after: u64, events: u64) -> String {
    let event = |id| {
        format!(
            "id: {id}\ndata: {{\"choices\":[{{\"index\":0,\"text\":\"{request}/a@1/{id} \"}}]}}\n\n"
        )
    };
    let pieces: String = (after + 1..=events).map(event).collect();
    format!("{pieces}event: end\ndata: {{\"count\":{events},\"reason\":\"stop\"}}\n\n")
}

#[tokio::test]
async fn two_hundred_concurrent_streams_never_mix() {
    let (engine, server) = engine().await;
    let address = server.address;
    let streams = (0..200).map(|n| {
        tokio::spawn(async move {
            let request = format!("r{n}");
            (complete(address, &request, 1 + n % 7).await, request, n)
        })
    });
    for (reply, request, n) in futures_util::future::join_all(streams)
        .await
        .into_iter()
        .flatten()
    {
        assert_eq!(reply.status, Some(200));
        assert_eq!(reply.headers["x-adapter"], "a@1");
        assert_eq!(reply.body, expected_stream(&request, 0, 1 + n % 7));
    }
    assert_eq!(engine.ledger().requests.len(), 200);
}

#[tokio::test]
async fn a_closed_connection_cancels_the_run_unless_it_is_resumable() {
    let (engine, server) = engine().await;
    let address = server.address;
    let headers = [("x-request-id", "goes"), ("x-adapter", "a@1")];
    let endless = r#"{"max_tokens":100000000}"#;
    let response = send(address, "POST", COMPLETIONS, &headers, endless).await;
    drop(response.unwrap());
    loop {
        let report = call(address, "GET", "/v1/report", &[], "").await;
        let report: nutmegsail_base::EngineReport = serde_json::from_str(&report.body).unwrap();
        if report.in_flight + report.queued == 0 {
            break;
        }
    }

    let headers = [
        ("x-request-id", "stays"),
        ("x-adapter", "a@1"),
        ("x-resumable", "true"),
    ];
    let response = send(
        address,
        "POST",
        COMPLETIONS,
        &headers,
        r#"{"max_tokens":9}"#,
    )
    .await;
    drop(response.unwrap());
    let incarnation = engine.incarnation().to_string();
    let headers = [("x-incarnation", incarnation.as_str())];
    let resumed = call(address, "GET", "/v1/runs/stays?after=4", &headers, "").await;
    assert_eq!(resumed.body, expected_stream("stays", 4, 9));
}

#[tokio::test]
async fn refusals_say_not_run_and_orders_answer_as_the_readme_says() {
    let (engine, server) = engine().await;
    let address = server.address;
    let mut lines = Vec::new();
    let absent = [("x-request-id", "r"), ("x-adapter", "b@1")];
    let knobs = [
        Knobs::default(),
        Knobs {
            full: true,
            ..Knobs::default()
        },
        Knobs {
            leaving: true,
            ..Knobs::default()
        },
        Knobs {
            outage: true,
            ..Knobs::default()
        },
    ];
    for knobs in knobs {
        engine.set_knobs(knobs);
        let reply = call(address, "POST", COMPLETIONS, &absent, "{}").await;
        lines.push(reply.line());
    }
    engine.set_knobs(Knobs::default());
    let order = |op: &str, name: &str, fence: u64, seq: u64| {
        serde_json::json!({
            "op": op, "adapter": { "name": name, "version": 1 }, "holder": "n1", "fence": fence,
            "expected_seq": seq, "incarnation": engine.incarnation(),
            "valid_until_unix_ms": u64::MAX / 2_000,
        })
        .to_string()
    };
    let orders = [
        order("load", "b", 2, 0),
        order("load", "b", 2, 0),
        order("load", "c", 2, 0),
        order("load", "c", 1, 1),
        order("unload", "a", 2, 1),
    ];
    for order in orders {
        let reply = call(address, "POST", "/v1/orders", &[], &order).await;
        lines.push(reply.line());
    }
    let cancel = call(address, "DELETE", "/v1/runs/none", &[], "").await;
    lines.push(cancel.line());
    let resume = call(address, "GET", "/v1/runs/none?after=0", &[], "").await;
    lines.push(resume.line());
    insta::assert_snapshot!(lines.join("\n"));
}
