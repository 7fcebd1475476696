//! How long upstreams may take and how many connections they get.

use std::time::Duration;

use nutmegsail_http_pool::PoolSettings;

/// Settings of [`HttpEngine`](crate::HttpEngine) and [`HttpPlainService`](crate::HttpPlainService).
///
/// ```
/// use nutmegsail_upstream::UpstreamSettings;
/// let settings = UpstreamSettings { routine_connections: 32, ..UpstreamSettings::default() };
/// assert!(settings.keeps_runs);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long reports, orders, cancellations and the first byte of a resumed answer may take.
    pub control_timeout: Duration,
    /// How long an answer under way may bring no byte before its connection counts as broken.
    pub silence_timeout: Duration,
    /// How many connections urgent work may have to one upstream.
    pub urgent_connections: usize,
    /// How many connections routine work may have to one upstream.
    pub routine_connections: usize,
    /// Whether engines are asked to keep a run whose connection closes, so that it can be resumed.
    ///
    /// With it a node's death costs no answer: another node resumes the run. The price: a run that
    /// nobody wants any more goes on until the engine gives up waiting, unless it is ended by
    /// [`Engine::cancel`](crate::Engine::cancel).
    pub keeps_runs: bool,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            control_timeout: Duration::from_secs(2),
            silence_timeout: Duration::from_secs(60),
            urgent_connections: 1024,
            routine_connections: 256,
            keeps_runs: true,
        }
    }
}

impl UpstreamSettings {
    pub(crate) fn pool(&self, connections_per_address: usize) -> PoolSettings {
        PoolSettings {
            connect_timeout: self.connect_timeout,
            connections_per_address,
            ..PoolSettings::default()
        }
    }
}
