//! Issues tokens for requests to the store and to other nodes.

use crate::ClaimToken;

/// Issues tokens that are unique within an incarnation.
#[derive(Debug, Default)]
pub(crate) struct TokenSource {
    last: u64,
}

impl TokenSource {
    /// Issues a new token.
    pub fn next(&mut self) -> ClaimToken {
        self.last += 1;
        ClaimToken(self.last)
    }
}
