//! The states of a request.

use nutmegsail_base::{Incarnation, RequestId, ResultCode, RunState, UpstreamId};
use nutmegsail_upstream::UpstreamError;

use crate::{NotRunProof, PieceCount, PieceFault, Refusal};

/// A request in one state of its life.
///
/// [`Accepted`] → [`Queued`] → [`Dispatched`] → [`Answering`] → [`Ended`]. Each step takes the
/// request and returns it in its next state. A dispatched request that the upstream refused for
/// certain is [`Queued`] again; one whose fate is unknown is [`Uncertain`] and never comes back to
/// a state that can be called "not run".
///
/// ```
/// use nutmegsail_base::Incarnation;
/// use nutmegsail_request::{Outcome, Request};
/// let request = Request::accept("018f3a".into()).queue().dispatch("10.0.0.1:9000".into());
/// let mut request = request.answer(Incarnation(7));
/// request.piece(1)?;
/// let request = request.end(1).expect("whole");
/// assert_eq!(request.outcome(), &Outcome::Whole { pieces: 1 });
/// # Ok::<(), nutmegsail_request::PieceFault>(())
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

/// The request waits for an upstream. Nothing that may have run it has been sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued(());

/// The request has been sent to an upstream.
#[derive(Debug, PartialEq, Eq)]
pub struct Dispatched {
    upstream: UpstreamId,
    may_have_run_before: bool,
}

/// An earlier send may have run the request. Only an idempotent one may be sent again.
#[derive(Debug, PartialEq, Eq)]
pub struct Uncertain(());

/// The upstream answers.
#[derive(Debug, PartialEq, Eq)]
pub struct Answering {
    upstream: UpstreamId,
    incarnation: Incarnation,
    pieces: PieceCount,
}

/// The caller has its final answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Ended {
    outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the whole answer.
    Whole {
        /// How many pieces the answer has in all.
        pieces: u64,
    },
    /// The caller got a refusal in place of the answer or of its rest.
    Refused(Refusal),
}

/// What is left of a request after a send failed.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum AfterFailure {
    /// No send can have run it.
    NotRun(Request<Queued>),
    /// This send or an earlier one may have run it.
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
    /// Takes in a request that nothing has been sent for.
    ///
    /// `id` must be new: two requests with one id would be one run to an engine.
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

    /// Gives the request up before it was queued.
    pub fn not_run(self) -> NotRunProof {
        NotRunProof::new(self.id)
    }

    /// Hands the request over to whoever accepts it next, such as the node behind the front.
    pub fn hand_over(self) -> RequestId {
        self.id
    }
}

impl Request<Queued> {
    /// Records that the request is about to be sent. Call this before the first byte is.
    pub fn dispatch(self, upstream: UpstreamId) -> Request<Dispatched> {
        self.into_state(Dispatched {
            upstream,
            may_have_run_before: false,
        })
    }

    /// Gives the request up while nothing that may have run it has been sent.
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
    /// An upstream's certain "not run" speaks only for its own send. After an earlier send that
    /// may have run, a later one that was refused proves nothing: a caller who was told "not run"
    /// then would book a second time. So the earlier doubt stays with the request.
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
        self.after(error.run_state())
    }

    /// Records what another node, to which the request was forwarded, said of it in a refusal.
    pub fn refused_by_node(self, run_state: RunState) -> AfterFailure {
        self.after(run_state)
    }

    /// Records that the upstream's answer begins.
    pub fn answer(self, incarnation: Incarnation) -> Request<Answering> {
        let upstream = self.state.upstream.clone();
        self.into_state(Answering {
            upstream,
            incarnation,
            pieces: PieceCount::from_start(),
        })
    }

    fn after(self, run_state: RunState) -> AfterFailure {
        if run_state == RunState::NotRun && !self.state.may_have_run_before {
            return AfterFailure::NotRun(self.into_state(Queued(())));
        }
        AfterFailure::MayHaveRun(self.into_state(Uncertain(())))
    }
}

impl Request<Uncertain> {
    /// Records that an idempotent request is about to be sent again.
    pub fn dispatch_again(self, upstream: UpstreamId) -> Request<Dispatched> {
        self.into_state(Dispatched {
            upstream,
            may_have_run_before: true,
        })
    }

    /// Ends the request with "may have run".
    pub fn give_up(self, code: ResultCode, detail: impl Into<String>) -> Request<Ended> {
        let refusal = Refusal::may_have_run(code, detail);
        self.into_state(Ended {
            outcome: Outcome::Refused(refusal),
        })
    }
}

impl Request<Answering> {
    /// Goes on with an answer of which the caller has the pieces up to `after`.
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

    /// The run of the upstream's process that answers.
    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation
    }

    /// The id of the last piece that was taken, or 0.
    pub fn last_id(&self) -> u64 {
        self.state.pieces.last_id()
    }

    /// Takes the piece `id` of the answer.
    ///
    /// # Errors
    /// The id is not the one that is due; the answer must then be cut.
    pub fn piece(&mut self, id: u64) -> Result<(), PieceFault> {
        self.state.pieces.observe(id)
    }

    /// Ends the request with a whole answer, or with a visible cut if the count does not match.
    ///
    /// # Errors
    /// The request, ended with the refusal of the rest of its answer.
    pub fn end(self, counted: u64) -> Result<Request<Ended>, Request<Ended>> {
        match self.state.pieces.end(counted) {
            Ok(()) => Ok(self.into_state(Ended {
                outcome: Outcome::Whole { pieces: counted },
            })),
            Err(fault) => Err(self.cut(fault.code(), fault.to_string())),
        }
    }

    /// Ends the request with an answer that broke off.
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
