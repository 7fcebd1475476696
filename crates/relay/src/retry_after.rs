//! The time after which a refused caller should return.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// The interval over which returning callers are spread, as a share of the wait.
const SPREAD_SHARE: f64 = 0.5;

/// Lower bound on that interval.
const MIN_SPREAD: Duration = Duration::from_millis(250);

/// Number of priorities that are distinguished. Higher numbers are treated like the last of them.
const PRIORITIES: u8 = 5;

/// Returns when a caller with a request of priority `rank` should return, if it can be served after
/// `wait` at the earliest.
///
/// Callers are spread at random, so that those refused together do not return together. The most
/// urgent, of priority 0, return first.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::jittered_retry_after;
/// let wait = Duration::from_secs(3);
/// let urgent = jittered_retry_after(wait, 0, &mut rand::rng());
/// let routine = jittered_retry_after(wait, 2, &mut rand::rng());
/// assert!(wait <= urgent && urgent < routine);
/// ```
pub fn jittered_retry_after(wait: Duration, rank: u8, random: &mut dyn Rng) -> Duration {
    let spread = wait.mul_f64(SPREAD_SHARE).max(MIN_SPREAD);
    let place = f64::from(rank.min(PRIORITIES - 1)) + random.random::<f64>();
    wait + spread.mul_f64(place / f64::from(PRIORITIES))
}
