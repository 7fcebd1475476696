//! The body of a stream that another upstream may resume.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use nutmegsail_http_pool::PooledBody;
use nutmegsail_relay::EventSplitter;
use tokio::time::{Instant, Sleep};

use super::answer_body::AnswerCut;
use super::flight::Flight;
use super::resume::{Resumed, Resumption};

/// How long an upstream may send nothing in the middle of a stream before another one resumes it.
/// Pauses of a healthy upstream end within 0.3 s, of one short of memory within about a second.
/// Callers give up after 2 to 4 s. An upstream that crashed without closing its connection, or is
/// behind a network partition, never sends anything again.
const SILENCE: Duration = Duration::from_millis(2_000);

type GoingOn = Pin<Box<dyn Future<Output = Option<Resumed>>>>;

enum State {
    Reading(Box<Reading>),
    GoingOn(GoingOn),
    Ended,
}

/// An upstream's body and the accounting of its send.
struct Reading {
    body: PooledBody,
    flight: Flight,
}

/// Forwards the whole events of a stream, from one upstream after another.
pub(crate) struct ResumableBody {
    state: State,
    events: EventSplitter,
    resumption: Option<Resumption>,
    /// Fires at the request's deadline.
    cutoff: Pin<Box<Sleep>>,
    /// Fires when the upstream has sent nothing for too long.
    silence: Pin<Box<Sleep>>,
}

/// The result of one poll of the upstream.
enum Step {
    Events(Vec<u8>),
    Whole,
    Broken,
    Nothing,
}

impl ResumableBody {
    pub(crate) fn new(
        body: PooledBody,
        flight: Flight,
        resumption: Resumption,
        cutoff: Pin<Box<Sleep>>,
    ) -> Self {
        Self {
            state: State::Reading(Box::new(Reading { body, flight })),
            events: EventSplitter::default(),
            resumption: Some(resumption),
            cutoff,
            silence: Box::pin(tokio::time::sleep(SILENCE)),
        }
    }

    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        loop {
            let polled = match &mut self.state {
                State::Reading(_) => self.read(cx),
                State::GoingOn(going_on) => match going_on.as_mut().poll(cx) {
                    Poll::Ready(Some(resumed)) => {
                        self.take(resumed);
                        continue;
                    }
                    Poll::Ready(None) => Poll::Ready(Some(Err(AnswerCut::Upstream))),
                    Poll::Pending => Poll::Pending,
                },
                State::Ended => return Poll::Ready(None),
            };
            match polled {
                Poll::Pending if self.cutoff.as_mut().poll(cx).is_ready() => {
                    return self.cut(AnswerCut::TimedOut);
                }
                Poll::Ready(Some(Err(cut))) => return self.cut(cut),
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
        match self.step(cx) {
            Step::Events(events) => Poll::Ready(Some(Ok(events))),
            Step::Whole => Poll::Ready(None),
            Step::Nothing => Poll::Pending,
            Step::Broken => match self.go_on() {
                true => Poll::Ready(Some(Ok(Vec::new()))),
                false => Poll::Ready(Some(Err(AnswerCut::Upstream))),
            },
        }
    }

    fn step(&mut self, cx: &mut Context<'_>) -> Step {
        let State::Reading(reading) = &mut self.state else {
            return Step::Nothing;
        };
        match Pin::new(&mut reading.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                reading.flight.note_progress();
                self.silence.as_mut().reset(Instant::now() + SILENCE);
                let bytes = frame.into_data().unwrap_or_default();
                // Repeated events mean that the upstream started the stream again from the
                // beginning.
                self.events.push(&bytes).map_or(Step::Broken, Step::Events)
            }
            Poll::Ready(Some(Err(_))) => {
                reading.flight.note_disconnected();
                Step::Broken
            }
            Poll::Ready(None) => Step::Whole,
            Poll::Pending if self.silence.as_mut().poll(cx).is_ready() => Step::Broken,
            Poll::Pending => Step::Nothing,
        }
    }

    /// Starts to resume the stream at another upstream, if that is allowed. Dropping the body
    /// closes the connection to the old upstream, which then stops working on the request.
    fn go_on(&mut self) -> bool {
        let Some(resumption) = self
            .resumption
            .take_if(|resumption| resumption.is_allowed())
        else {
            return false;
        };
        if let State::Reading(reading) = &mut self.state {
            reading.flight.note_broken();
        }
        self.events.drop_partial();
        self.state = State::GoingOn(Box::pin(resumption.go_on(self.events.last_id())));
        true
    }

    fn take(&mut self, resumed: Resumed) {
        self.state = State::Reading(Box::new(Reading {
            body: resumed.body,
            flight: resumed.flight,
        }));
        self.resumption = Some(resumed.resumption);
        self.silence.as_mut().reset(Instant::now() + SILENCE);
    }

    fn end(&mut self) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        if let State::Reading(reading) = &mut self.state {
            reading.flight.note_whole();
        }
        self.state = State::Ended;
        let rest = self.events.take_rest();
        match rest.is_empty() {
            true => Poll::Ready(None),
            false => Poll::Ready(Some(Ok(Frame::data(rest.into())))),
        }
    }

    fn cut(&mut self, cut: AnswerCut) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        if let State::Reading(reading) = &mut self.state {
            reading.flight.note_cut(cut);
        }
        self.state = State::Ended;
        Poll::Ready(Some(Err(cut)))
    }

    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }
}
