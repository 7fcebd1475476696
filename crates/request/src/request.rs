//! The state machine of a request.

use nutmegsail_base::{Incarnation, RequestId, ResultCode, RunState, UpstreamId};
use nutmegsail_upstream::UpstreamError;

use crate::{NotRunProof, PieceCount, PieceError, Refusal};

/// A request in one of its states.
///
/// [`Accepted`] → [`Queued`] → [`Dispatched`] → [`Answering`] → [`Ended`]. Each transition consumes
/// the request and returns it in the next state. A dispatched request that certainly did not run
/// becomes [`Queued`] again. One that may have run becomes [`Uncertain`] and never returns to a
/// state in which it can be reported as "not run".
///
/// ```
/// use nutmegsail_base::Incarnation;
/// use nutmegsail_request::{Outcome, Request};
/// let request = Request::accept("018f3a".into()).queue().dispatch("10.0.0.1:9000".into());
/// let mut request = request.answer(Incarnation(7));
/// request.piece(1)?;
/// let request = request.end(1).expect("whole");
/// assert_eq!(request.outcome(), &Outcome::Whole { pieces: 1 });
/// # Ok::<(), nutmegsail_request::PieceError>(())
/// ```
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Request<State> {
    id: RequestId,
    state: State,
}

/// The request has been read and checked.
#[derive(Debug, PartialEq, Eq)]
pub struct Accepted(());

/// The request waits for an upstream. No earlier send can have run it.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued(());

/// The request has been sent to an upstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Dispatched {
    upstream: UpstreamId,
    may_have_run_before: bool,
}

/// An earlier send may have run the request. It may be sent again only if it is idempotent.
#[derive(Debug, PartialEq, Eq)]
pub struct Uncertain(());

/// The upstream has begun to answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Answering {
    upstream: UpstreamId,
    incarnation: Incarnation,
    pieces: PieceCount,
}

/// The request has its final outcome.
#[derive(Debug, PartialEq, Eq)]
pub struct Ended {
    outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the complete answer.
    Whole {
        /// The total number of pieces in the answer.
        pieces: u64,
    },
    /// The caller got a refusal instead of the answer or of the rest of it.
    Refused(Refusal),
}

/// The state of a request after a failed send.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum AfterFailure {
    /// No send has run the request.
    NotRun(Request<Queued>),
    /// This send or an earlier one may have run the request.
    MayHaveRun(Request<Uncertain>),
}

impl<State> Request<State> {
    /// The request's id.
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    fn into_state<Next>(self, state: Next) -> Request<Next> {
        Request { id: self.id, state }
    }
}

impl Request<Accepted> {
    /// Accepts a new request that has not been sent anywhere.
    ///
    /// `id` must be unique, because an engine treats requests with the same id as one run.
    pub fn accept(id: RequestId) -> Self {
        Self {
            id,
            state: Accepted(()),
        }
    }

    /// Puts the request into a queue.
    pub fn queue(self) -> Request<Queued> {
        self.into_state(Queued(()))
    }

    /// Abandons the request before it is queued, with the proof that it did not run.
    pub fn not_run(self) -> NotRunProof {
        NotRunProof::new(self.id)
    }

    /// Consumes the request and returns its id, for the component that accepts it next, such as the
    /// node behind the front.
    pub fn hand_over(self) -> RequestId {
        self.id
    }
}

impl Request<Queued> {
    /// Records that the request is about to be sent. Call this before sending the first byte.
    pub fn dispatch(self, upstream: UpstreamId) -> Request<Dispatched> {
        self.into_state(Dispatched {
            upstream,
            may_have_run_before: false,
        })
    }

    /// Abandons the request, with the proof that it did not run.
    pub fn not_run(self) -> NotRunProof {
        NotRunProof::new(self.id)
    }
}

impl Request<Dispatched> {
    /// The upstream that the request was sent to.
    pub fn upstream(&self) -> &UpstreamId {
        &self.state.upstream
    }

    /// Records that the send failed.
    ///
    /// The error shows only whether this send ran the request. If an earlier send may have run it,
    /// the request stays [`Uncertain`] even after a refusal: a caller who was told "not run" would
    /// submit it again, and a booking, for example, could be made twice.
    ///
    /// ```
    /// use nutmegsail_request::{AfterFailure, Request};
    /// use nutmegsail_upstream::UpstreamError;
    /// let sent = Request::accept("018f3a".into()).queue().dispatch("10.0.0.1:9000".into());
    /// let AfterFailure::MayHaveRun(request) = sent.failed(&UpstreamError::Broken) else {
    ///     unreachable!()
    /// };
    /// let again = request.dispatch_again("10.0.0.2:9000".into());
    /// assert!(matches!(again.failed(&UpstreamError::Full), AfterFailure::MayHaveRun(_)));
    /// ```
    pub fn failed(self, error: &UpstreamError) -> AfterFailure {
        self.after_failure(error.run_state())
    }

    /// Records the run state in a refusal by the node that the request was forwarded to.
    pub fn refused_by_node(self, run_state: RunState) -> AfterFailure {
        self.after_failure(run_state)
    }

    /// Records that the upstream's answer has begun.
    pub fn answer(self, incarnation: Incarnation) -> Request<Answering> {
        let upstream = self.state.upstream.clone();
        self.into_state(Answering {
            upstream,
            incarnation,
            pieces: PieceCount::from_start(),
        })
    }

    fn after_failure(self, run_state: RunState) -> AfterFailure {
        if run_state == RunState::NotRun && !self.state.may_have_run_before {
            return AfterFailure::NotRun(self.into_state(Queued(())));
        }
        AfterFailure::MayHaveRun(self.into_state(Uncertain(())))
    }
}

impl Request<Uncertain> {
    /// Records that the request is about to be sent again. The caller of this method must check
    /// that it is idempotent.
    pub fn dispatch_again(self, upstream: UpstreamId) -> Request<Dispatched> {
        self.into_state(Dispatched {
            upstream,
            may_have_run_before: true,
        })
    }

    /// Ends the request with a refusal that says it may have run.
    pub fn give_up(self, code: ResultCode, detail: impl Into<String>) -> Request<Ended> {
        let refusal = Refusal::may_have_run(code, detail);
        self.into_state(Ended {
            outcome: Outcome::Refused(refusal),
        })
    }
}

impl Request<Answering> {
    /// Resumes an answer that the caller already has up to the piece `after`.
    pub fn resume(
        id: RequestId,
        upstream: UpstreamId,
        incarnation: Incarnation,
        after: u64,
    ) -> Self {
        let pieces = PieceCount::after(after);
        Self {
            id,
            state: Answering {
                upstream,
                incarnation,
                pieces,
            },
        }
    }

    /// The upstream that answers.
    pub fn upstream(&self) -> &UpstreamId {
        &self.state.upstream
    }

    /// The incarnation of the upstream that answers.
    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation
    }

    /// The id of the last accepted piece, or 0 if there is none.
    pub fn last_id(&self) -> u64 {
        self.state.pieces.last_id()
    }

    /// Accepts the piece `id` of the answer.
    ///
    /// # Errors
    /// The id is not the next one. The answer must then be cut off.
    pub fn piece(&mut self, id: u64) -> Result<(), PieceError> {
        self.state.pieces.observe(id)
    }

    /// Ends the request with a complete answer, or with a refusal if the count does not match.
    ///
    /// # Errors The count does not match. Returns the request, ended with a refusal of the rest of
    /// its answer.
    pub fn end(self, counted: u64) -> Result<Request<Ended>, Request<Ended>> {
        match self.state.pieces.end(counted) {
            Ok(()) => Ok(self.into_state(Ended {
                outcome: Outcome::Whole { pieces: counted },
            })),
            Err(error) => Err(self.cut(error.code(), error.to_string())),
        }
    }

    /// Ends the request with a refusal of the rest of its answer, which was cut off.
    pub fn cut(self, code: ResultCode, detail: impl Into<String>) -> Request<Ended> {
        let refusal = Refusal::ran(code, detail);
        self.into_state(Ended {
            outcome: Outcome::Refused(refusal),
        })
    }
}

impl Request<Ended> {
    /// How the request ended.
    pub fn outcome(&self) -> &Outcome {
        &self.state.outcome
    }
}
