//! Where metrics and spans go.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::TelemetryError;

/// Where measurements go.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Exporter {
    /// Nowhere. Nothing is collected.
    #[default]
    Off,
    /// To standard output.
    Stdout,
    /// To a collector, by OTLP over HTTP.
    Otlp,
}

/// Where metrics and spans go: the `[telemetry]` table of a node's settings.
///
/// ```
/// use nutmegsail_telemetry::{Exporter, TelemetrySettings};
/// let settings = TelemetrySettings::default();
/// assert_eq!(settings.metrics, Exporter::Off);
/// assert!(settings.validate().is_ok());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TelemetrySettings {
    /// Where metrics go.
    pub metrics: Exporter,
    /// Where spans go.
    pub traces: Exporter,
    /// The collector, as `http://HOST:PORT`.
    pub otlp_endpoint: String,
    /// How often metrics are sent.
    pub metrics_interval_ms: u64,
    /// The share of requests whose spans are kept, 0 to 1, where the caller has not decided.
    pub sampled_share: f64,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            metrics: Exporter::Off,
            traces: Exporter::Off,
            otlp_endpoint: "http://127.0.0.1:4318".to_owned(),
            metrics_interval_ms: 10_000,
            sampled_share: 0.01,
        }
    }
}

impl TelemetrySettings {
    /// Checks the fields, and reports all faults at once.
    ///
    /// # Errors
    ///
    /// Every fault, in order of the fields.
    pub fn validate(&self) -> Result<(), Vec<TelemetryError>> {
        let mut faults = Vec::new();
        if !self.otlp_endpoint.starts_with("http://") {
            faults.push(TelemetryError::Endpoint(self.otlp_endpoint.clone()));
        }
        if self.metrics_interval_ms < 100 {
            faults.push(TelemetryError::Interval(self.metrics_interval_ms));
        }
        if !(0.0..=1.0).contains(&self.sampled_share) {
            faults.push(TelemetryError::Share(self.sampled_share));
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}
