//! Instructions from the router to the node.

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class, RequestId, ResultCode, RunState, UpstreamId};

/// An instruction to the node, which carries it out and reports the result as a
/// [`RoutingEvent`](crate::RoutingEvent).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingAction {
    /// Send the request to the upstream once.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// 1 for the first attempt.
        attempt: u32,
        /// The class to pass to the upstream: the request's own class, or urgent for a routine
        /// request in a place reserved by the routine floor.
        class: Class,
    },
    /// Final: answer that the request did not run and will not be run.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason.
        code: ResultCode,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
        /// Always [`RunState::NotRun`].
        state: RunState,
    },
    /// Ask placement to load an adapter.
    WantAdapter {
        /// The upstream that should load it.
        upstream: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the request that needs the adapter.
        class: Class,
    },
    /// Cancel a routine attempt that has not returned a byte yet, to free its place for an urgent
    /// request. The node reports [`crate::Outcome::Cancelled`], and the request is queued again.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Final: answer that no attempt succeeded and that one of them may have run.
    GiveUp {
        /// The request.
        request: RequestId,
        /// The reason.
        code: ResultCode,
        /// Always [`RunState::MayHaveRun`].
        state: RunState,
    },
}
