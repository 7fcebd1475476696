//! What may be repeated.

/// What a route says about sending a call again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// Answered by a series of events.
    Stream {
        /// Whether another upstream may go on after the last event received.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run can be sent again from its start.
    ///
    /// A stream that may be resumed is idempotent until its first event went out; any other
    /// stream runs at most once.
    ///
    /// ```
    /// use nutmegsail_relay::CallKind;
    /// assert!(CallKind::Idempotent.may_repeat());
    /// assert!(!CallKind::Stream { is_resumable: false }.may_repeat());
    /// ```
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
