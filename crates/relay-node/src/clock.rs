//! A clock that keeps counting while the machine is suspended.

use std::sync::Arc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The time since the machine started, including the time in which it was suspended.
///
/// The monotonic clock stops while a machine is suspended. With it, an owner that resumes after
/// several seconds would still take its lease for valid, and would send an order although the next
/// owner has begun to send orders as well.
pub(crate) fn boot_time() -> Duration {
    // The clock exists on every kernel since 2.6.39. If it fails, the largest time is returned, at
    // which every lease has expired; zero would make every lease look valid.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::MAX / 4, Duration::from)
}

/// Identifies the start of the machine that [`boot_time`] counts from. If the machine does not
/// provide an id, each process uses a random one.
pub(crate) fn boot_id() -> Arc<str> {
    let content = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    match content {
        Ok(id) => id.trim().into(),
        Err(_) => format!("{:x}", rand::random::<u64>()).into(),
    }
}
