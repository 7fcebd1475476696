//! A claimed call while it runs.

use nutmegsail_base::RequestId;
use nutmegsail_idempotency::ClaimOutcome;
use xtra::Address;

use crate::claims_keeper::{ClaimDispatched, ClaimFinished, ClaimsKeeper};

/// A claimed call while it runs.
///
/// If its task ends by a fault, the claim would stay "running" for ever and every repeat would be
/// told "in progress". Dropping it reports the outcome as unknown instead, which never lets the
/// call run again.
pub(crate) struct ClaimedRun {
    request: RequestId,
    claims: Address<ClaimsKeeper>,
    is_ended: bool,
}

impl ClaimedRun {
    /// A call that the claims have just let run.
    pub(crate) fn begin(request: RequestId, claims: Address<ClaimsKeeper>) -> Self {
        Self {
            request,
            claims,
            is_ended: false,
        }
    }

    /// Bytes of it are about to be sent.
    pub(crate) async fn dispatched(&self) {
        let dispatched = ClaimDispatched(self.request.clone());
        let _ = self.claims.send(dispatched).detach().await;
    }

    /// It has ended.
    pub(crate) async fn end(mut self, outcome: ClaimOutcome) {
        self.is_ended = true;
        let finished = self.finished(outcome);
        let _ = self.claims.send(finished).detach().await;
    }

    fn finished(&self, outcome: ClaimOutcome) -> ClaimFinished {
        ClaimFinished {
            request: self.request.clone(),
            outcome,
        }
    }
}

impl Drop for ClaimedRun {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let finished = self.finished(ClaimOutcome::Unknown);
        let claims = self.claims.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { claims.send(finished).detach().await });
        }
    }
}
