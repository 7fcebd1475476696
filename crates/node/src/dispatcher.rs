//! The actor that owns the router: who waits, and where each request goes.

use std::collections::HashMap;
use std::sync::Arc;

use nutmegsail_base::{AdapterRef, Class, Clock, RequestId, ResultCode, ServiceName, UpstreamId};
use nutmegsail_routing::{
    Arrival, Explanation, Outcome, Router, RouterSettings, RoutingAction, RoutingEvent,
};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::loader::Loader;
use crate::loader_message::Wanted;

/// What a waiting request is told. After [`Verdict::Refuse`] or [`Verdict::GiveUp`] nothing follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Send it there, once.
    Send {
        /// Where to.
        upstream: UpstreamId,
        /// The class to give to the engine; see [`RoutingAction::Dispatch`].
        class: Class,
    },
    /// It did not run and never will.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: std::time::Duration,
    },
    /// No attempt gave an answer, and one may have run.
    GiveUp {
        /// Why.
        code: ResultCode,
    },
    /// Cancel the attempt under way, if it gave no byte yet.
    Cancel,
}

/// How many verdicts a request may leave unread. The router sends one at a time.
pub(crate) const VERDICTS: usize = 8;

/// A request asks for an upstream.
pub(crate) struct Admit {
    /// The request.
    pub(crate) arrival: Arrival,
    /// Where its verdicts go.
    pub(crate) verdicts: mpsc::Sender<Verdict>,
}

/// Something that the router is told without an answer.
pub(crate) struct Routed(pub(crate) RoutingEvent);

/// An operator asks why a request would go where it would go.
pub(crate) struct Explain {
    /// The service.
    pub(crate) service: ServiceName,
    /// The adapter, for an engine-served service.
    pub(crate) adapter: Option<AdapterRef>,
    /// The class.
    pub(crate) class: Class,
}

/// Owns the [`Router`].
#[derive(xtra::Actor)]
pub(crate) struct Dispatcher {
    router: Router,
    clock: Arc<dyn Clock>,
    rng: ChaCha8Rng,
    waiting: HashMap<RequestId, mpsc::Sender<Verdict>>,
    loader: Address<Loader>,
    actions: Vec<RoutingAction>,
}

impl Dispatcher {
    /// A dispatcher without a plan: it refuses everything until a text is in force.
    pub(crate) fn new(clock: Arc<dyn Clock>, rng: ChaCha8Rng, loader: Address<Loader>) -> Self {
        Self {
            router: Router::new(RouterSettings::default()),
            clock,
            rng,
            waiting: HashMap::new(),
            loader,
            actions: Vec::new(),
        }
    }

    async fn tell(&mut self, event: RoutingEvent) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(event, now, &mut self.rng, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action).await;
        }
        self.actions = actions;
    }

    async fn carry_out(&mut self, action: RoutingAction) {
        match action {
            RoutingAction::Dispatch {
                request,
                upstream,
                class,
                ..
            } => {
                self.verdict(&request, Verdict::Send { upstream, class });
            }
            RoutingAction::Refuse {
                request,
                code,
                retry_after,
                ..
            } => {
                self.verdict(&request, Verdict::Refuse { code, retry_after });
                self.waiting.remove(&request);
            }
            RoutingAction::GiveUp { request, code, .. } => {
                self.verdict(&request, Verdict::GiveUp { code });
                self.waiting.remove(&request);
            }
            RoutingAction::Cancel { request } => self.verdict(&request, Verdict::Cancel),
            RoutingAction::WantAdapter {
                upstream,
                adapter,
                class,
            } => {
                let wanted = Wanted {
                    engine: upstream,
                    adapter,
                    class,
                };
                let _ = self.loader.send(wanted).detach().await;
            }
        }
    }

    /// A request that no longer listens reports its own end, so a failed send needs nothing more.
    fn verdict(&self, request: &RequestId, verdict: Verdict) {
        if let Some(verdicts) = self.waiting.get(request) {
            let _ = verdicts.try_send(verdict);
        }
    }
}

impl Handler<Admit> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: Admit, _: &mut Context<Self>) {
        let request = message.arrival.request.clone();
        self.waiting.insert(request, message.verdicts);
        self.tell(RoutingEvent::Arrive(message.arrival)).await;
    }
}

impl Handler<Routed> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: Routed, _: &mut Context<Self>) {
        if let RoutingEvent::Ended { request, outcome } = &message.0
            && matches!(outcome, Outcome::Succeeded | Outcome::CallerGone)
        {
            self.waiting.remove(request);
        }
        self.tell(message.0).await;
    }
}

impl Handler<Explain> for Dispatcher {
    type Return = Explanation;

    async fn handle(&mut self, message: Explain, _: &mut Context<Self>) -> Explanation {
        let now = self.clock.now();
        self.router.explain(
            &message.service,
            message.adapter.as_ref(),
            message.class,
            now,
        )
    }
}
