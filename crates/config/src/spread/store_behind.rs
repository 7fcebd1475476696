//! Handles a store that holds an older head than the one in force.

use std::time::Instant;

use rand::Rng;

use super::{Spread, SpreadAction, SpreadReport, TextSource};
use crate::{Piece, StoredHead};

/// The older head that the store holds, and when to try next to restore the newer one.
#[derive(Debug)]
pub(super) struct StoreBehind {
    pub(super) found: Option<StoredHead>,
    pub(super) next_try: Instant,
}

impl Spread {
    pub(super) fn on_store_head(
        &mut self,
        found: Option<StoredHead>,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        self.is_store_up = true;
        let stored = found.as_ref().map(|found| found.head.generation);
        if stored.unwrap_or_default() < self.generation() {
            self.on_store_behind(found, now);
            return;
        }
        if let Some(behind) = self.behind.take() {
            let stored = behind.found.map(|found| found.head.generation);
            let report = SpreadReport::StoreCaughtUp {
                from: stored.unwrap_or_default(),
                to: self.generation(),
            };
            self.actions.push(SpreadAction::Report(report));
        }
        if let Some(found) = found {
            self.on_head(found.head, TextSource::Store, now, rng);
        }
    }

    /// An older head in the store never takes effect. The newer one is restored with a
    /// compare-and-swap conditional on the head that was read, so acting on a stale read changes
    /// nothing.
    fn on_store_behind(&mut self, found: Option<StoredHead>, now: Instant) {
        let Some(held) = &self.held else {
            return;
        };
        if let Some(found) = &found
            && !held.head.may_descend_from(&found.head)
        {
            self.behind = None;
            let (generation, theirs) = (found.head.generation, found.head.digest.clone());
            self.report_divergence(generation, theirs, TextSource::Store);
            return;
        }
        if self.behind.is_none() {
            let report = SpreadReport::StoreBehind {
                stored: found.as_ref().map(|found| found.head.generation),
                in_force: held.head.generation,
            };
            self.actions.push(SpreadAction::Report(report));
        }
        let stagger = self.settings.restore_interval * self.watcher_rank.unwrap_or(0);
        let next_try = match &self.behind {
            Some(behind) => behind.next_try,
            None => now + stagger,
        };
        self.behind = Some(StoreBehind { found, next_try });
        self.restore_head_if_due(now);
    }

    /// Lets watchers read the head at intervals, since a watch can miss that the store was restored
    /// from an older copy: a watch from a higher revision reports nothing, and writes to other keys
    /// soon raise the lowered revision again. Otherwise the store would stay behind and refuse the
    /// operators' next text.
    pub(super) fn reread_head_if_due(&mut self, now: Instant) {
        let read_again_after = self.settings.read_again_after;
        let is_due = |read_at: Instant| now - read_at >= read_again_after;
        if self.watcher_rank.is_some() && self.head_read_at.is_none_or(is_due) {
            self.read_head(now);
        }
    }

    pub(super) fn read_head(&mut self, now: Instant) {
        self.head_read_at = Some(now);
        self.actions.push(SpreadAction::ReadHead);
    }

    /// Writes the newer head back to the store, at most once per `restore_interval`.
    pub(super) fn restore_head_if_due(&mut self, now: Instant) {
        let can_restore = self.watcher_rank.is_some() && self.is_store_up;
        let (Some(behind), Some(held)) = (&mut self.behind, &self.held) else {
            return;
        };
        if !can_restore || now < behind.next_try {
            return;
        }
        behind.next_try = now + self.settings.restore_interval;
        let pieces = held.pieces.values().cloned().map(Piece::new);
        self.actions.push(SpreadAction::RestoreHead {
            found: behind.found.clone(),
            head: held.head.clone(),
            pieces: pieces.collect(),
        });
    }
}
