//! The answer that repeats of a call get.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedHeader {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// What the upstream answered, kept for repeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that a repeat gets too.
    pub headers: Vec<RecordedHeader>,
    /// The body; empty if it was too large to keep.
    pub body: Bytes,
    /// Whether headers and body are kept. A repeat of a large answer gets the status alone.
    pub is_kept: bool,
}

impl RecordedAnswer {
    /// An answer whose headers and body are kept.
    ///
    /// ```
    /// let answer = nutmegsail_idempotency::RecordedAnswer::new(201, "booked");
    /// assert!(answer.is_kept);
    /// ```
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            is_kept: true,
        }
    }

    /// This answer if it is at most `max_bytes` long, or else its status alone.
    ///
    /// ```
    /// let answer = nutmegsail_idempotency::RecordedAnswer::new(200, "long text");
    /// let short = answer.within(4);
    /// assert_eq!((short.status, short.is_kept), (200, false));
    /// ```
    #[must_use]
    pub fn within(self, max_bytes: usize) -> Self {
        if self.bytes() <= max_bytes {
            return self;
        }
        Self {
            status: self.status,
            ..Self::default()
        }
    }

    fn bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// How a call that was let run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The upstream answered.
    Answered(RecordedAnswer),
    /// The upstream certainly did not run it and never will: no byte was sent, or it said so.
    NotRun,
    /// It may have run: the connection broke after bytes were sent, or the upstream failed.
    Unknown,
}
