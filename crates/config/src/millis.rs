//! Writes durations as whole milliseconds.

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
