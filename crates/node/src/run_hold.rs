//! A run at an engine that this node reads: dropping it ends the run.

use std::sync::Arc;

use nutmegsail_base::{RequestId, UpstreamId};
use nutmegsail_upstream::{Attachment, Engine};

/// A run that may be going on at its engine for one of this node's callers.
///
/// What becomes of the run depends on why its answer stops here:
///
/// - The answer ended: [`RunHold::leave`], there is nothing to end.
/// - The caller has gone, the deadline passed, or the router takes the request back: the run is
///   ended, and its slot is free for others.
/// - The connection to the engine broke: [`RunHold::leave`]. The caller is told of the cut and may
///   resume at once through any node; a cancellation would race with it for nothing. The engine
///   keeps a run without a reader for a while only, so its slot is not lost.
///
/// A node that was frozen may wake to find its caller gone, when another node has already resumed
/// the run for it. The cancellation names this node's attachment, so the engine refuses it then.
pub(crate) struct RunHold {
    run: Option<Run>,
}

struct Run {
    engines: Arc<dyn Engine>,
    engine: UpstreamId,
    request: RequestId,
    attachment: Attachment,
}

impl RunHold {
    /// A run of `request` at `engine`, read as `attachment`.
    pub(crate) fn new(
        engines: Arc<dyn Engine>,
        engine: UpstreamId,
        request: RequestId,
        attachment: Attachment,
    ) -> Self {
        let run = Run {
            engines,
            engine,
            request,
            attachment,
        };
        Self { run: Some(run) }
    }

    /// Notes which attachment the engine named.
    pub(crate) fn attached(&mut self, attachment: Attachment) {
        if let Some(run) = &mut self.run {
            run.attachment = attachment;
        }
    }

    /// Leaves the run to its engine.
    pub(crate) fn leave(mut self) {
        self.run = None;
    }

    /// Ends the run. Once this returns its slot is free, unless the engine cannot be reached.
    pub(crate) async fn end(mut self) {
        if let Some(run) = self.run.take() {
            run.end().await;
        }
    }
}

impl Run {
    /// An engine that does not answer still shows the run in its report, and nothing that runs is
    /// evicted; so a failure needs no second try.
    async fn end(self) {
        let cancelled = self
            .engines
            .cancel(&self.engine, &self.request, self.attachment);
        let _ = cancelled.await;
    }
}

impl Drop for RunHold {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(run.end());
        }
    }
}
