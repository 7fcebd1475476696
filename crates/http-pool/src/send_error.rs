//! Why a request got no answer.

use thiserror::Error;

/// Why [`Pool::send`](crate::Pool::send) has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection could be made, or it closed before a byte of the request was written.
    #[error("no connection could be made; nothing was sent")]
    NotSent,
    /// All connections that the pool may have to this address are in use; nothing was sent.
    #[error("every connection to the address is in use; nothing was sent")]
    AtLimit,
    /// The connection broke after bytes may have been sent.
    #[error("the connection broke after bytes may have been sent")]
    Broken,
}
