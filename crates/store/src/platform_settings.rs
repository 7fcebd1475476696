//! Address and timeouts of a platform service.

use std::time::Duration;

use nutmegsail_http_pool::PoolSettings;

/// Settings of [`HttpKeyValue`](crate::HttpKeyValue) and [`HttpVmList`](crate::HttpVmList).
///
/// ```
/// use nutmegsail_store::PlatformSettings;
/// let settings = PlatformSettings::at("10.0.0.5:2400");
/// assert_eq!(settings.call_timeout.as_millis(), 2000);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The service's `host:port`.
    pub address: String,
    /// Timeout of one call. For a watch it is added to the time that the watch waits.
    pub call_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:2400".to_owned(),
            call_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
        }
    }
}

impl PlatformSettings {
    /// Settings for the service at `address` (`host:port`) with the default timeouts.
    pub fn at(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            ..Self::default()
        }
    }

    pub(crate) fn pool(&self) -> PoolSettings {
        PoolSettings {
            connect_timeout: self.connect_timeout,
            ..PoolSettings::default()
        }
    }
}
