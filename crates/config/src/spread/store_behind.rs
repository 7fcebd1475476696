//! What happens when the store holds an older head than is in force.

use std::time::Instant;

use rand::Rng;

use super::{Spread, SpreadAction, SpreadReport, TextSource};
use crate::{Piece, StoredHead};

/// The store holds an older head than this node.
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

    /// An older head in the store never takes effect. The newer one is put back by a swap that holds
    /// only while the store still has the head that was read, so a stale read changes nothing.
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
        let stagger = self.settings.restore_after * self.rank.unwrap_or(0);
        let next_try = match &self.behind {
            Some(behind) => behind.next_try,
            None => now + stagger,
        };
        self.behind = Some(StoreBehind { found, next_try });
        self.put_back(now);
    }

    /// A store that was restored from a copy has a lower revision, so a watch from a higher one shows
    /// nothing, and other keys' writes soon hide that the revision fell. It shows as a store that
    /// stays behind and refuses the operators' next text. So watchers read the head anew at times.
    pub(super) fn read_again(&mut self, now: Instant) {
        let read_again_after = self.settings.read_again_after;
        let is_due = |read_at: Instant| now - read_at >= read_again_after;
        if self.rank.is_some() && self.head_read_at.is_none_or(is_due) {
            self.read_head(now);
        }
    }

    pub(super) fn read_head(&mut self, now: Instant) {
        self.head_read_at = Some(now);
        self.actions.push(SpreadAction::ReadHead);
    }

    pub(super) fn put_back(&mut self, now: Instant) {
        let is_able = self.rank.is_some() && self.is_store_up;
        let (Some(behind), Some(held)) = (&mut self.behind, &self.held) else {
            return;
        };
        if !is_able || now < behind.next_try {
            return;
        }
        behind.next_try = now + self.settings.restore_after;
        let pieces = held.pieces.values().cloned().map(Piece::new);
        self.actions.push(SpreadAction::RestoreHead {
            found: behind.found.clone(),
            head: held.head.clone(),
            pieces: pieces.collect(),
        });
    }
}
