//! Metrics in the text format that metrics tools read.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::TelemetryError;

/// Gathers metrics and writes them out when they are asked for; nothing runs in between.
///
/// ```
/// use nutmegsail_telemetry::MetricsPage;
/// let page = MetricsPage::new()?;
/// let requests = page.meter().u64_counter("nutmegsail.requests").build();
/// requests.add(3, &[]);
/// assert!(page.render()?.contains("nutmegsail_requests_total"));
/// # Ok::<(), nutmegsail_telemetry::TelemetryError>(())
/// ```
#[derive(Clone, Debug)]
pub struct MetricsPage {
    registry: Registry,
    meters: SdkMeterProvider,
}

impl MetricsPage {
    /// A page without metrics.
    ///
    /// # Errors
    ///
    /// [`TelemetryError`] if the exporter cannot be set up.
    pub fn new() -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| TelemetryError::Exporter(error.to_string()))?;
        let meters = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, meters })
    }

    /// What instruments are made with.
    pub fn meter(&self) -> Meter {
        self.meters.meter("nutmegsail")
    }

    /// The metrics as they are now.
    ///
    /// # Errors
    ///
    /// [`TelemetryError`] if a metric cannot be written.
    pub fn render(&self) -> Result<String, TelemetryError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(|error| TelemetryError::Exporter(error.to_string()))
    }
}
