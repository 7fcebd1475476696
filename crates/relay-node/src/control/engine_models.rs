//! The base models of an owned engine.

use std::time::{Duration, Instant};

use nutmegsail_relay::{HostedModel, ModelChange, ModelRef};

use super::engine::{OwnedEngine, PendingLoad};

impl OwnedEngine {
    /// Starts a change of base models; returns false if one is in progress.
    pub(crate) fn begin_change(&self, change: ModelChange) -> bool {
        let mut current = self.model_change.borrow_mut();
        let is_first = current.is_none();
        current.get_or_insert(change);
        is_first
    }

    /// Ends the change of base models.
    pub(crate) fn end_change(&self) {
        self.model_change.take();
    }

    /// Whether a base model is being loaded or unloaded. The engine takes no other orders
    /// meanwhile.
    pub(crate) fn is_changing_model(&self) -> bool {
        let state = self.state.borrow();
        let is_base = |model: &ModelRef| model.adapter.is_none();
        self.model_change.borrow().is_some()
            || state.unloading.iter().any(is_base)
            || state.pending.iter().any(|load| is_base(&load.model))
    }

    /// Records that a base model was ordered from the weight store.
    pub(crate) fn record_weight_store_use(&self) {
        self.weight_store_used_at.set(Some(Instant::now()));
    }

    /// Whether a base model was ordered from the weight store less than `span` ago.
    pub(crate) fn uses_store(&self, span: Duration) -> bool {
        let used = self.weight_store_used_at.get();
        used.is_some_and(|used| used.elapsed() < span)
    }

    /// The base models that are held or being loaded, without those being unloaded.
    ///
    /// A change counts as complete from its start. Otherwise, until the old model is unloaded, all
    /// owners would start the same change at further engines.
    pub(crate) fn hosted_models(&self) -> Vec<HostedModel> {
        let mut hosted = self.held_models();
        if let Some(change) = &*self.model_change.borrow() {
            hosted.retain(|model| !change.unload.contains(&model.name));
            if hosted.iter().all(|model| model.name != change.load) {
                hosted.push(HostedModel {
                    name: change.load.clone(),
                    adapters: 0,
                });
            }
        }
        hosted
    }

    fn held_models(&self) -> Vec<HostedModel> {
        let state = self.state.borrow();
        let pending = state.pending.iter();
        let held = state.holdings.models.iter().map(|held| HostedModel {
            name: held.name.clone(),
            adapters: held.adapters.len()
                + pending
                    .clone()
                    .filter(|load| load.model.model == held.name && load.model.adapter.is_some())
                    .count(),
        });
        let is_new = |load: &&PendingLoad| {
            load.model.adapter.is_none() && !state.holdings.has_base(&load.model)
        };
        let new = pending.clone().filter(is_new).map(|load| HostedModel {
            name: load.model.model.clone(),
            adapters: 0,
        });
        held.chain(new).collect()
    }
}
