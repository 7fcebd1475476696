//! Serializes and prints durations as whole milliseconds.

use std::time::Duration;

use serde::Serializer;

pub(crate) fn serialize<S: Serializer>(
    duration: &Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(of(*duration))
}

pub(crate) fn of(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Prints a duration as `250 ms`.
pub(crate) struct Millis(pub(crate) Duration);

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ms", of(self.0))
    }
}
