//! Placement alone in simulated time: the real core beside an LRU cache, over one weight store.
//!
//! Batches have room for every request, so what is measured is the wait for adapters. Each failure
//! domain has one node, which serves its callers from its own engines only.

mod domain;
mod engine;
mod lru;
mod run;
mod store;

pub(crate) use run::{PlacementRun, Rival, Shock, simulate};
