//! Notices that the process did not run for a while.

use std::time::Duration;

/// The least stall that is told. Ticks of a loaded or slowed machine come late by some 100 ms.
const LEAST_TOLD: Duration = Duration::from_millis(1_000);

/// Looks at a clock that counts suspension, once in an interval; a look that comes much later shows
/// that the machine was suspended, or the process stopped or starved.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::StallWatch;
/// let ms = Duration::from_millis;
/// let mut watch = StallWatch::new(ms(200), ms(5_000));
/// assert_eq!(watch.check(ms(5_210)), None);
/// assert_eq!(watch.check(ms(12_410)), Some(ms(7_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StallWatch {
    interval: Duration,
    last: Duration,
}

impl StallWatch {
    /// Begins at `now`.
    pub fn new(interval: Duration, now: Duration) -> Self {
        Self {
            interval,
            last: now,
        }
    }

    /// How long the process did not run since the last look, if that is worth telling.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let passed = now.saturating_sub(self.last);
        self.last = now;
        let stalled = passed.saturating_sub(self.interval);
        (stalled >= LEAST_TOLD).then_some(stalled)
    }
}
