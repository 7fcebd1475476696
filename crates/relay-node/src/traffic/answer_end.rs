//! How an answer ended.

use derive_more::Display;
use nutmegsail_http_pool::Framing;

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub(crate) enum BodyEnd {
    /// At its length or its last chunk.
    Delimiter,
    /// With its connection, which was closed in order.
    Close,
    /// The connection broke, or the bytes did not match the framing.
    Broken,
    /// The request's deadline passed.
    TimedOut,
    /// It was not read to its end: the caller left, or another upstream resumed the stream.
    #[default]
    Abandoned,
}

/// What is known of an answer's body, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodySummary {
    pub(crate) framing: Framing,
    pub(crate) end: BodyEnd,
    pub(crate) bytes: u64,
    /// Whether the bytes of a stream end inside an event.
    pub(crate) is_inside_event: bool,
}
