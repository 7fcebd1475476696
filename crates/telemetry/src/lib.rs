//! Numbered log events, metrics and spans of a node.
//!
//! This crate is told what happened and writes it down; it decides nothing and never blocks a
//! request: logs leave through a bounded queue, and exporters are off unless the settings name one.
//! Start at [`logger`] with [`log_event!`], and at [`Telemetry`].

mod bounded;
mod collector_client;
mod counted_store;
mod error;
mod event;
mod log_settings;
mod logger;
mod metrics;
mod metrics_page;
mod spans;
mod telemetry;
mod telemetry_settings;

pub use counted_store::{CountStoreCalls, CountedStore};
pub use error::TelemetryError;
pub use event::{Event, Severity};
pub use log_settings::{LogFormat, LogLevel, LogSettings};
pub use logger::{discard_logger, logger};
pub use metrics::{ClaimResult, Direction, Metrics, StoreCall};
pub use metrics_page::MetricsPage;
pub use spans::{Hop, HopSpan, Spans};
pub use telemetry::Telemetry;
pub use telemetry_settings::{Exporter, TelemetrySettings};

#[doc(hidden)]
pub use slog;

/// Logs a numbered event with its key-values.
///
/// The record's message is the event's name; its number stands under the key `event`.
///
/// ```
/// use nutmegsail_telemetry::{Event, discard_logger, log_event};
///
/// let log = discard_logger();
/// log_event!(log, Event::NodeStarted, "node" => "negril-1", "pid" => 7);
/// ```
#[macro_export]
macro_rules! log_event {
    ($logger:expr, $event:expr) => {
        $crate::log_event!($logger, $event,)
    };
    ($logger:expr, $event:expr, $($pairs:tt)*) => {{
        let event: $crate::Event = $event;
        $crate::slog::Logger::log(
            &$logger,
            &$crate::slog::Record::new(
                &$crate::slog::record_static!(event.level(), event.name()),
                &::core::format_args!("{}", event.name()),
                $crate::slog::b!("event" => event.to_string(), $($pairs)*),
            ),
        );
    }};
}
