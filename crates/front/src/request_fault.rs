//! Why the front does not take a request.

use nutmegsail_base::ResultCode;
use nutmegsail_request::{Accepted, Refusal, Request};

/// A fault of a request, found before anything was done for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestFault {
    pub code: ResultCode,
    pub detail: String,
}

impl RequestFault {
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// The refusal of the request that has the fault.
    pub fn refuse(self, request: Request<Accepted>) -> Refusal {
        Refusal::not_run(request.not_run(), self.code, self.detail)
    }
}
