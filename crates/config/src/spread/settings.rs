//! Settings of the distribution of texts.

use std::time::Duration;

/// Settings of [`super::Spread`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadSettings {
    /// The number of nodes per failure domain that watch the store. One would be enough; a second
    /// one covers the time until the loss of the first is detected.
    pub watchers: usize,
    /// How long one watch call on the store's head waits. If its answer is lost, the change is seen
    /// only after this time; a shorter time means more calls, since each watcher makes one in this
    /// time.
    pub watch_wait: Duration,
    /// The interval at which a watcher reads the head again, independently of its watch.
    pub read_again_after: Duration,
    /// How long a request to a peer or the store may stay unanswered before another one is asked.
    pub retry_after: Duration,
    /// How long a fetch of a text may take before it is abandoned.
    pub fetch_timeout: Duration,
    /// The interval between a watcher's attempts to restore a newer head. Its first attempt comes
    /// after this time multiplied by its rank, so that the watchers take turns.
    pub restore_interval: Duration,
    /// The number of peers that are told at once of a text that just took effect, before the next
    /// heartbeat.
    pub announcement_fanout: usize,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            watchers: 2,
            watch_wait: Duration::from_secs(1),
            read_again_after: Duration::from_secs(3),
            retry_after: Duration::from_millis(200),
            fetch_timeout: Duration::from_secs(5),
            restore_interval: Duration::from_secs(1),
            announcement_fanout: 3,
        }
    }
}
