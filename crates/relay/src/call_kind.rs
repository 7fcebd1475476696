//! Whether calls on a route may be repeated.

/// The retry semantics of a route's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after the last event received.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run can be sent again from its start.
    ///
    /// A resumable stream is idempotent until its first event has been sent to the caller. Any
    /// other stream may run at most once.
    ///
    /// ```
    /// use nutmegsail_relay::CallKind;
    /// assert!(CallKind::Idempotent.may_retry());
    /// assert!(!CallKind::Stream { is_resumable: false }.may_retry());
    /// ```
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
