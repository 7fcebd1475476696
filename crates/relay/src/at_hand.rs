//! Copies of weights that an engine has near it.

use std::sync::Arc;

/// Where an engine takes a base model from, the quickest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopySource {
    /// The memory of its host.
    Memory,
    /// Its disk.
    Disk,
    /// The weight store, whose rate all engines share.
    Store,
}

/// Base models that an engine can load without the weight store.
///
/// ```
/// use nutmegsail_relay::{AtHand, CopySource};
/// let at_hand = AtHand { in_memory: vec!["llama".into()], on_disk: vec!["llama".into(), "phi".into()] };
/// assert_eq!(at_hand.source_of("llama"), CopySource::Memory);
/// assert_eq!(at_hand.source_of("phi"), CopySource::Disk);
/// assert_eq!(at_hand.source_of("mistral"), CopySource::Store);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AtHand {
    /// In the memory of its host.
    pub in_memory: Vec<Arc<str>>,
    /// On its disk, which outlasts its process.
    pub on_disk: Vec<Arc<str>>,
}

impl AtHand {
    /// Where `model` would come from.
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
