//! Cuts a text into pieces that are named by their contents.
//!
//! A cut falls after a line whose hash says so, not after a count of bytes. So a line put in moves
//! the cuts near it only, and the other pieces keep their names and need not travel again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::{Digest, Head, OperatorsText};

/// The least size of a piece but the last one, in bytes, for small texts.
const PIECE_BYTES_MIN: usize = 4 * 1024;
/// Texts are cut into at most one piece more than this, so that one transaction of the platform can
/// write all pieces of a text and remove all of the one before.
const PIECES: usize = 12;
/// One line in so many may end a piece.
const LINES_PER_CUT: u8 = 16;

/// A piece of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The SHA-256 of the text.
    pub digest: Digest,
    /// The text.
    pub text: Arc<str>,
}

impl Piece {
    /// Names a piece by its contents.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        Self {
            digest: Digest::of(&text),
            text,
        }
    }
}

/// Why pieces do not make the text that a head names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JoinError {
    /// A piece is not there.
    #[error("the piece {0} of the text is missing")]
    Missing(Digest),
    /// The pieces make another text than the head names.
    #[error("the pieces do not make the text with the digest {0}")]
    WrongDigest(Digest),
}

/// Cuts a text into pieces.
///
/// ```
/// use nutmegsail_config::{OperatorsText, split};
/// let lines: String = (0..2_000).map(|n| format!("line {n}\n")).collect();
/// let pieces = split(&OperatorsText::new("a.toml", lines));
/// assert!(pieces.len() > 2 && pieces.len() <= 13);
/// ```
pub fn split(text: &OperatorsText) -> Vec<Piece> {
    let encoded = text.encode();
    let least = (encoded.len().next_power_of_two() / PIECES).max(PIECE_BYTES_MIN);
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in encoded.split_inclusive('\n') {
        end += line.len();
        while end - start > 2 * least {
            let cut = char_boundary(&encoded, start + 2 * least);
            pieces.push(Piece::new(&encoded[start..cut]));
            start = cut;
        }
        if end - start >= least && may_end_piece(line) {
            pieces.push(Piece::new(&encoded[start..end]));
            start = end;
        }
    }
    if start < encoded.len() {
        pieces.push(Piece::new(&encoded[start..]));
    }
    debug_assert!(pieces.len() <= PIECES + 1, "{} pieces", pieces.len());
    pieces
}

/// The nearest place at or before `at` that does not split a character.
fn char_boundary(text: &str, at: usize) -> usize {
    let mut places = (0..=at).rev();
    places.find(|at| text.is_char_boundary(*at)).unwrap_or(0)
}

fn may_end_piece(line: &str) -> bool {
    Sha256::digest(line.as_bytes())[0].is_multiple_of(LINES_PER_CUT)
}

/// Puts the text of `head` together again and checks its digest.
///
/// # Errors
/// A piece is missing, or the pieces make another text.
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
