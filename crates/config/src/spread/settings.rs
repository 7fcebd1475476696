//! Settings of the spread.

use std::time::Duration;

/// Settings of [`super::Spread`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadSettings {
    /// How many nodes of a failure domain watch the store. One would do; the second one covers the
    /// time in which the loss of the first is not yet known.
    pub watchers: usize,
    /// How long one watch of the store's head waits. It bounds what a lost answer to a watch costs: so
    /// long the change is not seen, while each watcher makes one call in that time.
    pub watch_wait: Duration,
    /// How often a watcher reads the head anew, whatever its watch shows.
    pub read_again_after: Duration,
    /// How long a question to a peer or the store stays unanswered before another one is asked.
    pub retry_after: Duration,
    /// How long a text is fetched before it is given up.
    pub give_up_after: Duration,
    /// How long a watcher waits, times its rank, before it puts a newer head back, and between two
    /// tries.
    pub restore_after: Duration,
    /// How many peers hear at once of a text that just took effect, ahead of the next heartbeat.
    pub tell_at_once: usize,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            watchers: 2,
            watch_wait: Duration::from_secs(1),
            read_again_after: Duration::from_secs(3),
            retry_after: Duration::from_millis(200),
            give_up_after: Duration::from_secs(5),
            restore_after: Duration::from_secs(1),
            tell_at_once: 3,
        }
    }
}
