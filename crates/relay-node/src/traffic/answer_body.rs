//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use nutmegsail_base::ResultCode;
use nutmegsail_http_pool::{PooledBody, SendError};
use thiserror::Error;
use tokio::time::Sleep;

use super::flight::Flight;
use super::resumable_body::ResumableBody;

/// Why an answer ends early. The caller's connection is then closed, so that the answer does not
/// look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum AnswerCut {
    /// The upstream broke off its answer.
    #[error("the upstream broke off its answer")]
    Upstream,
    /// The request's deadline passed.
    #[error("the request's deadline passed")]
    TimedOut,
}

impl AnswerCut {
    /// The numbered result code.
    pub(crate) fn code(self) -> ResultCode {
        match self {
            Self::Upstream => ResultCode::UpstreamFailed,
            Self::TimedOut => ResultCode::DeadlinePassed,
        }
    }
}

/// A body produced by this node, or an upstream's body as it arrives.
pub(crate) enum AnswerBody {
    /// Produced by this node; `None` once it was sent.
    Own(Option<Bytes>),
    /// Forwarded from an upstream.
    Passed(Box<PassedBody>),
    /// A stream that another upstream may resume.
    Resumable(Box<ResumableBody>),
}

/// An upstream's body and the accounting of its send.
pub(crate) struct PassedBody {
    body: PooledBody,
    flight: Flight,
    /// Fires at the request's deadline.
    cutoff: Pin<Box<Sleep>>,
}

impl PassedBody {
    pub(crate) fn new(body: PooledBody, flight: Flight, cutoff: Pin<Box<Sleep>>) -> Self {
        let mut passed = Self {
            body,
            flight,
            cutoff,
        };
        passed.note_end();
        passed
    }

    /// Ends the accounting with the last byte of a body of known length, as nothing polls
    /// such a body again. Otherwise the answers of plain services would never count, and an
    /// upstream would be paused at its third failure however many answers came between.
    fn note_end(&mut self) {
        if self.body.is_end_stream() {
            self.flight.note_whole();
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.flight.note_progress();
                self.note_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(SendError::Broken | SendError::NotSent | SendError::AtLimit))) => {
                self.flight.note_disconnected();
                self.flight.note_cut(AnswerCut::Upstream);
                Poll::Ready(Some(Err(AnswerCut::Upstream)))
            }
            Poll::Ready(None) => {
                self.flight.note_whole();
                Poll::Ready(None)
            }
            Poll::Pending => match self.cutoff.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    self.flight.note_cut(AnswerCut::TimedOut);
                    Poll::Ready(Some(Err(AnswerCut::TimedOut)))
                }
                Poll::Pending => Poll::Pending,
            },
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
            Self::Passed(passed) => passed.poll(cx),
            Self::Resumable(resumable) => resumable.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(bytes) => bytes.is_none(),
            Self::Passed(passed) => passed.body.is_end_stream(),
            Self::Resumable(resumable) => resumable.is_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Passed(passed) => passed.body.size_hint(),
            Self::Resumable(_) => SizeHint::default(),
        }
    }
}
