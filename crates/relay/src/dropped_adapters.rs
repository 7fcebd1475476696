//! Adapters that an engine dropped recently.

use std::collections::VecDeque;

use nutmegsail_base::AdapterName;

use crate::{HeldModel, Holdings, ModelRef};

/// Adapters to track per engine: about five times as many as it holds, which is what engines keep
/// in host memory today.
const MAX_ENTRIES: usize = 100;

/// Adapters that an engine dropped recently, the oldest first.
///
/// An engine restores such an adapter from host memory in a tenth of the time of a full load and
/// without the weight store. On a busy day four loads in ten are of adapters that some engine has
/// dropped; on any other engine each costs a full load.
///
/// ```
/// use nutmegsail_relay::{DroppedAdapters, HeldAdapter, HeldModel, Holdings, ModelRef};
/// let holding = |names: &[&str]| Holdings {
///     models: vec![HeldModel {
///         name: "llama".into(),
///         version: 1,
///         adapters: names.iter().map(|name| HeldAdapter { name: (*name).into(), version: 2 }).collect(),
///     }],
/// };
/// let mut dropped = DroppedAdapters::default();
/// dropped.record_change(&holding(&["a7"]), &holding(&["a8"]));
/// assert_eq!(dropped.version_of(&ModelRef::parse("llama/a7")), Some(2));
/// assert_eq!(dropped.version_of(&ModelRef::parse("llama/a8")), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DroppedAdapters {
    dropped: VecDeque<Dropped>,
}

#[derive(Clone, Debug)]
struct Dropped {
    adapter: ModelRef,
    version: u64,
}

impl DroppedAdapters {
    /// Records the change of the engine's holdings from `before` to `after`.
    pub fn record_change(&mut self, before: &Holdings, after: &Holdings) {
        self.dropped
            .retain(|dropped| after.version_of(&dropped.adapter).is_none());
        for model in &before.models {
            // Unloading a base model also drops the cached copies of its adapters.
            let Some(now) = after.models.iter().find(|held| held.name == model.name) else {
                self.remove_model(model);
                continue;
            };
            let is_gone = |name: &AdapterName| now.adapters.iter().all(|held| held.name != *name);
            for held in model.adapters.iter().filter(|held| is_gone(&held.name)) {
                let adapter = ModelRef {
                    model: model.name.clone(),
                    adapter: Some(held.name.clone()),
                };
                self.push(adapter, held.version);
            }
        }
    }

    /// The version of `wanted` that the engine dropped; `None` if it dropped none recently.
    pub fn version_of(&self, wanted: &ModelRef) -> Option<u64> {
        let mut dropped = self.dropped.iter();
        dropped
            .find(|dropped| dropped.adapter == *wanted)
            .map(|dropped| dropped.version)
    }

    fn push(&mut self, adapter: ModelRef, version: u64) {
        if self.dropped.len() >= MAX_ENTRIES {
            self.dropped.pop_front();
        }
        self.dropped.push_back(Dropped { adapter, version });
    }

    fn remove_model(&mut self, model: &HeldModel) {
        self.dropped
            .retain(|dropped| dropped.adapter.model != model.name);
    }
}
