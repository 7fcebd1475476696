//! Recorded answers, which repeats of a call receive.

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

/// An upstream's answer, recorded for repeats of the call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that repeats receive.
    pub headers: Vec<RecordedHeader>,
    /// The body; empty if it was not stored.
    pub body: Bytes,
    /// Whether headers and body are stored. For an answer that is large, or may have ended early,
    /// repeats receive only the status.
    pub is_kept: bool,
}

impl RecordedAnswer {
    /// Creates an answer without headers whose body is stored.
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

    /// Drops headers and body if together they are larger than `max_bytes`.
    ///
    /// ```
    /// let answer = nutmegsail_idempotency::RecordedAnswer::new(200, "long text");
    /// let short = answer.within(4);
    /// assert_eq!((short.status, short.is_kept), (200, false));
    /// ```
    #[must_use]
    pub fn within(self, max_bytes: usize) -> Self {
        match self.bytes() <= max_bytes {
            true => self,
            false => self.status_only(),
        }
    }

    /// Drops headers and body.
    ///
    /// ```
    /// let answer = nutmegsail_idempotency::RecordedAnswer::new(200, "may have ended early");
    /// assert!(!answer.status_only().is_kept);
    /// ```
    #[must_use]
    pub fn status_only(self) -> Self {
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

/// How a call that was allowed to run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The upstream answered.
    Answered(RecordedAnswer),
    /// The upstream did not run the call and never will: no byte was sent, or the upstream said so.
    NotRun,
    /// The call may have run: the connection broke after bytes were sent, or the upstream failed.
    Unknown,
}
