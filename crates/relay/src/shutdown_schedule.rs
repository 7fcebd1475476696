//! What a node that shuts down does when.

use std::time::Duration;

/// How long callers may still come: the platform stops sending them after two readiness checks, one
/// a second.
const ROTATION_REMOVAL_TIME: Duration = Duration::from_millis(3_200);

/// How long new requests are accepted, where the grace period is long enough.
const ACCEPT_TIME: Duration = Duration::from_millis(3_000);

/// The part of the grace period in which new requests are accepted at most. Answers to later ones
/// might not end within it.
const ACCEPT_SHARE: f64 = 0.375;

/// The last part of the grace period, left for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The stages of a shutdown, each as the time since it began.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::ShutdownSchedule;
/// let schedule = ShutdownSchedule::within(Duration::from_secs(8));
/// assert_eq!(schedule.accept, Duration::from_secs(3));
/// assert_eq!(schedule.end, Duration::from_millis(7_500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Until then new requests are accepted.
    pub accept: Duration,
    /// Then connections without a request are closed.
    pub close_idle: Duration,
    /// Then the process exits, whatever is in progress.
    pub end: Duration,
}

impl ShutdownSchedule {
    /// The stages of a shutdown that may take `grace`.
    pub fn within(grace: Duration) -> Self {
        Self {
            accept: ACCEPT_TIME.min(grace.mul_f64(ACCEPT_SHARE)),
            close_idle: ROTATION_REMOVAL_TIME.min(grace / 2),
            end: grace.saturating_sub(EXIT_MARGIN),
        }
    }
}
