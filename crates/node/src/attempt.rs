//! A request's place in the router: admitted, sent on, and ended exactly once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::{Clock, RequestId, UpstreamId};
use nutmegsail_routing::{Arrival, Outcome, RoutingEvent};
use nutmegsail_upstream::Attachment;
use tokio::sync::mpsc;
use xtra::Address;

use crate::dispatcher::{Admit, Dispatcher, Routed, VERDICTS, Verdict};
use crate::measures::{Hops, QueueWait};

/// A request that the router knows. Dropping it tells the router that the caller has gone.
pub(crate) struct Attempt {
    request: RequestId,
    dispatcher: Address<Dispatcher>,
    verdicts: mpsc::Receiver<Verdict>,
    is_ended: bool,
    /// How often the request was sent to each engine.
    sends: HashMap<UpstreamId, u64>,
    hops: Hops,
    wait: Option<QueueWait>,
    was_sent: bool,
}

impl Attempt {
    /// Asks the router for an upstream.
    pub(crate) async fn admit(
        dispatcher: &Address<Dispatcher>,
        arrival: Arrival,
        hops: Hops,
        now: Instant,
    ) -> Self {
        let wait = Some(hops.wait(now));
        let (sender, verdicts) = mpsc::channel(VERDICTS);
        let request = arrival.request.clone();
        let admit = Admit {
            arrival,
            verdicts: sender,
        };
        let _ = dispatcher.send(admit).detach().await;
        Self {
            request,
            dispatcher: dispatcher.clone(),
            verdicts,
            is_ended: false,
            sends: HashMap::new(),
            hops,
            wait,
            was_sent: false,
        }
    }

    /// The router's next word. `None`: the node is going down.
    pub(crate) async fn verdict(&mut self, clock: &dyn Clock) -> Option<Verdict> {
        let verdict = self.verdicts.recv().await;
        self.measure(verdict.as_ref(), clock.now());
        // After its final word the router has forgotten the request.
        if matches!(
            verdict,
            Some(Verdict::Refuse { .. } | Verdict::GiveUp { .. }) | None
        ) {
            self.is_ended = true;
        }
        verdict
    }

    fn measure(&mut self, verdict: Option<&Verdict>, now: Instant) {
        let metrics = &self.hops.measures.metrics;
        match verdict {
            Some(Verdict::Send { .. }) => {
                if let Some(wait) = self.wait.take() {
                    metrics.queue_wait(self.hops.class, wait.waited(now));
                }
                if std::mem::replace(&mut self.was_sent, true) {
                    metrics.retried(&self.hops.service);
                }
            }
            Some(Verdict::Refuse { .. }) if !self.was_sent => {
                metrics.shed(&self.hops.service, self.hops.class);
            }
            _ => {}
        }
    }

    /// Returns when the router cancels the send under way; never otherwise.
    pub(crate) async fn cancelled(&mut self) {
        loop {
            match self.verdicts.recv().await {
                Some(Verdict::Cancel) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Which attachment a send to `engine` gets there, as far as this node knows: an engine counts
    /// on when the request comes again. A cancellation of an earlier send then ends no later one.
    pub(crate) fn next_attachment(&mut self, engine: &UpstreamId) -> Attachment {
        let sends = self.sends.entry(engine.clone()).or_default();
        *sends += 1;
        Attachment(*sends)
    }

    /// Tells the router that the answer began.
    pub(crate) async fn first_byte(&self) {
        let event = RoutingEvent::FirstByte {
            request: self.request.clone(),
        };
        let _ = self.dispatcher.send(Routed(event)).detach().await;
    }

    /// Tells the router that a send brought no answer; it says what comes next.
    pub(crate) async fn failed(&mut self, outcome: Outcome, now: Instant) {
        self.wait = Some(self.hops.wait(now));
        self.tell(outcome).await;
    }

    /// Tells the router that the request is over.
    pub(crate) async fn end(mut self, outcome: Outcome) {
        self.is_ended = true;
        self.tell(outcome).await;
    }

    async fn tell(&self, outcome: Outcome) {
        let event = RoutingEvent::Ended {
            request: self.request.clone(),
            outcome,
        };
        let _ = self.dispatcher.send(Routed(event)).detach().await;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let outcome = Outcome::CallerGone;
        let event = RoutingEvent::Ended {
            request: self.request.clone(),
            outcome,
        };
        let dispatcher = self.dispatcher.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { dispatcher.send(Routed(event)).detach().await });
        }
    }
}

/// When a request that may wait for `wait` from now must have ended.
pub(crate) fn deadline(clock: &Arc<dyn Clock>, wait: std::time::Duration) -> std::time::Instant {
    clock.now() + wait
}
