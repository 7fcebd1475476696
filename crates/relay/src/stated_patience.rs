//! Which callers have waited before, told by the time that they say they wait.

use std::time::Duration;

/// Requests of the same patience after which it is known well.
const WELL_KNOWN: u32 = 16;

/// The patience that the callers of a route state as a rule.
///
/// A caller that was refused and returns states what is left of its patience, so the difference is how long
/// it has waited. The most frequent value counts, not the largest: one caller with endless patience must
/// not make all others look late.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::StatedPatience;
/// let seconds = Duration::from_secs;
/// let mut patience = StatedPatience::default();
/// assert_eq!(patience.waited(seconds(3)), Duration::ZERO);
/// assert_eq!(patience.waited(seconds(3)), Duration::ZERO);
/// assert_eq!(patience.waited(seconds(2)), seconds(1));
/// assert_eq!(patience.waited(seconds(60)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedPatience {
    usual: Duration,
    votes: u32,
}

impl StatedPatience {
    /// How long a caller has waited before that states `patience`.
    pub fn waited(&mut self, patience: Duration) -> Duration {
        // The majority vote of Boyer and Moore.
        if patience == self.usual {
            self.votes = (self.votes + 1).min(WELL_KNOWN);
        } else if self.votes == 0 {
            (self.usual, self.votes) = (patience, 1);
        } else {
            self.votes -= 1;
        }
        self.usual.saturating_sub(patience)
    }
}
