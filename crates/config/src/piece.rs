//! Splits a text into pieces that are identified by the digests of their contents.
//!
//! The cuts are content-defined: a piece ends after a line with a certain hash, not after a fixed
//! number of bytes. An inserted line therefore changes only the pieces near it; all others keep
//! their digests and are not transferred again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::{Digest, Head, OperatorsText};

/// The minimum size of a piece of a small text, in bytes. The last piece may be smaller.
const MIN_PIECE_BYTES: usize = 4 * 1024;
/// A text has at most one piece more than this, so that one transaction of the platform can write
/// all pieces of a text and remove all pieces of the text before it.
const TARGET_PIECE_COUNT: usize = 12;
/// One in this many lines, on average, may end a piece.
const LINES_PER_CUT: u8 = 16;

/// A piece of a text, with its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The SHA-256 of the piece.
    pub digest: Digest,
    /// The contents.
    pub text: Arc<str>,
}

impl Piece {
    /// Computes the digest of a piece.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        Self {
            digest: Digest::of(&text),
            text,
        }
    }
}

/// Why a text cannot be joined from pieces.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JoinError {
    /// A piece is missing.
    #[error("the piece {0} of the text is missing")]
    Missing(Digest),
    /// The joined text has another digest than the head names.
    #[error("the pieces do not make the text with the digest {0}")]
    WrongDigest(Digest),
}

/// Splits a text into pieces.
///
/// ```
/// use nutmegsail_config::{OperatorsText, split};
/// let lines: String = (0..2_000).map(|n| format!("line {n}\n")).collect();
/// let pieces = split(&OperatorsText::new("a.toml", lines));
/// assert!(pieces.len() > 2 && pieces.len() <= 13);
/// ```
pub fn split(text: &OperatorsText) -> Vec<Piece> {
    let encoded = text.encode();
    let min_bytes = (encoded.len().next_power_of_two() / TARGET_PIECE_COUNT).max(MIN_PIECE_BYTES);
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in encoded.split_inclusive('\n') {
        end += line.len();
        while end - start > 2 * min_bytes {
            let cut = char_boundary(&encoded, start + 2 * min_bytes);
            pieces.push(Piece::new(&encoded[start..cut]));
            start = cut;
        }
        if end - start >= min_bytes && may_end_piece(line) {
            pieces.push(Piece::new(&encoded[start..end]));
            start = end;
        }
    }
    if start < encoded.len() {
        pieces.push(Piece::new(&encoded[start..]));
    }
    debug_assert!(
        pieces.len() <= TARGET_PIECE_COUNT + 1,
        "{} pieces",
        pieces.len()
    );
    pieces
}

/// The last character boundary at or before the byte offset `at`.
fn char_boundary(text: &str, at: usize) -> usize {
    let mut places = (0..=at).rev();
    places.find(|at| text.is_char_boundary(*at)).unwrap_or(0)
}

fn may_end_piece(line: &str) -> bool {
    Sha256::digest(line.as_bytes())[0].is_multiple_of(LINES_PER_CUT)
}

/// Joins the pieces that `head` lists and checks the digest of the text.
///
/// # Errors
/// A piece is missing, or the joined text has another digest.
pub fn join(head: &Head, pieces: &BTreeMap<Digest, Arc<str>>) -> Result<OperatorsText, JoinError> {
    let mut encoded = String::new();
    for digest in &head.pieces {
        let piece = pieces.get(digest);
        encoded.push_str(piece.ok_or_else(|| JoinError::Missing(digest.clone()))?);
    }
    let wrong = || JoinError::WrongDigest(head.digest.clone());
    if Digest::of(&encoded) != head.digest {
        return Err(wrong());
    }
    OperatorsText::decode(&encoded).ok_or_else(wrong)
}
