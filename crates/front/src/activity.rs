//! Whether a connection has a request in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the requests in progress on one connection, from the end of the head to the last byte
/// of the answer. Its clones count the same connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity {
    in_progress: Arc<AtomicUsize>,
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
