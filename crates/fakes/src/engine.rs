//! The stand-in for a model engine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use nutmegsail_base::{AdapterRef, Class, Clock, EngineReport, Incarnation, RequestId, UpstreamId};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer,
    OrderError, UpstreamError,
};
use serde::Deserialize;
use tokio::sync::Notify;

use crate::engine_state::{EngineState, Joined, RunRequest};
use crate::{EngineSettings, EngineSubscription, FakeWeightStore, Knobs, Ledger};

/// How many events an answer has if the body doesn't say.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// How long a caller in memory waits on a silent engine before it gives up.
const GIVES_UP_AFTER: Duration = Duration::from_secs(5);
/// The engine's priorities for the two classes; lower goes first.
const URGENT_PRIORITY: u8 = 0;
const ROUTINE_PRIORITY: u8 = 5;

#[derive(Debug)]
pub(crate) struct EngineShared {
    id: UpstreamId,
    clock: Arc<dyn Clock>,
    state: Mutex<EngineState>,
    wake: Arc<Notify>,
}

impl EngineShared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn leave(&self, request: &RequestId, number: u64, keeps: bool) {
        self.lock().leave(request, number, keeps, self.clock.now());
    }
}

impl Drop for EngineShared {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

/// A model engine that batches continuously in steps. Clones share one state.
///
/// The text of event `N` is `REQUEST/ADAPTER@VERSION/N `.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    shared: Arc<EngineShared>,
}

#[derive(Deserialize)]
struct BodyJson {
    max_tokens: Option<u64>,
}

/// How many events the caller's body asks for.
pub(crate) fn events_asked(body: &[u8]) -> u64 {
    let asked = serde_json::from_slice::<BodyJson>(body).ok();
    let max_tokens = asked.and_then(|body| body.max_tokens);
    max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
}

impl FakeEngine {
    /// An empty engine that moves only by [`FakeEngine::step`], until
    /// [`FakeEngine::start_stepping`].
    pub fn new(
        id: impl Into<UpstreamId>,
        settings: EngineSettings,
        clock: Arc<dyn Clock>,
        store: Arc<FakeWeightStore>,
        seed: u64,
    ) -> Self {
        let shared = EngineShared {
            id: id.into(),
            clock,
            state: Mutex::new(EngineState::new(settings, store, seed)),
            wake: Arc::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The engine's address.
    pub fn id(&self) -> &UpstreamId {
        &self.shared.id
    }

    /// The engine's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().incarnation()
    }

    /// Replaces the failures to show.
    pub fn set_knobs(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
        self.shared.wake.notify_one();
    }

    /// The failures being shown.
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs.clone()
    }

    /// What has run so far.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Requests that run or wait inside the engine now, whatever its report's lag.
    pub fn running(&self) -> usize {
        self.lock().running()
    }

    /// Restarts cold: no adapters, no runs, a new incarnation. Streams break.
    pub fn restart(&self) {
        self.lock().restart(self.shared.clock.now());
    }

    /// Breaks every stream; the runs go on and can be resumed.
    pub fn cut_connections(&self) {
        self.lock().cut_connections();
    }

    /// Puts an adapter into a slot at once, past the weight store.
    pub fn preload(&self, adapter: AdapterRef) {
        self.lock().preload(adapter, self.shared.clock.now());
    }

    /// Takes one whole step: fills the batch, then makes an event for each request in it.
    pub fn step(&self) {
        self.begin_step();
        self.lock().end_step(self.shared.clock.now());
    }

    /// Steps by tokio's time from now on, in one task, as long as a clone of the engine lives.
    pub fn start_stepping(&self) {
        let engine = Arc::downgrade(&self.shared);
        tokio::spawn(step_loop(engine, Arc::clone(&self.shared.wake)));
    }

    fn begin_step(&self) {
        let mut state = self.lock();
        state.settle(self.shared.clock.now(), self.shared.clock.wall_time());
        state.begin_step();
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.shared.lock()
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// When the engine is full, leaving or without the adapter; the request did not run.
    pub(crate) fn start_run(&self, asked: RunRequest) -> Result<EngineSubscription, UpstreamError> {
        let request = asked.request.clone();
        let now = self.shared.clock.now();
        let joined = {
            let mut state = self.lock();
            state.settle(now, self.shared.clock.wall_time());
            state.start(asked, now)?
        };
        self.shared.wake.notify_one();
        Ok(self.subscription(request, joined, 0))
    }

    pub(crate) fn resume_run(
        &self,
        incarnation: Incarnation,
        request: &RequestId,
        after: u64,
    ) -> Result<EngineSubscription, UpstreamError> {
        let now = self.shared.clock.now();
        let joined = {
            let mut state = self.lock();
            state.settle(now, self.shared.clock.wall_time());
            state.resume(request, incarnation, after, now)?
        };
        self.shared.wake.notify_one();
        Ok(self.subscription(request.clone(), joined, after))
    }

    fn subscription(&self, request: RequestId, joined: Joined, sent: u64) -> EngineSubscription {
        EngineSubscription {
            incarnation: joined.incarnation,
            adapter: joined.adapter,
            request,
            run_number: joined.run_number,
            attachment: joined.attachment,
            sent,
            breaks_after: joined.breaks_after,
            cuts: joined.cuts,
            is_over: false,
            has_broken: false,
            progress: joined.progress,
            engine: Arc::clone(&self.shared),
        }
    }

    pub(crate) fn cancel_run(&self, request: &RequestId, attachment: Attachment) -> CancelAnswer {
        let now = self.shared.clock.now();
        self.lock().cancel(request, attachment, now)
    }

    pub(crate) fn read_report(&self) -> EngineReport {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.settle(now, self.shared.clock.wall_time());
        state.report(now)
    }

    pub(crate) fn take_order(&self, order: &LoadOrder) -> Result<OrderAnswer, OrderError> {
        let now = self.shared.clock.now();
        let wall = self.shared.clock.wall_time();
        let answer = {
            let mut state = self.lock();
            state.settle(now, wall);
            if state.late_order(order, now) {
                Err(OrderError::Ambiguous)
            } else {
                let answer = state.order(order, now, wall);
                let is_lost = state.loses_answer();
                if is_lost {
                    Err(OrderError::Ambiguous)
                } else {
                    answer
                }
            }
        };
        self.shared.wake.notify_one();
        answer
    }

    /// Shows the failures that hit a call before it arrives.
    async fn travel(&self, upstream: &UpstreamId) -> Result<(), UpstreamError> {
        let knobs = self.knobs();
        if upstream != self.id() || knobs.outage {
            return Err(UpstreamError::Unreachable);
        }
        if knobs.silent {
            tokio::time::sleep(GIVES_UP_AFTER).await;
            return Err(UpstreamError::Broken);
        }
        if knobs.delay_ms > 0 {
            tokio::time::sleep(knobs.delay()).await;
        }
        Ok(())
    }
}

async fn step_loop(engine: Weak<EngineShared>, wake: Arc<Notify>) {
    let mut last_end = tokio::time::Instant::now();
    while let Some(shared) = engine.upgrade() {
        let this = FakeEngine { shared };
        let knobs = this.knobs();
        this.begin_step();
        let has_work = this.lock().has_work();
        let step = this.lock().settings.step + knobs.delay();
        drop(this);
        if !has_work || knobs.silent {
            wake.notified().await;
            last_end = tokio::time::Instant::now();
            continue;
        }
        // Steps follow each other without drift, but a late one is not made up for.
        let now = tokio::time::Instant::now();
        last_end = (last_end + step).max(now);
        tokio::time::sleep_until(last_end).await;
        let Some(shared) = engine.upgrade() else {
            return;
        };
        shared.lock().end_step(shared.clock.now());
    }
}

pub(crate) fn stream_of(subscription: EngineSubscription) -> EngineStream {
    let (incarnation, attachment) = (subscription.incarnation, subscription.attachment);
    let events = futures_util::stream::unfold(subscription, |mut subscription| async move {
        let event = subscription.next().await?;
        Some((event, subscription))
    });
    EngineStream {
        incarnation,
        attachment,
        events: events.boxed(),
    }
}

#[async_trait]
impl Engine for FakeEngine {
    async fn start(
        &self,
        upstream: &UpstreamId,
        request: EngineRequest,
    ) -> Result<EngineStream, UpstreamError> {
        self.travel(upstream).await?;
        let asked = RunRequest {
            request: request.request,
            adapter: request.adapter.clone(),
            priority: match request.class {
                Class::Urgent => URGENT_PRIORITY,
                Class::Routine => ROUTINE_PRIORITY,
            },
            total: events_asked(&request.body),
            is_resumable: false,
        };
        let subscription = self.start_run(asked)?;
        if subscription.adapter != request.adapter {
            return Err(UpstreamError::WrongAdapter {
                asked: request.adapter,
                answered: subscription.adapter.to_string(),
            });
        }
        Ok(stream_of(subscription))
    }

    async fn resume(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        request: &RequestId,
        after: u64,
    ) -> Result<EngineStream, UpstreamError> {
        self.travel(upstream).await?;
        let subscription = self.resume_run(incarnation, request, after)?;
        Ok(stream_of(subscription))
    }

    async fn cancel(
        &self,
        upstream: &UpstreamId,
        request: &RequestId,
        attachment: Attachment,
    ) -> Result<CancelAnswer, UpstreamError> {
        self.travel(upstream).await?;
        Ok(self.cancel_run(request, attachment))
    }

    async fn report(&self, upstream: &UpstreamId) -> Result<EngineReport, UpstreamError> {
        self.travel(upstream).await?;
        Ok(self.read_report())
    }

    async fn order(
        &self,
        upstream: &UpstreamId,
        order: &LoadOrder,
    ) -> Result<OrderAnswer, OrderError> {
        match self.travel(upstream).await {
            Ok(()) => self.take_order(order),
            Err(UpstreamError::Unreachable) => Err(OrderError::Unreachable),
            Err(_) => Err(OrderError::Ambiguous),
        }
    }
}
