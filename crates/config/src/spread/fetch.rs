//! A text that is being fetched.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::TextSource;
use crate::{Digest, Head, Piece};

/// A head that is newer than the one in force, and its pieces as far as they are here.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) head: Head,
    pub(super) pieces: BTreeMap<Digest, Arc<str>>,
    pub(super) source: TextSource,
    pub(super) begun_at: Instant,
    pub(super) asked_at: Instant,
}

impl Fetch {
    pub(super) fn new(head: Head, source: TextSource, now: Instant) -> Self {
        Self {
            head,
            pieces: BTreeMap::new(),
            source,
            begun_at: now,
            asked_at: now,
        }
    }

    /// Takes the pieces that an older text shares with this one.
    pub(super) fn take_over(&mut self, older: Option<BTreeMap<Digest, Arc<str>>>) {
        for (digest, text) in older.into_iter().flatten() {
            self.add(Piece { digest, text });
        }
    }

    /// Keeps a piece if the text has it.
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
