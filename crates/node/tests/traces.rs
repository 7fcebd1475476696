//! Spans of whole requests.

mod support;

use http::Method;
use nutmegsail_node::{Measures, Node, Outside};
use nutmegsail_telemetry::{Metrics, Spans};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider};
use rstest::rstest;
use support::{World, send, text_of, until_ready};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLERS_SPAN: &str = "b7ad6b7169203331";
const GENERATE: &str = r#"{"model":"note-03@2","prompt":"hello","max_tokens":3,"stream":true}"#;

async fn traced_node(world: &World, provider: &SdkTracerProvider) -> Node {
    let settings = world.node_settings("node-1", "hall-a", &[]);
    let mut outside = Outside::over_http(&settings.platform);
    outside.measures = Measures {
        metrics: Metrics::discard(),
        spans: Spans::new(Some(provider.tracer("test"))),
    };
    let log = nutmegsail_telemetry::logger(&settings.log);
    let node = Node::start(settings, outside, log).await.expect("starts");
    until_ready(&node).await;
    node
}

/// An operator follows one slow answer through the system: each hop of it stands under the
/// caller's own trace.
#[rstest]
#[case::generation("/v1/completions", GENERATE, &["caller_request", "dispatch", "queue", "upstream"])]
#[case::plain("/svc/desk/slots/1", "", &["caller_request", "queue", "upstream"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_request_has_a_span_of_each_hop_with_one_trace_id(
    #[case] path: &str,
    #[case] body: &str,
    #[case] hops: &[&str],
) {
    let world = World::start().await;
    let exporter = InMemorySpanExporter::default();
    // Kept to the end: the exporter forgets its spans when the provider goes.
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    let node = traced_node(&world, &provider).await;
    let parent = format!("00-{TRACE}-{CALLERS_SPAN}-01");
    let headers = [("traceparent", parent.as_str())];
    let method = if body.is_empty() {
        Method::GET
    } else {
        Method::POST
    };
    let answer = send(node.callers_address(), method, path, &headers, body).await;
    assert_eq!(answer.status(), 200, "{}", text_of(&answer));
    node.shutdown().await;
    let spans = exporter.get_finished_spans().expect("spans");
    let of_trace = spans
        .iter()
        .filter(|span| span.span_context.trace_id().to_string() == TRACE);
    let mut names: Vec<_> = of_trace.map(|span| span.name.to_string()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names, hops);
    let request = spans.iter().find(|span| span.name == "caller_request");
    let request = request.expect("the caller's span");
    assert_eq!(request.parent_span_id.to_string(), CALLERS_SPAN);
    for span in spans.iter().filter(|span| span.name != "caller_request") {
        assert_eq!(span.parent_span_id, request.span_context.span_id());
    }
}
