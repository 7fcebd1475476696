//! The whole path over real sockets: callers, nodes, stand-ins.

mod support;

use http::Method;
use support::{World, send, text_of};

const GENERATE: &str = r#"{"model":"note-03@2","prompt":"hello","max_tokens":5,"stream":true}"#;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_comes_whole_from_the_adapter_it_named() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let headers = [("nutmegsail-request-id", "r-1")];
    let to = node.callers_address();
    let answer = send(to, Method::POST, "/v1/completions", &headers, GENERATE).await;
    let text = text_of(&answer);
    assert_eq!(answer.status(), 200, "{text}");
    assert_eq!(answer.headers()["nutmegsail-adapter"], "note-03@2");
    let request = answer.headers()["nutmegsail-request-id"]
        .to_str()
        .expect("text");
    for index in 1..=5 {
        assert!(
            text.contains(&format!("{request}/note-03@2/{index} ")),
            "{text}"
        );
    }
    assert!(text.contains("event: end\ndata: {\"count\":5"), "{text}");
    node.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_confirmation_repeated_through_another_node_runs_once() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let second = world.node("node-2", "hall-b", &[&first]).await;
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let mut answers = Vec::new();
    for node in [&first, &second, &first] {
        let to = node.callers_address();
        let answer = send(
            to,
            Method::POST,
            "/svc/desk/bookings",
            &headers,
            "{\"room\":4}",
        )
        .await;
        answers.push((answer.status().as_u16(), text_of(&answer)));
    }
    assert_eq!(answers[0].0, 200, "{answers:?}");
    for repeat in &answers[1..] {
        let is_recorded = repeat == &answers[0];
        let is_refused = repeat.0 == 409 && !repeat.1.contains("not_run");
        assert!(is_recorded || is_refused, "{answers:?}");
    }
    assert_eq!(world.runs_at_all_desks(&key), 1);
    first.shutdown().await;
    second.shutdown().await;
}
