//! Metrics and spans with their exporters.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId};
use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::{MeterProviderBuilder, PeriodicReader, SdkMeterProvider};
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider, TracerProviderBuilder};
use tokio::runtime::Handle;

use crate::collector_client::CollectorClient;
use crate::{Exporter, Metrics, Spans, TelemetryError, TelemetrySettings};

const SCOPE: &str = "nutmegsail";
const SHUTDOWN: Duration = Duration::from_secs(2);

/// Metrics and spans with their exporters.
///
/// With exporters off nothing is collected, and no thread is started.
pub struct Telemetry {
    metrics: Metrics,
    spans: Spans,
    meters: SdkMeterProvider,
    tracers: Option<SdkTracerProvider>,
}

impl Telemetry {
    /// Starts the exporters that `settings` name. Must be called inside a tokio runtime if one of
    /// them is `otlp`. A collector that does not answer costs measurements and nothing else.
    ///
    /// # Errors
    ///
    /// [`TelemetryError`] if the collector's address cannot be used.
    ///
    /// ```
    /// use nutmegsail_telemetry::{Telemetry, TelemetrySettings};
    ///
    /// let settings = TelemetrySettings::default();
    /// let telemetry = Telemetry::start(&settings, &"negril-1".into(), &"negril-hall".into())?;
    /// telemetry.metrics().generation(7);
    /// telemetry.shutdown();
    /// # Ok::<(), nutmegsail_telemetry::TelemetryError>(())
    /// ```
    pub fn start(
        settings: &TelemetrySettings,
        node: &NodeId,
        failure_domain: &FailureDomain,
    ) -> Result<Self, TelemetryError> {
        let resource = resource(node, failure_domain);
        let meters = SdkMeterProvider::builder().with_resource(resource.clone());
        let meters = add_metric_exporter(meters, settings)?.build();
        let tracers = tracers(settings, resource)?;
        let tracer = tracers.as_ref().map(|provider| provider.tracer(SCOPE));
        Ok(Self {
            metrics: Metrics::new(&meters.meter(SCOPE)),
            spans: Spans::new(tracer),
            meters,
            tracers,
        })
    }

    /// The node's metrics. Cloning them is cheap.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The node's spans. Cloning them is cheap.
    pub fn spans(&self) -> &Spans {
        &self.spans
    }

    /// Sends what is left. Blocks for two seconds at most, so call it from a thread that may.
    ///
    /// The exporters retry for longer than that. A collector that is away would hold up the end of
    /// the process, so they are left behind on a thread that ends with it.
    pub fn shutdown(self) {
        let (done, is_done) = mpsc::channel();
        thread::spawn(move || {
            // What could not be sent is lost either way.
            let _ = self.meters.shutdown();
            if let Some(tracers) = &self.tracers {
                let _ = tracers.shutdown();
            }
            let _ = done.send(());
        });
        let _ = is_done.recv_timeout(SHUTDOWN);
    }
}

impl std::fmt::Debug for Telemetry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Telemetry").finish_non_exhaustive()
    }
}

fn resource(node: &NodeId, failure_domain: &FailureDomain) -> Resource {
    let attributes = [
        KeyValue::new("service.instance.id", node.to_string()),
        KeyValue::new("nutmegsail.failure_domain", failure_domain.to_string()),
    ];
    Resource::builder_empty()
        .with_service_name(SCOPE)
        .with_attributes(attributes)
        .build()
}

fn add_metric_exporter(
    meters: MeterProviderBuilder,
    settings: &TelemetrySettings,
) -> Result<MeterProviderBuilder, TelemetryError> {
    let interval = Duration::from_millis(settings.metrics_interval_ms);
    match settings.metrics {
        Exporter::Off => Ok(meters),
        Exporter::Stdout => {
            let exporter = opentelemetry_stdout::MetricExporter::default();
            let reader = PeriodicReader::builder(exporter).with_interval(interval);
            Ok(meters.with_reader(reader.build()))
        }
        Exporter::Otlp => {
            let exporter = opentelemetry_otlp::MetricExporter::builder()
                .with_http()
                .with_http_client(client(settings)?)
                .with_endpoint(format!("{}/v1/metrics", settings.otlp_endpoint))
                .build()
                .map_err(|error| TelemetryError::Exporter(error.to_string()))?;
            let reader = PeriodicReader::builder(exporter).with_interval(interval);
            Ok(meters.with_reader(reader.build()))
        }
    }
}

fn tracers(
    settings: &TelemetrySettings,
    resource: Resource,
) -> Result<Option<SdkTracerProvider>, TelemetryError> {
    let sampler = Sampler::TraceIdRatioBased(settings.sampled_share);
    let tracers = SdkTracerProvider::builder()
        .with_resource(resource)
        .with_sampler(Sampler::ParentBased(Box::new(sampler)));
    let tracers = match settings.traces {
        Exporter::Off => return Ok(None),
        Exporter::Stdout => {
            tracers.with_batch_exporter(opentelemetry_stdout::SpanExporter::default())
        }
        Exporter::Otlp => add_span_collector(tracers, settings)?,
    };
    Ok(Some(tracers.build()))
}

fn add_span_collector(
    tracers: TracerProviderBuilder,
    settings: &TelemetrySettings,
) -> Result<TracerProviderBuilder, TelemetryError> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_http_client(client(settings)?)
        .with_endpoint(format!("{}/v1/traces", settings.otlp_endpoint))
        .build()
        .map_err(|error| TelemetryError::Exporter(error.to_string()))?;
    Ok(tracers.with_batch_exporter(exporter))
}

fn client(settings: &TelemetrySettings) -> Result<CollectorClient, TelemetryError> {
    let runtime = Handle::try_current()
        .map_err(|_| TelemetryError::Exporter("there is no tokio runtime".to_owned()))?;
    let endpoint: Result<http::Uri, _> = settings.otlp_endpoint.parse();
    match endpoint {
        Ok(uri) if uri.authority().is_some() => Ok(CollectorClient::new(runtime)),
        _ => Err(TelemetryError::Endpoint(settings.otlp_endpoint.clone())),
    }
}
