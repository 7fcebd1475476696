//! What makes an answer malformed.

use thiserror::Error;

/// What makes an answer malformed. Nothing of such an answer may be used: where it ends, or which
/// bytes belong to it, is uncertain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedAnswer {
    /// Its status line, or a line of its head that should be a field.
    #[error("its head cannot be parsed")]
    Head,
    /// Lines of its head that end with a line feed, and others that end with a carriage return before
    /// it.
    #[error("the lines of its head end in different ways")]
    LineEnds,
    /// A status of no known class, or 101, as no request asks for another protocol.
    #[error("its status is none that an answer may have")]
    Status,
    /// A length that is no number, or several numbers.
    #[error("its content length is not one number")]
    ContentLength,
    /// A transfer coding other than `chunked`, `chunked` more than once, or one that goes with a
    /// length or an HTTP/1.0 head.
    #[error("its transfer coding is unknown or contradicts the head")]
    TransferCoding,
    /// Neither a length nor chunks, in an answer after which the connection is said to stay open.
    #[error("it states no end of its body, and that its connection is kept")]
    NoFraming,
}
