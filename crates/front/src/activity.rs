//! What the socket and the service of one connection tell each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Counts the requests in progress on one connection, from the end of the head to the last byte
/// of the answer. Its clones count the same connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity {
    in_progress: Arc<AtomicUsize>,
    has_two_framings: Arc<AtomicBool>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress {
    counted: Arc<AtomicUsize>,
}

impl Activity {
    pub fn begin(&self) -> InProgress {
        let counted = Arc::clone(&self.in_progress);
        counted.fetch_add(1, Ordering::AcqRel);
        InProgress { counted }
    }

    /// Tells that the head that has just come has both a length and a transfer encoding.
    pub fn report_two_framings(&self) {
        self.has_two_framings.store(true, Ordering::Release);
    }

    pub fn take_two_framings(&self) -> bool {
        self.has_two_framings.swap(false, Ordering::AcqRel)
    }

    pub fn has_request(&self) -> bool {
        self.in_progress.load(Ordering::Acquire) > 0
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let before = self.counted.fetch_sub(1, Ordering::AcqRel);
        debug_assert!(before > 0, "a request ended twice");
    }
}
