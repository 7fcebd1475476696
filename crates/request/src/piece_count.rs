//! The check that an answer is whole.

use nutmegsail_base::ResultCode;
use thiserror::Error;

/// Counts the pieces of one answer and refuses any that is lost, doubled or out of order.
///
/// ```
/// use nutmegsail_request::PieceCount;
/// let mut pieces = PieceCount::from_start();
/// pieces.observe(1)?;
/// pieces.observe(2)?;
/// assert!(pieces.observe(4).is_err());
/// pieces.end(2)?;
/// # Ok::<(), nutmegsail_request::PieceFault>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceCount {
    last_id: u64,
}

/// How an answer is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PieceFault {
    /// A piece is missing, doubled or out of order.
    #[error("piece {got} came where {expected} was due")]
    NotContiguous {
        /// The id that was due.
        expected: u64,
        /// The id that came.
        got: u64,
    },
    /// The end event counts more or fewer pieces than came.
    #[error("the end counts {counted} pieces, but the last one was {last_id}")]
    WrongCount {
        /// The end event's count.
        counted: u64,
        /// The last piece's id.
        last_id: u64,
    },
}

impl PieceFault {
    /// The numbered result for the caller.
    pub fn code(self) -> ResultCode {
        ResultCode::AnswerCut
    }
}

impl PieceCount {
    /// Counts an answer from its first piece, which has the id 1.
    pub fn from_start() -> Self {
        Self::default()
    }

    /// Counts the rest of an answer of which the caller has the pieces up to `last_id`.
    pub fn after(last_id: u64) -> Self {
        Self { last_id }
    }

    /// The id of the last piece that was taken, or 0.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Takes the piece `id`. On a fault nothing changes, and the answer must end there.
    ///
    /// An engine that restarted, or a resume that went on at the wrong place, shows as text that
    /// is missing or doubled. The ids give it away before the piece reaches the caller.
    ///
    /// # Errors
    /// The id is not the one that is due.
    pub fn observe(&mut self, id: u64) -> Result<(), PieceFault> {
        let expected = self.last_id.saturating_add(1);
        if id != expected || id == u64::MAX {
            return Err(PieceFault::NotContiguous { expected, got: id });
        }
        let before = self.last_id;
        self.last_id = id;
        assert!(self.last_id == before + 1, "a piece was lost or doubled");
        Ok(())
    }

    /// Checks the count of the end event.
    ///
    /// # Errors
    /// Pieces are missing, or there are more than counted.
    pub fn end(&self, counted: u64) -> Result<(), PieceFault> {
        let last_id = self.last_id;
        if counted != last_id {
            return Err(PieceFault::WrongCount { counted, last_id });
        }
        Ok(())
    }
}
