//! The check that an answer is complete.

use nutmegsail_base::ResultCode;
use thiserror::Error;

/// Checks that the pieces of one answer arrive without gaps, duplicates or reordering.
///
/// ```
/// use nutmegsail_request::PieceCount;
/// let mut pieces = PieceCount::from_start();
/// pieces.observe(1)?;
/// pieces.observe(2)?;
/// assert!(pieces.observe(4).is_err());
/// pieces.end(2)?;
/// # Ok::<(), nutmegsail_request::PieceError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceCount {
    last_id: u64,
}

/// An answer is incomplete, or its pieces are out of sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PieceError {
    /// A piece is missing, duplicated or out of order.
    #[error("received piece {got} but expected piece {expected}")]
    NotContiguous {
        /// The expected id.
        expected: u64,
        /// The received id.
        got: u64,
    },
    /// The count in the end event differs from the number of pieces received.
    #[error("the end event counts {counted} pieces, but the last piece was {last_id}")]
    WrongCount {
        /// The count in the end event.
        counted: u64,
        /// The id of the last piece.
        last_id: u64,
    },
}

impl PieceError {
    /// The result code for the caller.
    pub fn code(self) -> ResultCode {
        ResultCode::AnswerCut
    }
}

impl PieceCount {
    /// Starts at the beginning of an answer. The first piece has the id 1.
    pub fn from_start() -> Self {
        Self::default()
    }

    /// Starts after the piece `last_id`, for an answer that the caller already has up to there.
    pub fn after(last_id: u64) -> Self {
        Self { last_id }
    }

    /// The id of the last accepted piece, or 0 if there is none.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Accepts the piece `id`. After an error the count is unchanged and the answer must be cut
    /// off.
    ///
    /// If an engine restarts, or resumes an answer at the wrong position, text would be missing or
    /// duplicated. The ids reveal this before the piece reaches the caller.
    ///
    /// # Errors
    /// The id is not the next one.
    pub fn observe(&mut self, id: u64) -> Result<(), PieceError> {
        let expected = self.last_id.saturating_add(1);
        if id != expected || id == u64::MAX {
            return Err(PieceError::NotContiguous { expected, got: id });
        }
        let before = self.last_id;
        self.last_id = id;
        assert!(self.last_id == before + 1, "a piece was lost or duplicated");
        Ok(())
    }

    /// Checks the count in the end event.
    ///
    /// # Errors
    /// The count differs from the number of pieces received.
    pub fn end(&self, counted: u64) -> Result<(), PieceError> {
        let last_id = self.last_id;
        if counted != last_id {
            return Err(PieceError::WrongCount { counted, last_id });
        }
        Ok(())
    }
}
