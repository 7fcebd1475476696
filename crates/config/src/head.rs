//! The head record: which text is accepted, and who wrote the most recent ones.

use std::sync::Arc;

use derive_more::{Display, From};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{Digest, Generation, OperatorsText, Piece};

/// The key of the head record.
pub const HEAD_KEY: &str = "nutmegsail/text/head";
/// The prefix of the keys of pieces.
pub const PIECE_PREFIX: &str = "nutmegsail/text/piece/";
/// The number of writers kept in the head. A publisher that lost an answer finds its write there
/// unless this many other changes followed, which takes over half an hour at 1,200 changes a day.
pub const RECENT_WRITERS: usize = 32;

/// Identifies a change by its publisher. Retries of the same change use the same id.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
#[from(Arc<str>, &str, String)]
pub struct WriterId(pub Arc<str>);

impl WriterId {
    /// Draws a random 128-bit id, which no other writer has.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let writer = nutmegsail_config::WriterId::random(&mut rng);
    /// assert_eq!(writer.0.len(), 32);
    /// ```
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(format!("{:032x}", rng.random::<u128>()).into())
    }
}

/// An entry of the head's history of accepted changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentWrite {
    /// The generation that the change created.
    pub generation: Generation,
    /// The writer of the change.
    pub writer: WriterId,
}

/// The record stored under [`HEAD_KEY`]. A text is accepted once its head is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The generation, above that of every earlier head.
    pub generation: Generation,
    /// The digest of the whole text.
    pub digest: Digest,
    /// The digests of the text's pieces, in order.
    pub pieces: Vec<Digest>,
    /// The writer of this head.
    pub writer: WriterId,
    /// The last accepted changes, this one included, oldest first.
    pub recent: Vec<RecentWrite>,
}

impl Head {
    /// The head of `text` that follows `before`. Its generation is above that of `before` and above
    /// `floor`.
    pub fn following(
        before: Option<&Self>,
        floor: Generation,
        text: &OperatorsText,
        pieces: &[Piece],
        writer: &WriterId,
    ) -> Self {
        let last = before.map_or(Generation(0), |head| head.generation);
        let generation = Generation(last.max(floor).0 + 1);
        let mut recent = before.map_or_else(Vec::new, |head| head.recent.clone());
        recent.push(RecentWrite {
            generation,
            writer: writer.clone(),
        });
        let surplus = recent.len().saturating_sub(RECENT_WRITERS);
        recent.drain(..surplus);
        Self {
            generation,
            digest: text.digest(),
            pieces: pieces.iter().map(|piece| piece.digest.clone()).collect(),
            writer: writer.clone(),
            recent,
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// The bytes are not a head record.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Encodes the record.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The generation that `writer` created, if it is still in the head's history.
    pub fn generation_of(&self, writer: &WriterId) -> Option<Generation> {
        let found = self.recent.iter().find(|write| write.writer == *writer);
        found.map(|write| write.generation)
    }

    /// Whether the head's history reaches back to `base`, so that it lists every change made after
    /// it.
    pub fn covers_changes_since(&self, base: Option<Generation>) -> bool {
        let is_complete = self.recent.len() < RECENT_WRITERS;
        let oldest = self.recent.first().map(|write| write.generation);
        is_complete || oldest.is_some_and(|oldest| oldest <= base.unwrap_or_default())
    }

    /// Whether this head may descend from `older`: `older` has a lower generation, and no
    /// generation in both histories has two different writers.
    pub fn may_descend_from(&self, older: &Self) -> bool {
        let is_other = |mine: &RecentWrite, theirs: &RecentWrite| {
            mine.generation == theirs.generation && mine.writer != theirs.writer
        };
        let differs = |theirs: &RecentWrite| self.recent.iter().any(|mine| is_other(mine, theirs));
        older.generation < self.generation && !older.recent.iter().any(differs)
    }
}
