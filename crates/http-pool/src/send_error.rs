//! Why a request got no answer.

use thiserror::Error;

use crate::MalformedAnswer;

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The other end refused it, or closed it before it took a byte: nothing listens at the address.
    #[error("nothing listens at the address")]
    Refused,
    /// No answer came in time, or the network has no way to the address.
    #[error("the address did not answer")]
    Silent,
    /// All connections that the pool may have to this address are in use.
    #[error("every connection to the address is in use")]
    AtLimit,
}

impl From<OpenError> for SendError {
    fn from(error: OpenError) -> Self {
        match error {
            OpenError::AtLimit => Self::AtLimit,
            OpenError::Refused | OpenError::Silent => Self::NotSent(error),
        }
    }
}

/// Why [`Pool::send`](crate::Pool::send) has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection could be made, or it closed before a byte of the request was written.
    #[error("no connection could be made, as {_0}; nothing was sent")]
    NotSent(OpenError),
    /// All connections that the pool may have to this address are in use; nothing was sent.
    #[error("every connection to the address is in use; nothing was sent")]
    AtLimit,
    /// The connection broke after bytes may have been sent.
    #[error("the connection broke after bytes may have been sent")]
    Broken,
    /// The answer is malformed; its connection was closed. The request may have been carried out.
    #[error("the answer is malformed, as {_0}")]
    Malformed(MalformedAnswer),
}
