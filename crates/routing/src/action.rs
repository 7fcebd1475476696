//! What the router wants done.

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class, RequestId, ResultCode, RunState, UpstreamId};

/// What the router wants done. The node carries it out and answers with events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingAction {
    /// Send the request to the upstream, once.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// 1 for the first attempt.
        attempt: u32,
        /// The class to give to the upstream: the request's own, or urgent for a routine request
        /// that takes a place kept by the routine floor.
        class: Class,
    },
    /// Final: the request did not run and never will.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// When the caller should come back.
        retry_after: Duration,
        /// Always [`RunState::NotRun`].
        state: RunState,
    },
    /// Ask placement to make an adapter ready.
    WantAdapter {
        /// Where it would serve best.
        upstream: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How urgent the most urgent waiting request is.
        class: Class,
    },
    /// Cancel a routine attempt that gave no byte yet, to make a place for urgent work. The node
    /// reports [`crate::Outcome::Cancelled`], and the request waits again.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Final: no attempt gave an answer, and one of them may have run.
    GiveUp {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// Always [`RunState::MayHaveRun`].
        state: RunState,
    },
}
