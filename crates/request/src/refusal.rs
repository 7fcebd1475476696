//! The error that a caller gets instead of an answer.

use std::time::Duration;

use nutmegsail_base::{ResultCode, RunState};
use thiserror::Error;

use crate::NotRunProof;

/// The error that a caller gets instead of an answer or of the rest of an answer.
///
/// `run_state` is private, so that it can be "not run" only with a [`NotRunProof`].
///
/// ```compile_fail,E0616
/// # use nutmegsail_base::{ResultCode, RunState};
/// # use nutmegsail_request::Refusal;
/// let mut refusal = Refusal::ran(ResultCode::AnswerCut, "the connection broke");
/// refusal.run_state = RunState::NotRun;
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code} ({run_state}): {detail}")]
#[must_use]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    run_state: RunState,
    /// The time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
    /// A description of what happened to this request, for people.
    pub detail: String,
}

impl Refusal {
    /// Refuses a request that did not run.
    ///
    /// ```
    /// use nutmegsail_base::ResultCode;
    /// use nutmegsail_request::{Refusal, Request};
    /// let proof = Request::accept("018f3a".into()).not_run();
    /// let refusal = Refusal::not_run(proof, ResultCode::UnknownAdapter, "`no-such@1`");
    /// assert_eq!(refusal.to_string(), "NS1005 (not_run): `no-such@1`");
    /// ```
    pub fn not_run(proof: NotRunProof, code: ResultCode, detail: impl Into<String>) -> Self {
        drop(proof);
        Self::with_run_state(RunState::NotRun, code, detail.into())
    }

    /// Refuses a request that was sent and may have run.
    pub fn may_have_run(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::with_run_state(RunState::MayHaveRun, code, detail.into())
    }

    /// Refuses the answer, or the rest of the answer, of a request that ran.
    pub fn ran(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::with_run_state(RunState::Ran, code, detail.into())
    }

    /// Sets the time after which the caller may retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_base::ResultCode;
    /// use nutmegsail_request::Refusal;
    /// let refusal = Refusal::ran(ResultCode::AnswerCut, "the engine restarted")
    ///     .with_retry_after(Duration::from_millis(300));
    /// assert_eq!(refusal.retry_after, Some(Duration::from_millis(300)));
    /// ```
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Whether the request ran, as far as is known.
    pub fn run_state(&self) -> RunState {
        self.run_state
    }

    fn with_run_state(run_state: RunState, code: ResultCode, detail: String) -> Self {
        Self {
            code,
            run_state,
            retry_after: None,
            detail,
        }
    }
}
