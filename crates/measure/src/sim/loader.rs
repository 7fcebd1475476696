//! A fake weight store with one load at full speed, and who waits for it.

use std::collections::VecDeque;

use nutmegsail_base::Class;

use super::engine::FakeEngine;

/// A load that is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Want {
    pub(crate) engine: usize,
    pub(crate) adapter: usize,
    pub(crate) class: Class,
}

/// A load that begins, and what it evicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) engine: usize,
    pub(crate) adapter: usize,
    pub(crate) evicted: Option<usize>,
}

/// The queue of the weight store. Loads for urgent requests go first, unless it is first come.
#[derive(Debug, Default)]
pub(crate) struct Loader {
    wants: VecDeque<Want>,
    is_busy: bool,
    is_first_come: bool,
    pub(crate) loads: u64,
}

impl Loader {
    pub(crate) fn new(is_first_come: bool) -> Self {
        Self {
            is_first_come,
            ..Self::default()
        }
    }

    pub(crate) fn want(&mut self, want: Want) {
        let same = |w: &&mut Want| w.engine == want.engine && w.adapter == want.adapter;
        match self.wants.iter_mut().find(same) {
            Some(known) => known.class = known.class.or_more_urgent(want.class),
            None => self.wants.push_back(want),
        }
    }

    /// Whether `adapter` is already asked for on one of these engines.
    pub(crate) fn is_wanted(&self, adapter: usize, engines: std::ops::Range<usize>) -> bool {
        let mut wants = self.wants.iter();
        wants.any(|want| want.adapter == adapter && engines.contains(&want.engine))
    }

    pub(crate) fn finished(&mut self) {
        self.is_busy = false;
    }

    /// The next load that has a slot. Its engine's slot is taken at once.
    pub(crate) fn begin(&mut self, engines: &[FakeEngine]) -> Option<Load> {
        if self.is_busy {
            return None;
        }
        self.wants
            .retain(|want| !engines[want.engine].holds(want.adapter));
        let has_room = |want: &Want| engines[want.engine].has_room();
        let urgent = |want: &Want| want.class == Class::Urgent && has_room(want);
        let first_urgent = self.wants.iter().position(urgent);
        let first_urgent = first_urgent.filter(|_| !self.is_first_come);
        let at = first_urgent.or_else(|| self.wants.iter().position(has_room))?;
        let want = self.wants.remove(at)?;
        let engine = &engines[want.engine];
        let is_full = engine.slots.len() >= engine.adapter_slots;
        self.is_busy = true;
        self.loads += 1;
        Some(Load {
            engine: want.engine,
            adapter: want.adapter,
            evicted: if is_full { engine.evictable() } else { None },
        })
    }
}
