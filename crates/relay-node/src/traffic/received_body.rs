//! The body of an upstream or another node as it arrives.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, SizeHint};
use nutmegsail_http_pool::{Framing, PooledBody};

use super::answer_body::AnswerCut;
use super::answer_end::{BodyEnd, BodySummary, Completeness};
use super::answer_source::AnswerSource;

/// The body of an upstream or another node, and the accounting of its send.
pub(super) struct ReceivedBody {
    body: PooledBody,
    source: AnswerSource,
    bytes: u64,
    end: BodyEnd,
    is_inside_event: bool,
}

/// The result of one poll of a body.
pub(super) enum Received {
    Data(Bytes),
    /// The body was read to its end, as far as its framing says.
    End,
    Broken,
}

impl ReceivedBody {
    pub(super) fn new(body: PooledBody, source: AnswerSource) -> Self {
        Self {
            body,
            source,
            bytes: 0,
            end: BodyEnd::Abandoned,
            is_inside_event: false,
        }
    }

    pub(super) fn framing(&self) -> Framing {
        self.body.framing()
    }

    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Received> {
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                self.source.record_progress();
                let data = frame.into_data().unwrap_or_default();
                self.bytes += data.len() as u64;
                Poll::Ready(Received::Data(data))
            }
            Some(Err(_)) => {
                self.end = BodyEnd::Broken;
                self.source.record_disconnected();
                Poll::Ready(Received::Broken)
            }
            None => Poll::Ready(Received::End),
        }
    }

    /// Called when all bytes were read. Returns what is known of the answer.
    pub(super) fn end(&mut self, is_inside_event: bool) -> Completeness {
        self.end = BodyEnd::of(self.framing());
        self.is_inside_event = is_inside_event;
        let completeness = self.end.completeness(is_inside_event);
        if completeness == Completeness::Broken {
            self.source.record_disconnected();
        }
        completeness
    }

    /// Called when the caller gets the end of the answer.
    pub(super) fn record_complete(&mut self) {
        match self.end.completeness(self.is_inside_event) {
            Completeness::Unknown => self.source.record_closed(),
            Completeness::Whole | Completeness::Broken => self.source.record_complete(),
        }
    }

    /// Called when the answer to the caller ends early.
    pub(super) fn record_cut(&mut self, cut: AnswerCut, is_inside_event: bool) {
        if cut == AnswerCut::TimedOut {
            self.end = BodyEnd::TimedOut;
        }
        self.is_inside_event = is_inside_event;
        self.source.record_cut(cut);
    }

    /// Records that the answer broke off.
    pub(super) fn record_broken(&mut self, is_inside_event: bool) {
        self.is_inside_event = is_inside_event;
        self.source.record_broken();
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ReceivedBody {
    fn drop(&mut self) {
        self.source.record_summary(BodySummary {
            framing: self.framing(),
            end: self.end,
            bytes: self.bytes,
            is_inside_event: self.is_inside_event,
        });
    }
}
