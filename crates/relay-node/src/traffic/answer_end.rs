//! How an answer ended, and what that says of its completeness.

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

/// What is known of an answer that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Completeness {
    Whole,
    /// It may be whole or have ended early.
    Unknown,
    Broken,
}

impl BodyEnd {
    /// The end of a body that was read to its end.
    pub(super) fn of(framing: Framing) -> Self {
        match framing {
            Framing::Close => Self::Close,
            Framing::NoBody | Framing::Length | Framing::Chunked => Self::Delimiter,
        }
    }

    pub(super) fn completeness(self, is_inside_event: bool) -> Completeness {
        match self {
            Self::Delimiter if !is_inside_event => Completeness::Whole,
            Self::Close if !is_inside_event => Completeness::Unknown,
            _ => Completeness::Broken,
        }
    }
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
