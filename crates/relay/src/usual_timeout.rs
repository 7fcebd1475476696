//! Infers how long a returning caller has waited from the timeout that it states.

use std::time::Duration;

/// Upper bound on the votes for the usual timeout, reached after as many requests that state it.
const MAX_VOTES: u32 = 16;

/// The timeout that callers of a route usually state.
///
/// A caller that was refused and returns states the time it has left, so the difference to the
/// usual timeout is how long it has waited. The usual timeout is the most frequent one, not the
/// largest: one caller with an unlimited timeout must not make all others look late.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::UsualTimeout;
/// let seconds = Duration::from_secs;
/// let mut usual = UsualTimeout::default();
/// assert_eq!(usual.waited(seconds(3)), Duration::ZERO);
/// assert_eq!(usual.waited(seconds(3)), Duration::ZERO);
/// assert_eq!(usual.waited(seconds(2)), seconds(1));
/// assert_eq!(usual.waited(seconds(60)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualTimeout {
    usual: Duration,
    votes: u32,
}

impl UsualTimeout {
    /// Returns how long a caller that states `timeout` has waited so far.
    pub fn waited(&mut self, timeout: Duration) -> Duration {
        // Boyer-Moore majority vote.
        if timeout == self.usual {
            self.votes = (self.votes + 1).min(MAX_VOTES);
        } else if self.votes == 0 {
            (self.usual, self.votes) = (timeout, 1);
        } else {
            self.votes -= 1;
        }
        self.usual.saturating_sub(timeout)
    }
}
