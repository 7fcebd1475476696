//! Time sources behind a trait, so that tests can control time.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of time. Code that only makes decisions takes `now` as an argument instead and never
/// reads a clock.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// The monotonic time, for measuring durations.
    fn now(&self) -> Instant;
    /// The wall-clock time, which can jump and differs between machines.
    fn wall_time(&self) -> SystemTime;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that advances only by [`ManualClock::advance`], for tests and measurements.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_base::{Clock, ManualClock};
///
/// let clock = ManualClock::default();
/// let start = clock.now();
/// clock.advance(Duration::from_millis(250));
/// assert_eq!(clock.now() - start, Duration::from_millis(250));
/// ```
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    wall_start: SystemTime,
    elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        let wall_start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000);
        Self {
            start: Instant::now(),
            wall_start,
            elapsed: Mutex::default(),
        }
    }
}

impl ManualClock {
    /// Advances both the monotonic and the wall-clock time by `by`.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        self.wall_start + self.elapsed()
    }
}
