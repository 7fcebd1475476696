//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use nutmegsail_base::ResultCode;
use nutmegsail_intake::AnswerInUse;
use nutmegsail_relay::EventScanner;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::answer_end::Completeness;
use super::received_body::{Received, ReceivedBody};
use super::resumable_body::ResumableBody;

/// Why an answer ends early. The caller's connection is then closed, so that the answer does not
/// look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum AnswerCut {
    /// The upstream broke off its answer.
    #[error("the upstream broke off its answer")]
    Upstream,
    /// The upstream's answer ended with its connection, and the caller's framing cannot leave open
    /// whether it was whole.
    #[error("the upstream's answer may have ended early")]
    EndUnknown,
    /// The request's deadline passed.
    #[error("the request's deadline passed")]
    TimedOut,
}

impl AnswerCut {
    /// The numbered result code.
    pub(crate) fn code(self) -> ResultCode {
        match self {
            Self::Upstream | Self::EndUnknown => ResultCode::UpstreamFailed,
            Self::TimedOut => ResultCode::DeadlinePassed,
        }
    }
}

/// A body produced by this node, or an upstream's body as it arrives.
pub(crate) enum AnswerBody {
    /// Produced by this node; `None` once it was sent.
    Own(Option<Bytes>),
    /// Forwarded from an upstream.
    Forwarded(Box<ForwardedBody>),
    /// A stream that another upstream may resume.
    Resumable(Box<ResumableBody>),
}

/// The body of an upstream or another node, passed on as it arrives.
pub(crate) struct ForwardedBody {
    received: ReceivedBody,
    /// Set for a stream.
    events: Option<EventScanner>,
    /// Fires at the request's deadline.
    deadline_timer: Pin<Box<Sleep>>,
}

impl ForwardedBody {
    pub(super) fn new(
        received: ReceivedBody,
        is_stream: bool,
        deadline_timer: Pin<Box<Sleep>>,
    ) -> Self {
        let mut forwarded = Self {
            received,
            events: is_stream.then(EventScanner::default),
            deadline_timer,
        };
        if forwarded.received.is_end_stream() {
            forwarded.end();
        }
        forwarded
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.received.poll(cx) {
            // Also while there is always more to read, as an upstream may send without end.
            Poll::Ready(Received::Data(_)) if self.deadline_timer.as_mut().poll(cx).is_ready() => {
                self.cut(AnswerCut::TimedOut)
            }
            Poll::Ready(Received::Data(data)) => {
                self.scan(&data);
                // A body of known length is not polled again after its last byte.
                match self.received.is_end_stream() && !self.end() {
                    true => self.cut(AnswerCut::Upstream),
                    false => Poll::Ready(Some(Ok(Frame::data(data)))),
                }
            }
            Poll::Ready(Received::End) => match self.end() {
                true => Poll::Ready(None),
                false => self.cut(AnswerCut::Upstream),
            },
            Poll::Ready(Received::Broken) => self.cut(AnswerCut::Upstream),
            Poll::Pending => match self.deadline_timer.as_mut().poll(cx) {
                Poll::Ready(()) => self.cut(AnswerCut::TimedOut),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn scan(&mut self, data: &[u8]) {
        if let Some(events) = &mut self.events {
            let mut rest = data;
            while let Some((length, _)) = events.next_event(rest) {
                rest = &rest[length..];
            }
        }
    }

    fn is_inside_event(&self) -> bool {
        self.events
            .as_ref()
            .is_some_and(EventScanner::is_inside_event)
    }

    /// Records that all bytes were read; returns whether the caller gets the end of the answer.
    fn end(&mut self) -> bool {
        let is_passed_on = self.received.end(self.is_inside_event()) != Completeness::Broken;
        if is_passed_on {
            self.received.record_complete();
        }
        is_passed_on
    }

    fn cut(&mut self, cut: AnswerCut) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        self.received.record_cut(cut, self.is_inside_event());
        Poll::Ready(Some(Err(cut)))
    }
}

/// The body of an answer, and the connection that it is sent on.
pub(super) struct SentAnswer {
    body: AnswerBody,
    _in_use: AnswerInUse,
}

impl SentAnswer {
    pub(super) fn new(body: AnswerBody, in_use: AnswerInUse) -> Self {
        Self {
            body,
            _in_use: in_use,
        }
    }
}

impl Body for SentAnswer {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl AnswerBody {
    /// When it is cut if it has not ended; none if this node produced it.
    pub(super) fn deadline(&self) -> Option<Instant> {
        match self {
            Self::Own(_) => None,
            Self::Forwarded(forwarded) => Some(forwarded.deadline_timer.deadline()),
            Self::Resumable(resumable) => Some(resumable.deadline()),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match &mut *self {
            Self::Own(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Forwarded(forwarded) => forwarded.poll(cx),
            Self::Resumable(resumable) => resumable.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(bytes) => bytes.is_none(),
            Self::Forwarded(forwarded) => forwarded.received.is_end_stream(),
            Self::Resumable(resumable) => resumable.is_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Forwarded(forwarded) => forwarded.received.size_hint(),
            Self::Resumable(_) => SizeHint::default(),
        }
    }
}
