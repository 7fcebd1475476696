//! How much streams hold of events that are not complete.

use std::cell::Cell;
use std::rc::Rc;

/// The most that the streams of a thread hold of incomplete events, all together.
const MAX_TOTAL_BYTES: usize = 8 * 1024 * 1024;

/// How much a stream may hold whatever the others hold. Events of engines have some hundred bytes.
const FREE_BYTES: usize = 64 * 1024;

/// The bytes that the streams of a thread hold of incomplete events.
///
/// One upstream that never ends its events could fill the memory through the many streams that it
/// answers, though each of them is limited.
///
/// ```
/// use nutmegsail_relay::HeldEvents;
/// let all = HeldEvents::default();
/// let (mut long, mut usual) = (all.hold(), all.hold());
/// assert!(long.resize(8 * 1024 * 1024));
/// assert!(usual.resize(300), "an event of the usual size always fits");
/// assert!(!long.resize(8 * 1024 * 1024 + 1));
/// drop(long);
/// assert!(usual.resize(1024 * 1024));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeldEvents {
    total_bytes: Rc<Cell<usize>>,
}

/// What one stream holds; released when dropped.
#[derive(Debug)]
pub struct HeldEvent {
    all: HeldEvents,
    bytes: usize,
}

impl HeldEvents {
    /// The share of a stream that holds nothing yet.
    pub fn hold(&self) -> HeldEvent {
        HeldEvent {
            all: self.clone(),
            bytes: 0,
        }
    }
}

impl HeldEvent {
    /// Records that the stream holds `bytes` now. Returns whether it may; otherwise the stream has to
    /// be broken off.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.all.total_bytes.get() - self.bytes;
        self.bytes = bytes;
        self.all.total_bytes.set(others + bytes);
        bytes <= FREE_BYTES || others + bytes <= MAX_TOTAL_BYTES
    }
}

impl Drop for HeldEvent {
    fn drop(&mut self) {
        self.resize(0);
    }
}
