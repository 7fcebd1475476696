//! Where an answer comes from, and the accounting of its progress.

use derive_more::From;

use super::answer_body::AnswerCut;
use super::answer_end::BodySummary;
use super::forward::ForwardInFlight;
use super::in_flight::InFlight;

/// The send whose answer is passed on to the caller.
#[derive(From)]
pub(crate) enum AnswerSource {
    /// To an upstream.
    Upstream(InFlight),
    /// To another node.
    Peer(ForwardInFlight),
}

impl AnswerSource {
    /// Called when a part of the answer's body arrives.
    pub(crate) fn record_progress(&mut self) {
        match self {
            Self::Upstream(in_flight) => in_flight.record_progress(),
            Self::Peer(in_flight) => in_flight.record_progress(),
        }
    }

    /// Called when the answer is complete.
    pub(crate) fn record_complete(&mut self) {
        match self {
            Self::Upstream(in_flight) => in_flight.record_complete(),
            Self::Peer(in_flight) => in_flight.record_complete(),
        }
    }

    /// Called when the answer has ended with its connection, so that it may be whole or not.
    pub(crate) fn record_closed(&mut self) {
        match self {
            Self::Upstream(in_flight) => in_flight.record_closed(),
            Self::Peer(in_flight) => in_flight.record_complete(),
        }
    }

    /// Called when the answer's body ends early.
    pub(crate) fn record_cut(&mut self, cut: AnswerCut) {
        match self {
            Self::Upstream(in_flight) => in_flight.record_cut(cut),
            Self::Peer(in_flight) => in_flight.record_cut(cut),
        }
    }

    /// Called when the body is not read any more, with what is known of it.
    pub(crate) fn record_summary(&mut self, body: BodySummary) {
        match self {
            Self::Upstream(in_flight) => in_flight.record_summary(body),
            Self::Peer(in_flight) => in_flight.record_summary(body),
        }
    }

    /// Records that the answer broke off.
    pub(crate) fn record_broken(&mut self) {
        if let Self::Upstream(in_flight) = self {
            in_flight.record_broken();
        }
    }

    /// Records that the connection that the answer came over broke.
    pub(crate) fn record_disconnected(&mut self) {
        if let Self::Upstream(in_flight) = self {
            in_flight.record_disconnected();
        }
    }
}
