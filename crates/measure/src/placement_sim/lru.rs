//! The baselines: load on each miss, evict what was used longest ago. Loads go first come first
//! served, or urgent and newest first.
//!
//! It sees every engine's true state at once and needs no pins, which no real one could.

use std::time::Instant;

use nutmegsail_base::Class;

use super::engine::{Held, SlotEngine};
use super::store::WeightStore;

#[derive(Debug)]
pub(crate) struct LruDomain {
    wanted: Vec<Wanted>,
    is_newest_first: bool,
}

#[derive(Debug)]
struct Wanted {
    adapter: usize,
    class: Class,
    /// The last step in which a request waited for it.
    step: u64,
}

impl LruDomain {
    pub(crate) fn new(is_newest_first: bool) -> Self {
        Self {
            wanted: Vec::new(),
            is_newest_first,
        }
    }

    pub(crate) fn want(&mut self, adapter: usize, class: Class, step: u64) {
        match self
            .wanted
            .iter_mut()
            .find(|wanted| wanted.adapter == adapter)
        {
            Some(wanted) => {
                wanted.step = step;
                wanted.class = wanted.class.or_more_urgent(class);
            }
            None => self.wanted.push(Wanted {
                adapter,
                class,
                step,
            }),
        }
    }

    fn next(&self) -> Option<usize> {
        if !self.is_newest_first {
            return (!self.wanted.is_empty()).then_some(0);
        }
        let urgent = self.wanted.iter().rposition(|w| w.class == Class::Urgent);
        urgent.or_else(|| self.wanted.len().checked_sub(1))
    }

    pub(crate) fn step(
        &mut self,
        domain: usize,
        step: u64,
        engines: &mut [SlotEngine],
        store: &mut WeightStore,
        now: Instant,
    ) {
        self.wanted.retain(|wanted| wanted.step + 1 >= step);
        let is_loading = |engine: &SlotEngine| engine.held.values().any(|held| !held.is_ready);
        if engines.iter().any(is_loading) {
            return;
        }
        let Some(next) = self.next() else {
            return;
        };
        let adapter = self.wanted[next].adapter;
        if engines
            .iter()
            .any(|engine| engine.held.contains_key(&adapter))
        {
            self.wanted.remove(next);
            return;
        }
        let Some((engine, victim)) = room(engines) else {
            return;
        };
        if store.begin(domain, engine, adapter, now) {
            self.wanted.remove(next);
            let held = &mut engines[engine].held;
            victim.map(|victim| held.remove(&victim));
            held.insert(adapter, Held::default());
        }
    }
}

/// An engine with a free slot, or the idle adapter of all engines that was used longest ago.
fn room(engines: &[SlotEngine]) -> Option<(usize, Option<usize>)> {
    let free = engines
        .iter()
        .position(|engine| engine.held.len() < engine.slots);
    if let Some(engine) = free {
        return Some((engine, None));
    }
    let idle = engines.iter().enumerate().flat_map(|(at, engine)| {
        let idle = engine.held.iter().filter(|(_, held)| held.running == 0);
        idle.map(move |(adapter, held)| (held.used_at, at, *adapter))
    });
    idle.min()
        .map(|(_, engine, adapter)| (engine, Some(adapter)))
}
