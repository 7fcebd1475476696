//! The state of a text that is being fetched.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::TextSource;
use crate::{Digest, Head, Piece};

/// A head newer than the one in force, and those of its pieces that have arrived.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) head: Head,
    pub(super) pieces: BTreeMap<Digest, Arc<str>>,
    pub(super) source: TextSource,
    pub(super) started_at: Instant,
    pub(super) requested_at: Instant,
}

impl Fetch {
    pub(super) fn new(head: Head, source: TextSource, now: Instant) -> Self {
        Self {
            head,
            pieces: BTreeMap::new(),
            source,
            started_at: now,
            requested_at: now,
        }
    }

    /// Reuses the pieces that an older text shares with this one.
    pub(super) fn reuse_pieces(&mut self, older: Option<BTreeMap<Digest, Arc<str>>>) {
        for (digest, text) in older.into_iter().flatten() {
            self.add(Piece { digest, text });
        }
    }

    /// Stores a piece if it belongs to the text.
    pub(super) fn add(&mut self, piece: Piece) {
        if self.head.pieces.contains(&piece.digest) {
            self.pieces.insert(piece.digest, piece.text);
        }
    }

    pub(super) fn missing(&self) -> Vec<Digest> {
        let missing = self.head.pieces.iter();
        let missing = missing.filter(|digest| !self.pieces.contains_key(*digest));
        missing.cloned().collect()
    }
}
