//! Why a message did not travel.

use nutmegsail_base::ResultCode;
use thiserror::Error;

/// Why a message could not be sent or read, or the link not be opened.
#[derive(Debug, Error)]
pub enum WireError {
    /// The address is not an IP address and port.
    #[error("`{0}` is not an IP address with a port")]
    BadAddress(String),
    /// The message is larger than the link carries.
    #[error("the message has {bytes} bytes, more than the link carries")]
    TooLarge {
        /// The message's bytes.
        bytes: usize,
    },
    /// The bytes are of another protocol version.
    #[error("the message has version {version}")]
    Version {
        /// The version found.
        version: u8,
    },
    /// The message could not be encoded.
    #[error("the message cannot be encoded: {0}")]
    Encode(#[source] postcard::Error),
    /// The bytes are no message.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[source] postcard::Error),
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Socket(#[from] nng::Error),
}

impl WireError {
    /// The numbered result for operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::BadAddress(_) => ResultCode::SettingsInvalid,
            _ => ResultCode::Internal,
        }
    }
}
