//! The proof that a request did not run.

use nutmegsail_base::RequestId;

/// Proof that a request did not run and never will.
///
/// Only [`Request::not_run`](crate::Request::not_run) creates one. It consumes the request, so that
/// a request reported as "not run" cannot be dispatched afterwards.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof {
    request: RequestId,
}

impl NotRunProof {
    pub(crate) fn new(request: RequestId) -> Self {
        Self { request }
    }

    /// The request that did not run.
    pub fn request(&self) -> &RequestId {
        &self.request
    }
}
