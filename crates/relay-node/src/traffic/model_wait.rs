//! Requests for base models that no engine holds.

use std::cell::Cell;
use std::time::{Duration, Instant};

use nutmegsail_relay::ModelRef;

use super::call::Call;
use super::gateway::Gateway;

/// How long a request waits at most for its base model, as a part of the time after which its caller
/// leaves. The rest is for the adapter and the first event.
const MODEL_PATIENCE_SHARE: f64 = 0.75;

/// How often a request that waits for its base model looks for it: owners tell every 100 ms.
const MODEL_LOOK_INTERVAL: Duration = Duration::from_millis(40);

/// Requests of one node that wait for base models. More could not all be answered once one has come.
const MODEL_WAITS_LIMIT: usize = 128;

impl Gateway {
    /// Counts a request for a base model, if its service has several.
    pub(super) fn count_model(&self, call: &Call) {
        let Some(model) = &call.meta.model else {
            return;
        };
        if self.is_configured(call, model, 2) {
            let dispatcher = self.dispatcher.borrow();
            let engine_ms = dispatcher.engine_ms(&call.service, call.meta.prompt_tokens);
            let asked = &self.shared.models_asked;
            asked.count(model.base().digest(), engine_ms as f32);
        }
    }

    /// Whether the service of `call` has the base model of `model`, among `least` of them or more.
    pub(super) fn is_configured(&self, call: &Call, model: &ModelRef, least: usize) -> bool {
        let view = self.shared.view.load();
        let table = view.table.as_ref();
        let service = table.and_then(|table| table.service(&call.service));
        let spec = service.and_then(|service| service.engine.as_ref());
        spec.is_some_and(|spec| spec.models.len() >= least && spec.model(&model.model).is_some())
    }

    pub(super) fn has_base(&self, call: &Call, now: Instant) -> bool {
        let Some(model) = &call.meta.model else {
            return true;
        };
        let dispatcher = self.dispatcher.borrow();
        dispatcher.has_base(&call.service, model, now)
    }

    /// Waits until an engine holds the base model of `call`, which owners see to; for a part of the time
    /// after which its caller leaves.
    ///
    /// Refused at once, a request for a model that few ask for would never be served: its callers come
    /// too seldom to find the engine that the one before had it loaded into.
    pub(super) async fn await_base(&self, call: &Call) -> bool {
        let model = call.meta.model.as_ref();
        let is_configured = model.is_some_and(|model| self.is_configured(call, model, 1));
        if !is_configured || self.model_waits.get() >= MODEL_WAITS_LIMIT {
            return false;
        }
        let patience = call.first_event_patience().mul_f64(MODEL_PATIENCE_SHARE);
        let limit = call.began + patience;
        let _wait = Wait::begin(&self.model_waits);
        while Instant::now() < limit {
            tokio::time::sleep(MODEL_LOOK_INTERVAL).await;
            self.view();
            if self.has_base(call, Instant::now()) {
                return true;
            }
        }
        false
    }
}

/// Counts a request out of those that wait when it is dropped: its caller may go away meanwhile.
pub(super) struct Wait<'a>(&'a Cell<usize>);

impl<'a> Wait<'a> {
    pub(super) fn begin(waits: &'a Cell<usize>) -> Self {
        waits.set(waits.get() + 1);
        Self(waits)
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
