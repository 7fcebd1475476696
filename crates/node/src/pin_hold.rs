//! A pin in use: while it is there, its adapter stays on its engine.

use std::sync::Arc;

use nutmegsail_base::{AdapterRef, Class, RequestId, UpstreamId};
use nutmegsail_upstream::Engine;
use tokio::sync::oneshot;
use xtra::Address;

use crate::loader::{Loader, ReturnPin, TakePin};

/// A pin held for one request. Dropping it ends the run at the engine, if it may still be going on,
/// and only then gives the pin back.
pub(crate) struct PinHold {
    engine: UpstreamId,
    adapter: AdapterRef,
    loader: Address<Loader>,
    running: Option<Running>,
}

struct Running {
    request: RequestId,
    engines: Arc<dyn Engine>,
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
            held,
        };
        // Whether the pin is held comes over the channel, not as the message's answer.
        drop(loader.send(take).detach().await.ok()?);
        granted.await.ok()?;
        Some(Self {
            engine: engine.clone(),
            adapter: adapter.clone(),
            loader: loader.clone(),
            running: None,
        })
    }

    /// Notes that the engine runs `request` on this pin.
    pub(crate) fn runs(&mut self, request: RequestId, engines: Arc<dyn Engine>) {
        self.running = Some(Running { request, engines });
    }

    /// Notes that the run has ended at the engine.
    pub(crate) fn run_ended(&mut self) {
        self.running = None;
    }
}

impl Drop for PinHold {
    fn drop(&mut self) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (engine, adapter) = (self.engine.clone(), self.adapter.clone());
        let (loader, running) = (self.loader.clone(), self.running.take());
        runtime.spawn(async move {
            // A pin given back while the run goes on would let the adapter be evicted under it. The
            // engine frees the run's slot before it answers; if it does not answer, its own report
            // still shows the run, and the owner evicts nothing that runs.
            if let Some(running) = running {
                let _ = running.engines.cancel(&engine, &running.request).await;
            }
            let _ = loader.send(ReturnPin { engine, adapter }).detach().await;
        });
    }
}
