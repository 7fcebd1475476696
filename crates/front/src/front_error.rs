//! Why the front could not start.

use std::net::SocketAddr;

use nutmegsail_base::ResultCode;
use thiserror::Error;

/// Why the front could not start.
#[derive(Debug, Error)]
pub enum FrontError {
    /// The settings have faults.
    #[error("the front's settings have faults: {}", faults.join("; "))]
    Settings {
        /// Every fault, each with what would be right.
        faults: Vec<String>,
    },
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        cause: std::io::Error,
    },
}

impl FrontError {
    /// The numbered result.
    pub fn code(&self) -> ResultCode {
        ResultCode::SettingsInvalid
    }
}
