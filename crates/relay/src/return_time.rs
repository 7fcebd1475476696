//! When callers are asked to return.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// The time over which callers return, as a part of the time that they wait.
const SPREAD_SHARE: f64 = 0.5;

/// The least time over which they return.
const LEAST_SPREAD: Duration = Duration::from_millis(250);

/// Ranks that are told apart.
const RANKS: u8 = 5;

/// When the caller of a request of `rank` is asked to return, if it can be served after `wait` at the earliest.
///
/// Spread, so that those who were refused together don't return together; the most urgent, of rank 0, come first.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::return_after;
/// let wait = Duration::from_secs(3);
/// let urgent = return_after(wait, 0, &mut rand::rng());
/// let routine = return_after(wait, 2, &mut rand::rng());
/// assert!(wait <= urgent && urgent < routine);
/// ```
pub fn return_after(wait: Duration, rank: u8, random: &mut dyn Rng) -> Duration {
    let spread = wait.mul_f64(SPREAD_SHARE).max(LEAST_SPREAD);
    let place = f64::from(rank.min(RANKS - 1)) + random.random::<f64>();
    wait + spread.mul_f64(place / f64::from(RANKS))
}
