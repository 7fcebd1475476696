//! Adapters that an engine held a while ago.

use std::collections::VecDeque;

use nutmegsail_base::AdapterName;

use crate::{HeldModel, Holdings, ModelRef};

/// Adapters that are remembered for one engine: some five times what it holds, which is what
/// engines keep in the memory of their host today.
const ENTRIES_LIMIT: usize = 100;

/// Adapters that an engine dropped lately, the oldest first.
///
/// An engine brings an adapter that it dropped back from its own memory in a tenth of the time, and
/// without the weight store. On a loaded day four loads in ten are of adapters that some engine
/// dropped before; brought into another engine they cost a full load each.
///
/// ```
/// use nutmegsail_relay::{HeldAdapter, HeldModel, Holdings, ModelRef, RecentAdapters};
/// let holding = |names: &[&str]| Holdings {
///     models: vec![HeldModel {
///         name: "llama".into(),
///         version: 1,
///         adapters: names.iter().map(|name| HeldAdapter { name: (*name).into(), version: 2 }).collect(),
///     }],
/// };
/// let mut recent = RecentAdapters::default();
/// recent.note_change(&holding(&["a7"]), &holding(&["a8"]));
/// assert_eq!(recent.version_of(&ModelRef::parse("llama/a7")), Some(2));
/// assert_eq!(recent.version_of(&ModelRef::parse("llama/a8")), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentAdapters {
    dropped: VecDeque<Dropped>,
}

#[derive(Clone, Debug)]
struct Dropped {
    adapter: ModelRef,
    version: u64,
}

impl RecentAdapters {
    /// Takes in that the engine held `before`, and holds `after` now.
    pub fn note_change(&mut self, before: &Holdings, after: &Holdings) {
        self.dropped
            .retain(|dropped| after.version_of(&dropped.adapter).is_none());
        for model in &before.models {
            // Weights that were unloaded took what was kept of their adapters with them.
            let Some(now) = after.models.iter().find(|held| held.name == model.name) else {
                self.forget_model(model);
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

    /// The version in which the engine held what `wanted` names.
    pub fn version_of(&self, wanted: &ModelRef) -> Option<u64> {
        let mut dropped = self.dropped.iter();
        dropped
            .find(|dropped| dropped.adapter == *wanted)
            .map(|dropped| dropped.version)
    }

    fn push(&mut self, adapter: ModelRef, version: u64) {
        if self.dropped.len() >= ENTRIES_LIMIT {
            self.dropped.pop_front();
        }
        self.dropped.push_back(Dropped { adapter, version });
    }

    fn forget_model(&mut self, model: &HeldModel) {
        self.dropped
            .retain(|dropped| dropped.adapter.model != model.name);
    }
}
