//! A pin in use: while it is there, its adapter stays on its engine.

use nutmegsail_base::{AdapterRef, Class, UpstreamId};
use tokio::sync::oneshot;
use xtra::Address;

use crate::loader::Loader;
use crate::loader_message::{ReturnPin, TakePin};
use crate::run_hold::RunHold;

/// A pin held for one request. Dropping it ends the run at the engine, if it may still be going on,
/// and only then gives the pin back.
pub(crate) struct PinHold {
    engine: UpstreamId,
    adapter: AdapterRef,
    loader: Address<Loader>,
    run: Option<RunHold>,
}

impl PinHold {
    /// Takes a pin on `adapter` at `engine`, or `None` if the engine's owner does not grant it.
    pub(crate) async fn take(
        loader: &Address<Loader>,
        engine: &UpstreamId,
        adapter: &AdapterRef,
        class: Class,
    ) -> Option<Self> {
        let (held, granted) = oneshot::channel();
        let take = TakePin {
            engine: engine.clone(),
            adapter: adapter.clone(),
            class,
            loader: loader.clone(),
            held,
        };
        // The pin comes over the channel, not as the message's answer.
        drop(loader.send(take).detach().await.ok()?);
        granted.await.ok()
    }

    /// A pin that the loader has counted as in use.
    pub(crate) fn new(engine: UpstreamId, adapter: AdapterRef, loader: Address<Loader>) -> Self {
        Self {
            engine,
            adapter,
            loader,
            run: None,
        }
    }

    /// Notes that the engine runs a request on this pin.
    pub(crate) fn runs(&mut self, run: RunHold) {
        self.run = Some(run);
    }

    /// The run on this pin, if it may still be going on.
    pub(crate) fn run_mut(&mut self) -> Option<&mut RunHold> {
        self.run.as_mut()
    }

    /// Leaves the run to its engine; what it still runs is in its report.
    pub(crate) fn leave_run(&mut self) {
        if let Some(run) = self.run.take() {
            run.leave();
        }
    }

    /// Ends the run, and gives the pin back once the engine has said so. Dropping the future does
    /// not stop the cancellation.
    pub(crate) async fn end_run(mut self) {
        if let Some(run) = self.run.take() {
            let _ = tokio::spawn(run.end()).await;
        }
    }
}

impl Drop for PinHold {
    fn drop(&mut self) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (engine, adapter) = (self.engine.clone(), self.adapter.clone());
        let (loader, run) = (self.loader.clone(), self.run.take());
        runtime.spawn(async move {
            // A pin given back while the run goes on would let the adapter be evicted under it. The
            // engine frees the run's slot before it answers; if it does not answer, its own report
            // still shows the run, and the owner evicts nothing that runs.
            if let Some(run) = run {
                run.end().await;
            }
            let _ = loader.send(ReturnPin { engine, adapter }).detach().await;
        });
    }
}
