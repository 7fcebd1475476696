//! What the callers of the demonstration ask for. `examples/demo.toml` serves it.

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class};

/// Callers of each kind.
pub(crate) const CALLERS_PER_KIND: u64 = 3;

/// How long a caller goes on with one request.
pub(crate) const PATIENCE: Duration = Duration::from_secs(7);

/// How often each caller begins a booking.
pub(crate) const BOOK_EVERY: Duration = Duration::from_millis(500);

/// The call that an urgent stream names.
pub(crate) const URGENT_CALL: &str = "treatment-summary";

/// The path of a booking confirmation.
pub(crate) const BOOKING_PATH: &str = "/bookings/confirm";

/// The plain service that takes bookings.
pub(crate) const BOOKING_SERVICE: &str = "spa-desk";

const ADAPTERS: u64 = 5;
const OLD_VERSIONS: u64 = 2;
const NEW_VERSION: u32 = 3;

/// The streams of one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamLoad {
    pub(crate) class: Class,
    pub(crate) every: Duration,
    pub(crate) pieces: u64,
}

/// Short urgent streams and long routine ones.
pub(crate) const STREAM_LOADS: [StreamLoad; 2] = [
    StreamLoad {
        class: Class::Urgent,
        every: Duration::from_millis(400),
        pieces: 24,
    },
    StreamLoad {
        class: Class::Routine,
        every: Duration::from_millis(700),
        pieces: 100,
    },
];

/// The adapter of a caller's stream number `number`. The changed text has one more version of the
/// first adapter.
pub(crate) fn adapter(number: u64, is_changed: bool) -> AdapterRef {
    let index = number % ADAPTERS;
    let version = if is_changed && index == 0 {
        NEW_VERSION
    } else {
        u32::try_from(1 + index % OLD_VERSIONS).unwrap_or(1)
    };
    AdapterRef::new(format!("note-{:02}", index + 1), version)
}
