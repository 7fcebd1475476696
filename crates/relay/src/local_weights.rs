//! Copies of base models in an engine's host memory or on its disk.

use std::sync::Arc;

/// Where an engine loads a base model from, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopySource {
    /// The memory of its host.
    Memory,
    /// Its local disk.
    Disk,
    /// The weight store, whose bandwidth all engines share.
    Store,
}

/// Base models that an engine can load without the weight store.
///
/// ```
/// use nutmegsail_relay::{CopySource, LocalWeights};
/// let local_weights = LocalWeights {
///     in_memory: vec!["llama".into()],
///     on_disk: vec!["llama".into(), "phi".into()],
/// };
/// assert_eq!(local_weights.source_of("llama"), CopySource::Memory);
/// assert_eq!(local_weights.source_of("phi"), CopySource::Disk);
/// assert_eq!(local_weights.source_of("mistral"), CopySource::Store);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalWeights {
    /// Models in the memory of its host.
    pub in_memory: Vec<Arc<str>>,
    /// Models on its disk, which outlives the engine's process.
    pub on_disk: Vec<Arc<str>>,
}

impl LocalWeights {
    /// Where `model` would be loaded from.
    pub fn source_of(&self, model: &str) -> CopySource {
        let has = |copies: &[Arc<str>]| copies.iter().any(|copy| &**copy == model);
        if has(&self.in_memory) {
            CopySource::Memory
        } else if has(&self.on_disk) {
            CopySource::Disk
        } else {
            CopySource::Store
        }
    }
}
