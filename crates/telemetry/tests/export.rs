//! What leaves the node, and what a collector that is away costs.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegsail_base::{Class, ResultCode};
use nutmegsail_telemetry::{
    ClaimResult, Direction, Exporter, Hop, LogSettings, Metrics, StoreCall, Telemetry,
    TelemetrySettings,
};
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::{InMemoryMetricExporter, SdkMeterProvider};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(30);

fn settings(endpoint: String) -> TelemetrySettings {
    TelemetrySettings {
        metrics: Exporter::Otlp,
        traces: Exporter::Otlp,
        otlp_endpoint: endpoint,
        metrics_interval_ms: 100,
        sampled_share: 1.0,
    }
}

fn start(settings: &TelemetrySettings) -> Telemetry {
    let (node, failure_domain) = ("negril-1".into(), "negril-hall".into());
    Telemetry::start(settings, &node, &failure_domain).expect("the settings are valid")
}

#[test]
fn every_metric_has_a_name_and_known_attributes() {
    let exporter = InMemoryMetricExporter::default();
    let meters = SdkMeterProvider::builder()
        .with_periodic_exporter(exporter.clone())
        .build();
    let metrics = Metrics::new(&meters.meter("test"));
    let service = "spa-desk".into();
    metrics.request_ended(&service, Class::Urgent, None);
    metrics.request_ended(&service, Class::Urgent, Some(ResultCode::QueueFull));
    metrics.first_token(Class::Urgent, Duration::from_millis(12));
    metrics.load_stall(Class::Routine, Duration::ZERO);
    metrics.queue_length(Class::Routine, 3);
    metrics.retried(&service);
    metrics.shed(&service, Class::Routine);
    metrics.generation(7);
    metrics.store_called(StoreCall::Read, None);
    metrics.control_traffic("heartbeat", Direction::Sent, 4, 2_000);
    metrics.claimed(ClaimResult::Granted);
    meters.force_flush().unwrap();

    let exported = exporter.get_finished_metrics().unwrap();
    let scopes = exported[0].scope_metrics();
    let mut names: Vec<_> = scopes
        .flat_map(|scope| scope.metrics())
        .map(|metric| format!("{} {}", metric.name(), metric.unit()))
        .collect();
    names.sort();
    insta::assert_snapshot!(names.join("\n").replace(" \n", "\n"), @r"
    nutmegsail.claims
    nutmegsail.control_bytes
    nutmegsail.control_messages
    nutmegsail.first_token ms
    nutmegsail.generation
    nutmegsail.load_stall s
    nutmegsail.queue_length
    nutmegsail.requests
    nutmegsail.retries
    nutmegsail.sheds
    nutmegsail.store_calls
    ");
}

/// Answers every export, and tells the first line of each.
async fn collect(collector: TcpListener, lines: mpsc::UnboundedSender<String>) {
    while let Ok((mut stream, _)) = collector.accept().await {
        let mut head = [0; 64];
        if stream.read_exact(&mut head).await.is_err() {
            continue;
        }
        let line = String::from_utf8_lossy(&head).into_owned();
        let _ = lines.send(line.split(" HTTP").next().unwrap_or_default().to_owned());
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        let _ = stream.write_all(answer).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_spans_reach_a_collector() {
    let collector = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = format!("http://{}", collector.local_addr().unwrap());
    let (sender, mut lines) = mpsc::unbounded_channel();
    tokio::spawn(collect(collector, sender));
    let telemetry = start(&settings(endpoint));
    telemetry.metrics().generation(7);
    drop(telemetry.spans().begin(Hop::CallerRequest, None));
    stop(telemetry).await;
    let mut wanted = BTreeSet::from(["POST /v1/metrics", "POST /v1/traces"]);
    while !wanted.is_empty() {
        let line = tokio::time::timeout(PATIENCE, lines.recv()).await;
        wanted.remove(line.expect("the node exports").unwrap().as_str());
    }
}

async fn stop(telemetry: Telemetry) {
    let stopped = tokio::task::spawn_blocking(move || telemetry.shutdown());
    let waited = tokio::time::timeout(PATIENCE, stopped).await;
    waited
        .expect("the shutdown ends")
        .expect("it does not panic");
}

// The settings name a collector that is not there. The node must start, work and end all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_collector_that_is_away_costs_only_measurements() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = format!("http://{}", closed.local_addr().unwrap());
    drop(closed);
    let telemetry = start(&settings(endpoint));
    telemetry.metrics().generation(7);
    drop(telemetry.spans().begin(Hop::CallerRequest, None));
    let stopped = tokio::task::spawn_blocking(move || telemetry.shutdown());
    tokio::time::timeout(PATIENCE, stopped)
        .await
        .unwrap()
        .unwrap();
}

#[test]
fn settings_report_every_fault_at_once() {
    let settings = TelemetrySettings {
        otlp_endpoint: "collector:4318".to_owned(),
        metrics_interval_ms: 0,
        sampled_share: f64::NAN,
        ..TelemetrySettings::default()
    };
    let faults = settings.validate().unwrap_err();
    let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(faults.join("\n"), @r"
    telemetry.otlp_endpoint is `collector:4318`; write it as `http://HOST:PORT`
    telemetry.metrics_interval_ms is 0; it must be at least 100
    telemetry.sampled_share is NaN; it must be from 0 to 1
    ");
}

#[test]
fn unknown_settings_are_refused() {
    let unknown: Result<LogSettings, _> = serde_json::from_str(r#"{"colour": true}"#);
    assert!(unknown.is_err());
    let unknown: Result<TelemetrySettings, _> = serde_json::from_str(r#"{"metric": "off"}"#);
    assert!(unknown.is_err());
}
