//! Detects that the process was not running for a while.

use std::time::Duration;

/// Shortest stall that is reported. On a busy or slowed machine, ticks are late by some 100 ms.
const MIN_REPORTED: Duration = Duration::from_millis(1_000);

/// Detects stalls from a timer that should fire once per interval, on a clock that also advances
/// while the machine is suspended. A check that comes much later shows that the machine was
/// suspended, or that the process was stopped or got no CPU time.
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
    /// Starts at `now`, with checks expected once per `interval`.
    pub fn new(interval: Duration, now: Duration) -> Self {
        Self {
            interval,
            last: now,
        }
    }

    /// How long the process did not run since the last check, if that is long enough to report.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let passed = now.saturating_sub(self.last);
        self.last = now;
        let stalled = passed.saturating_sub(self.interval);
        (stalled >= MIN_REPORTED).then_some(stalled)
    }
}
