//! A request whose answer has not begun.

use nutmegsail_base::{ResultCode, UpstreamId};
use nutmegsail_request::{AfterFailure, Dispatched, Queued, Refusal, Request, Uncertain};

/// A request whose answer has not begun, by what its sends so far may have done.
pub(crate) enum Pending {
    /// It has not run.
    Clean(Request<Queued>),
    /// An earlier send may have run it.
    Doubtful(Request<Uncertain>),
}

impl Pending {
    /// Records that the request is about to be sent.
    pub(crate) fn dispatch(self, upstream: UpstreamId) -> Request<Dispatched> {
        match self {
            Self::Clean(request) => request.dispatch(upstream),
            Self::Doubtful(request) => request.dispatch_again(upstream),
        }
    }

    /// Gives the request up, with what is true of whether it ran.
    pub(crate) fn refuse(self, code: ResultCode, detail: &str) -> Refusal {
        match self {
            Self::Clean(request) => Refusal::not_run(request.not_run(), code, detail),
            Self::Doubtful(_) => Refusal::may_have_run(code, detail),
        }
    }
}

impl From<AfterFailure> for Pending {
    fn from(failure: AfterFailure) -> Self {
        match failure {
            AfterFailure::NotRun(request) => Self::Clean(request),
            AfterFailure::MayHaveRun(request) => Self::Doubtful(request),
        }
    }
}
