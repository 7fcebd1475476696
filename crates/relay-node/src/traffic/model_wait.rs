//! Requests that wait for a base model which no engine holds.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nutmegsail_relay::ModelRef;

use super::call::Call;
use super::gateway::Gateway;

/// The fraction of its caller's wait limit that a request may wait for its base model. The rest is
/// left for loading the adapter and for the first event.
const MODEL_WAIT_FRACTION: f64 = 0.75;

/// How often a waiting request checks for its base model. Owners send updates every 100 ms.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// At most this many requests per node wait for base models; more could not all be answered once
/// the model is loaded.
const MAX_MODEL_WAITERS: usize = 128;

impl Gateway {
    /// Counts a request towards the demand for its base model, if its service has several.
    pub(super) fn count_model_demand(&self, call: &Call) {
        let Some(model) = &call.meta.model else {
            return;
        };
        if self.is_configured(call, model, 2) {
            let dispatcher = self.dispatcher.borrow();
            let engine_ms = dispatcher.engine_time_ms(&call.service, call.meta.prompt_tokens);
            let demand = &self.shared.model_engine_time;
            demand.count(model.base().digest(), engine_ms as f32);
        }
    }

    /// Whether the service of `call` is configured with at least `min_models` base models, that of
    /// `model` among them.
    pub(super) fn is_configured(&self, call: &Call, model: &ModelRef, min_models: usize) -> bool {
        let view = self.shared.view.load();
        let table = view.table.as_ref();
        let service = table.and_then(|table| table.service(&call.service));
        let spec = service.and_then(|service| service.engine.as_ref());
        spec.is_some_and(|spec| {
            spec.models.len() >= min_models && spec.model(&model.model).is_some()
        })
    }

    pub(super) fn has_base(&self, call: &Call, now: Instant) -> bool {
        let Some(model) = &call.meta.model else {
            return true;
        };
        let dispatcher = self.dispatcher.borrow();
        dispatcher.has_base(&call.service, model, now)
    }

    /// Waits until an engine holds the base model of `call`; owners load it because of the demand.
    /// The wait is limited to a fraction of the caller's wait limit.
    ///
    /// Without the wait, a request for a rarely used model would never be served: its callers come
    /// too seldom to find the engine that loaded the model for the one before.
    pub(super) async fn wait_for_base_model(&self, call: &Call) -> bool {
        let model = call.meta.model.as_ref();
        let is_configured = model.is_some_and(|model| self.is_configured(call, model, 1));
        if !is_configured || self.model_waiters.get() >= MAX_MODEL_WAITERS {
            return false;
        }
        let wait_limit = call.first_event_timeout().mul_f64(MODEL_WAIT_FRACTION);
        let limit = call.began + wait_limit;
        let _wait = WaiterCount::begin(&self.model_waiters);
        while Instant::now() < limit {
            tokio::time::sleep(MODEL_POLL_INTERVAL).await;
            self.refresh_view();
            if self.has_base(call, Instant::now()) {
                return true;
            }
        }
        false
    }
}

/// Counts a waiting request until dropped, as its caller may disconnect during the wait.
pub(super) struct WaiterCount<'a>(&'a Cell<usize>);

impl<'a> WaiterCount<'a> {
    pub(super) fn begin(waiters: &'a Cell<usize>) -> Self {
        waiters.set(waiters.get() + 1);
        Self(waiters)
    }
}

impl Drop for WaiterCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
