//! Spans of a request's hops.

use nutmegsail_base::ResultCode;
use nutmegsail_telemetry::{Hop, Spans};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider};
use rstest::rstest;

const CALLER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

fn recorded() -> (Spans, InMemorySpanExporter) {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    (Spans::new(Some(provider.tracer("test"))), exporter)
}

#[test]
fn each_hop_has_a_span_below_the_callers() {
    let (spans, exporter) = recorded();
    let request = spans.begin(Hop::CallerRequest, Some(CALLER));
    drop(request.child(Hop::Queue));
    let dispatch = request.child(Hop::Dispatch);
    let upstream = dispatch.child(Hop::Upstream);
    upstream.set("nutmegsail.upstream", "10.0.0.1:8000");
    upstream.fail(ResultCode::UpstreamFailed);
    let sent = upstream.traceparent().unwrap();
    drop((upstream, dispatch, request));

    let finished = exporter.get_finished_spans().unwrap();
    let names: Vec<_> = finished.iter().map(|span| span.name.as_ref()).collect();
    assert_eq!(names, ["queue", "upstream", "dispatch", "caller_request"]);
    let [queue, upstream, dispatch, request] = &finished[..] else {
        unreachable!("four spans were counted");
    };
    assert_eq!(request.parent_span_id.to_string(), "b7ad6b7169203331");
    assert_eq!(queue.parent_span_id, request.span_context.span_id());
    assert_eq!(dispatch.parent_span_id, request.span_context.span_id());
    assert_eq!(upstream.parent_span_id, dispatch.span_context.span_id());
    let trace = "0af7651916cd43dd8448eb211c80319c";
    assert!(
        finished
            .iter()
            .all(|s| s.span_context.trace_id().to_string() == trace)
    );
    let span_id = upstream.span_context.span_id();
    assert_eq!(sent, format!("00-{trace}-{span_id}-01"));
}

// Traces are off on the node, and the caller has its own. Its trace must go on at the upstream.
#[test]
fn a_callers_trace_passes_through_a_node_that_keeps_none() {
    let request = Spans::discard().begin(Hop::CallerRequest, Some(CALLER));
    assert_eq!(
        request.child(Hop::Upstream).traceparent().as_deref(),
        Some(CALLER)
    );
    let request = Spans::discard().begin(Hop::CallerRequest, None);
    assert_eq!(request.child(Hop::Upstream).traceparent(), None);
}

#[rstest]
#[case("")]
#[case("00")]
#[case("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01")]
#[case("00-00000000000000000000000000000000-b7ad6b7169203331-01")]
#[case("ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01")]
#[case("\u{1F300}-\u{1F300}-\u{1F300}-\u{1F300}")]
fn a_bad_traceparent_starts_a_new_trace(#[case] traceparent: &str) {
    let (spans, exporter) = recorded();
    drop(spans.begin(Hop::CallerRequest, Some(traceparent)));
    let finished = exporter.get_finished_spans().unwrap();
    assert_eq!(finished[0].parent_span_id.to_string(), "0000000000000000");
    assert!(finished[0].span_context.is_valid());
}
