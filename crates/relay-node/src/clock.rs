//! A clock that counts suspension.

use std::sync::Arc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The time since the machine started, with the time in which it was suspended.
///
/// The steady clock stands still while a machine is suspended. An owner that judged its lease by it
/// would wake after seconds, find the lease fresh, and send an order beside the next owner's.
pub(crate) fn boot_time() -> Duration {
    // The clock exists on every kernel since 2.6.39. Without it, zero would make every lease look
    // fresh, so the largest time, at which every lease has ended, stands in.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::MAX / 4, Duration::from)
}

/// Which start of the machine [`boot_time`] counts from; a name of its own for each process if the machine does not tell.
pub(crate) fn boot_id() -> Arc<str> {
    let told = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    match told {
        Ok(told) => told.trim().into(),
        Err(_) => format!("{:x}", rand::random::<u64>()).into(),
    }
}
