//! Settings of the front.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegsail_intake::LimitSettings;
use serde::{Deserialize, Serialize};

use crate::FrontError;

/// The smallest buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Settings of the front. Every field has a default.
///
/// ```
/// use nutmegsail_front::FrontSettings;
/// let settings = FrontSettings::default().with_callers_address(([127, 0, 0, 1], 0).into());
/// settings.validate()?;
/// # Ok::<(), nutmegsail_front::FrontError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontSettings {
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
    /// The most bytes that the head of a request may have.
    pub max_header_bytes: usize,
    /// The most headers that a request may have.
    pub max_headers: usize,
    /// The most bytes that the body of a request may have; the operators' text may lower it.
    pub max_body_bytes: usize,
    /// The most bytes of text in an answer that is not streamed.
    pub max_whole_answer_bytes: usize,
    /// Answer bytes that wait for a slow reader before no more are taken from the engine.
    pub write_buffer_bytes: usize,
    /// Answer bytes that the operating system holds for one connection.
    pub socket_buffer_bytes: u32,
    /// The time from the first byte of a request to the end of its head.
    pub header_timeout_ms: u64,
    /// The longest gap in the body of a request.
    pub body_timeout_ms: u64,
    /// The time for the whole body of a request.
    pub whole_body_timeout_ms: u64,
    /// How long a connection without a request is kept.
    pub idle_timeout_ms: u64,
    /// How long a reader may take nothing before its connection is given up.
    pub write_timeout_ms: u64,
    /// How long an ended connection is read from, so that its caller gets the last answer.
    pub linger_ms: u64,
    /// The most connections at a time; further ones are refused.
    pub max_connections: usize,
    /// After "not ready", how long new connections are still taken: the balancer needs that time.
    pub stop_accepting_after_ms: u64,
    /// What the process may use.
    pub limits: LimitSettings,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            callers_address: ([0, 0, 0, 0], 8080).into(),
            operators_address: ([127, 0, 0, 1], 8081).into(),
            max_header_bytes: 32 * 1024,
            max_headers: 100,
            max_body_bytes: 4 * 1024 * 1024,
            max_whole_answer_bytes: 8 * 1024 * 1024,
            write_buffer_bytes: 64 * 1024,
            socket_buffer_bytes: 256 * 1024,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            whole_body_timeout_ms: 60_000,
            idle_timeout_ms: 120_000,
            write_timeout_ms: 60_000,
            linger_ms: 1_000,
            max_connections: 4_096,
            stop_accepting_after_ms: 5_000,
            limits: LimitSettings::default(),
        }
    }
}

impl FrontSettings {
    /// Sets where callers connect.
    pub fn with_callers_address(mut self, address: SocketAddr) -> Self {
        self.callers_address = address;
        self
    }

    /// Sets where operators connect.
    pub fn with_operators_address(mut self, address: SocketAddr) -> Self {
        self.operators_address = address;
        self
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// All faults at once, each with what would be right.
    pub fn validate(&self) -> Result<(), FrontError> {
        let mut faults = Vec::new();
        let timeouts = [
            ("header_timeout_ms", self.header_timeout_ms),
            ("body_timeout_ms", self.body_timeout_ms),
            ("whole_body_timeout_ms", self.whole_body_timeout_ms),
            ("idle_timeout_ms", self.idle_timeout_ms),
            ("write_timeout_ms", self.write_timeout_ms),
        ];
        for (name, timeout_ms) in timeouts {
            if timeout_ms == 0 {
                faults.push(format!("`{name}` is 0; it must be at least 1"));
            }
        }
        let sizes = [
            ("max_header_bytes", self.max_header_bytes, 1024),
            ("max_headers", self.max_headers, 16),
            ("max_body_bytes", self.max_body_bytes, 1024),
            ("max_whole_answer_bytes", self.max_whole_answer_bytes, 1024),
            (
                "write_buffer_bytes",
                self.write_buffer_bytes,
                MIN_BUFFER_BYTES,
            ),
            (
                "socket_buffer_bytes",
                self.socket_buffer_bytes as usize,
                MIN_BUFFER_BYTES,
            ),
            ("max_connections", self.max_connections, 1),
        ];
        for (name, size, least) in sizes {
            if size < least {
                faults.push(format!("`{name}` is {size}; it must be at least {least}"));
            }
        }
        faults.extend(self.limits.faults());
        if faults.is_empty() {
            return Ok(());
        }
        Err(FrontError::Settings { faults })
    }

    pub(crate) fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    pub(crate) fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    pub(crate) fn whole_body_timeout(&self) -> Duration {
        Duration::from_millis(self.whole_body_timeout_ms)
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }

    pub(crate) fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    pub(crate) fn stop_accepting_after(&self) -> Duration {
        Duration::from_millis(self.stop_accepting_after_ms)
    }
}
