//! The body of an upstream or another node as it arrives.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, SizeHint};
use nutmegsail_http_pool::{Framing, PooledBody};
use nutmegsail_relay::EventScanner;

use super::answer_body::AnswerCut;
use super::answer_end::{BodyEnd, BodySummary};
use super::answer_source::AnswerSource;

/// The body of an upstream or another node, and the accounting of its send.
pub(super) struct ReceivedBody {
    body: PooledBody,
    source: AnswerSource,
    /// Set for a stream.
    events: Option<EventScanner>,
    bytes: u64,
    end: BodyEnd,
}

/// The result of one poll of a body.
pub(super) enum Received {
    Data(Bytes),
    Complete,
    Broken,
}

impl ReceivedBody {
    pub(super) fn new(body: PooledBody, source: AnswerSource, is_stream: bool) -> Self {
        let mut received = Self {
            body,
            source,
            events: is_stream.then(EventScanner::default),
            bytes: 0,
            end: BodyEnd::Abandoned,
        };
        received.record_end();
        received
    }

    /// Ends the accounting with the last byte of a body of known length, which is not polled again.
    /// Otherwise the answers of plain services would never count, and an upstream would be paused
    /// at its third failure, however many answers came in between.
    fn record_end(&mut self) {
        if self.body.is_end_stream() {
            self.end = BodyEnd::Delimiter;
            self.source.record_complete();
        }
    }

    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Received> {
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                self.source.record_progress();
                let data = frame.into_data().unwrap_or_default();
                self.scan(&data);
                self.record_end();
                Poll::Ready(Received::Data(data))
            }
            Some(Err(_)) => {
                self.end = BodyEnd::Broken;
                self.source.record_disconnected();
                Poll::Ready(Received::Broken)
            }
            None => {
                self.end = match self.body.framing() {
                    Framing::Close => BodyEnd::Close,
                    Framing::NoBody | Framing::Length | Framing::Chunked => BodyEnd::Delimiter,
                };
                Poll::Ready(Received::Complete)
            }
        }
    }

    fn scan(&mut self, data: &[u8]) {
        self.bytes += data.len() as u64;
        let Some(events) = &mut self.events else {
            return;
        };
        let mut rest = data;
        while let Some((length, _)) = events.next_event(rest) {
            rest = &rest[length..];
        }
    }

    /// Called when the answer is passed on as complete.
    pub(super) fn record_complete(&mut self) {
        self.source.record_complete();
    }

    /// Called when the answer to the caller ends early.
    pub(super) fn record_cut(&mut self, cut: AnswerCut) {
        if cut == AnswerCut::TimedOut {
            self.end = BodyEnd::TimedOut;
        }
        self.source.record_cut(cut);
    }

    /// Records that the answer broke off.
    pub(super) fn record_broken(&mut self) {
        self.source.record_broken();
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn summary(&self) -> BodySummary {
        BodySummary {
            framing: self.body.framing(),
            end: self.end,
            bytes: self.bytes,
            is_inside_event: self
                .events
                .as_ref()
                .is_some_and(EventScanner::is_inside_event),
        }
    }
}

impl Drop for ReceivedBody {
    fn drop(&mut self) {
        let summary = self.summary();
        self.source.record_summary(summary);
    }
}
