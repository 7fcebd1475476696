//! Numbers for calls to the store and to other nodes.

use crate::ClaimToken;

/// Hands out tokens, each once in an incarnation.
#[derive(Debug, Default)]
pub(crate) struct TokenSource {
    last: u64,
}

impl TokenSource {
    /// A new token.
    pub fn next(&mut self) -> ClaimToken {
        self.last += 1;
        ClaimToken(self.last)
    }
}
