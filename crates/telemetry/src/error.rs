//! Why telemetry cannot start.

use nutmegsail_base::ResultCode;
use thiserror::Error;

/// Why telemetry cannot start.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum TelemetryError {
    /// The collector's address cannot be used.
    #[error("telemetry.otlp_endpoint is `{0}`; write it as `http://HOST:PORT`")]
    Endpoint(String),
    /// Metrics would be sent too often.
    #[error("telemetry.metrics_interval_ms is {0}; it must be at least 100")]
    Interval(u64),
    /// The share is none.
    #[error("telemetry.sampled_share is {0}; it must be from 0 to 1")]
    Share(f64),
    /// The exporter could not be made.
    #[error("the exporter cannot be made: {0}")]
    Exporter(String),
}

impl TelemetryError {
    /// The numbered result for operators.
    pub fn code(&self) -> ResultCode {
        ResultCode::SettingsInvalid
    }
}
