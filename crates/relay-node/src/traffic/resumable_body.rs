//! The body of a stream that another upstream may resume.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use nutmegsail_http_pool::Framing;
use nutmegsail_relay::{EventSplitter, HeldEvent};
use tokio::time::{Instant, Sleep};

use super::answer_body::AnswerCut;
use super::answer_end::Completeness;
use super::received_body::{Received, ReceivedBody};
use super::resume::{Resumed, Resumption};

/// How long an upstream may send nothing in the middle of a stream before another one resumes it.
/// Pauses of a healthy upstream end within 0.3 s, of one short of memory within about a second.
/// Callers give up after 2 to 4 s. An upstream that crashed without closing its connection, or is
/// behind a network partition, never sends anything again.
const MAX_SILENCE: Duration = Duration::from_millis(2_000);

type ResumeFuture = Pin<Box<dyn Future<Output = Option<Resumed>>>>;

enum State {
    Reading(Box<ReceivedBody>),
    Resuming(ResumeFuture),
    Ended,
}

/// Forwards the whole events of a stream, from one upstream after another.
pub(crate) struct ResumableBody {
    state: State,
    events: EventSplitter,
    held: HeldEvent,
    resumption: Option<Resumption>,
    /// Whether the caller has a head that promises an end other than that of the connection.
    is_delimited: bool,
    /// Fires at the request's deadline.
    deadline_timer: Pin<Box<Sleep>>,
    /// Fires when the upstream has sent nothing for too long.
    silence_timer: Pin<Box<Sleep>>,
}

/// The result of one poll of the upstream.
enum PollResult {
    Events(Vec<u8>),
    Complete,
    /// It broke off, or may have, and the caller's framing cannot leave that open.
    Broken(AnswerCut),
    Nothing,
}

impl ResumableBody {
    pub(super) fn new(
        received: ReceivedBody,
        resumption: Resumption,
        deadline_timer: Pin<Box<Sleep>>,
    ) -> Self {
        Self {
            is_delimited: received.framing() != Framing::Close,
            state: State::Reading(Box::new(received)),
            events: EventSplitter::after(resumption.caller_last_id()),
            held: resumption.hold_events(),
            resumption: Some(resumption),
            deadline_timer,
            silence_timer: Box::pin(tokio::time::sleep(MAX_SILENCE)),
        }
    }

    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        loop {
            let polled = match &mut self.state {
                State::Reading(_) => self.read(cx),
                State::Resuming(resuming) => match resuming.as_mut().poll(cx) {
                    Poll::Ready(Some(resumed)) => {
                        self.switch_to(resumed);
                        continue;
                    }
                    Poll::Ready(None) => Poll::Ready(Some(Err(AnswerCut::Upstream))),
                    Poll::Pending => Poll::Pending,
                },
                State::Ended => return Poll::Ready(None),
            };
            match polled {
                Poll::Pending if self.deadline_timer.as_mut().poll(cx).is_ready() => {
                    return self.cut(AnswerCut::TimedOut);
                }
                Poll::Ready(Some(Err(cut))) => return self.cut(cut),
                // Also while there is always more to read, as an upstream may send without end.
                Poll::Ready(Some(Ok(_))) if self.deadline_timer.as_mut().poll(cx).is_ready() => {
                    return self.cut(AnswerCut::TimedOut);
                }
                Poll::Ready(Some(Ok(events))) if events.is_empty() => {}
                Poll::Ready(Some(Ok(events))) => {
                    return Poll::Ready(Some(Ok(Frame::data(events.into()))));
                }
                Poll::Ready(None) => return self.end(),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Reads from the upstream; `Ready` with no bytes if the state changed.
    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Vec<u8>, AnswerCut>>> {
        match self.poll_upstream(cx) {
            PollResult::Events(events) => Poll::Ready(Some(Ok(events))),
            PollResult::Complete => Poll::Ready(None),
            PollResult::Nothing => Poll::Pending,
            PollResult::Broken(cut) => match self.start_resuming(cut) {
                true => Poll::Ready(Some(Ok(Vec::new()))),
                false => Poll::Ready(Some(Err(cut))),
            },
        }
    }

    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> PollResult {
        let State::Reading(received) = &mut self.state else {
            return PollResult::Nothing;
        };
        match received.poll(cx) {
            Poll::Ready(Received::Data(bytes)) => {
                self.silence_timer
                    .as_mut()
                    .reset(Instant::now() + MAX_SILENCE);
                // Repeated events mean that the upstream started the stream again from the
                // beginning.
                let pushed = self.events.push(&bytes);
                let fits = self.held.resize(self.events.held_bytes());
                let may_hold = fits && !self.events.is_too_long();
                match pushed {
                    Ok(events) if may_hold || !events.is_empty() => PollResult::Events(events),
                    _ => PollResult::Broken(AnswerCut::Upstream),
                }
            }
            Poll::Ready(Received::Broken) => PollResult::Broken(AnswerCut::Upstream),
            Poll::Ready(Received::End) => match received.end(self.events.is_inside_event()) {
                Completeness::Whole => PollResult::Complete,
                Completeness::Unknown if !self.is_delimited => PollResult::Complete,
                Completeness::Unknown => PollResult::Broken(AnswerCut::EndUnknown),
                Completeness::Broken => PollResult::Broken(AnswerCut::Upstream),
            },
            Poll::Pending if self.silence_timer.as_mut().poll(cx).is_ready() => {
                PollResult::Broken(AnswerCut::Upstream)
            }
            Poll::Pending => PollResult::Nothing,
        }
    }

    /// Starts to resume the stream at another upstream, if that is allowed. Dropping the body
    /// closes the connection to the old upstream, which then stops working on the request.
    fn start_resuming(&mut self, cut: AnswerCut) -> bool {
        let Some(resumption) = self
            .resumption
            .take_if(|resumption| resumption.has_attempts_left() && self.events.can_resume())
        else {
            return false;
        };
        if let State::Reading(received) = &mut self.state
            && cut == AnswerCut::Upstream
        {
            received.record_broken(self.events.is_inside_event());
        }
        self.events.begin_resumed();
        self.held.resize(0);
        self.state = State::Resuming(Box::pin(resumption.resume_after(self.events.last_id())));
        true
    }

    fn switch_to(&mut self, resumed: Resumed) {
        self.state = State::Reading(Box::new(resumed.received));
        self.resumption = resumed.resumption;
        self.silence_timer
            .as_mut()
            .reset(Instant::now() + MAX_SILENCE);
    }

    fn end(&mut self) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        if let State::Reading(received) = &mut self.state {
            received.record_complete();
        }
        self.state = State::Ended;
        let rest = self.events.take_partial();
        match rest.is_empty() {
            true => Poll::Ready(None),
            false => Poll::Ready(Some(Ok(Frame::data(rest.into())))),
        }
    }

    fn cut(&mut self, cut: AnswerCut) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        if let State::Reading(received) = &mut self.state {
            received.record_cut(cut, self.events.is_inside_event());
        }
        self.state = State::Ended;
        Poll::Ready(Some(Err(cut)))
    }

    pub(super) fn deadline(&self) -> Instant {
        self.deadline_timer.deadline()
    }

    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }
}
