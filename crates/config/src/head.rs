//! The head record: which text is accepted, and who wrote the last few.

use std::sync::Arc;

use derive_more::{Display, From};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{Digest, Generation, OperatorsText, Piece};

/// The key of the head record.
pub const HEAD_KEY: &str = "nutmegsail/text/head";
/// What the keys of pieces begin with.
pub const PIECE_PREFIX: &str = "nutmegsail/text/piece/";
/// How many writers the head remembers. A publisher that lost an answer finds itself there unless
/// more others than this overtook it: at 1,200 changes a day that takes over half an hour.
pub const RECENT_WRITERS: usize = 32;

/// One attempt to publish one text. A second attempt at the same change bears the same id.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
#[from(Arc<str>, &str, String)]
pub struct WriterId(pub Arc<str>);

impl WriterId {
    /// Draws an id that no other writer bears.
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

/// An accepted change as the head remembers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentWrite {
    /// The generation it made.
    pub generation: Generation,
    /// Who wrote it.
    pub writer: WriterId,
}

/// The record under [`HEAD_KEY`]. A text is accepted once its head is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The generation. It only rises.
    pub generation: Generation,
    /// The digest of the whole text.
    pub digest: Digest,
    /// The digests of the text's pieces, in order.
    pub pieces: Vec<Digest>,
    /// Who wrote this head.
    pub writer: WriterId,
    /// The last accepted changes, this one included, oldest first.
    pub recent: Vec<RecentWrite>,
}

impl Head {
    /// The head that follows `before` with another text. Its generation is above `floor` too.
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

    /// Reads a record.
    ///
    /// # Errors
    /// The bytes are not a head record.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Writes the record.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The generation that `writer` made, if the head still remembers it.
    pub fn generation_of(&self, writer: &WriterId) -> Option<Generation> {
        let found = self.recent.iter().find(|write| write.writer == *writer);
        found.map(|write| write.generation)
    }

    /// Whether the head would still remember a change that followed `base`.
    pub fn remembers_after(&self, base: Option<Generation>) -> bool {
        let is_whole = self.recent.len() < RECENT_WRITERS;
        let oldest = self.recent.first().map(|write| write.generation);
        is_whole || oldest.is_some_and(|oldest| oldest <= base.unwrap_or_default())
    }

    /// Whether `older` may be a head that led to this one: it is older, and no generation that both
    /// remember was written by two writers.
    pub fn may_descend_from(&self, older: &Self) -> bool {
        let is_other = |mine: &RecentWrite, theirs: &RecentWrite| {
            mine.generation == theirs.generation && mine.writer != theirs.writer
        };
        let differs = |theirs: &RecentWrite| self.recent.iter().any(|mine| is_other(mine, theirs));
        older.generation < self.generation && !older.recent.iter().any(differs)
    }
}
