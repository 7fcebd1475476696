//! The runtime's own clock.

use std::time::{Instant, SystemTime};

use nutmegsail_base::Clock;

/// Reads tokio's clock, so that a test which pauses tokio's time pauses the stand-ins too.
#[derive(Debug)]
pub struct TokioClock {
    start: tokio::time::Instant,
    wall_start: SystemTime,
}

impl Default for TokioClock {
    fn default() -> Self {
        Self {
            start: tokio::time::Instant::now(),
            wall_start: SystemTime::now(),
        }
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        self.wall_start + self.start.elapsed()
    }
}
