//! How a node logs.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum LogFormat {
    /// One readable line a record, on standard error.
    #[default]
    Terminal,
    /// One JSON object a line, on standard output.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only faults of the node itself.
    Error,
    /// And what an operator may have to act on.
    Warning,
    /// And every change of state.
    #[default]
    Info,
    /// And each request.
    Debug,
}

impl LogLevel {
    /// The level as slog names it.
    pub fn as_slog(self) -> slog::Level {
        match self {
            Self::Error => slog::Level::Error,
            Self::Warning => slog::Level::Warning,
            Self::Info => slog::Level::Info,
            Self::Debug => slog::Level::Debug,
        }
    }
}

/// How a node logs: the `[log]` table of its settings.
///
/// ```
/// use nutmegsail_telemetry::{LogFormat, LogLevel, LogSettings};
/// let settings = LogSettings::default().with_format(LogFormat::Json);
/// assert_eq!(settings.level, LogLevel::Info);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

impl LogSettings {
    /// Sets the form of a line.
    pub fn with_format(mut self, format: LogFormat) -> Self {
        self.format = format;
        self
    }

    /// Sets the least severe level.
    pub fn with_level(mut self, level: LogLevel) -> Self {
        self.level = level;
        self
    }
}
