//! What the socket and the service of one connection tell each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// What happens on one connection. A request is in progress from the end of its head to the last
/// byte of its answer. Clones tell of the same connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    begun: AtomicUsize,
    ended: AtomicUsize,
    is_in_head: AtomicBool,
    has_two_framings: AtomicBool,
    ends_answer: AtomicBool,
}

/// A request in progress, until this is dropped.
#[derive(Debug)]
pub(crate) struct InProgress {
    shared: Arc<Shared>,
}

impl Activity {
    pub fn begin(&self) -> InProgress {
        self.shared.begun.fetch_add(1, Ordering::AcqRel);
        let shared = Arc::clone(&self.shared);
        InProgress { shared }
    }

    /// How many requests have begun.
    pub fn begun(&self) -> usize {
        self.shared.begun.load(Ordering::Acquire)
    }

    pub fn has_request(&self) -> bool {
        self.begun() > self.shared.ended.load(Ordering::Acquire)
    }

    /// Tells whether a part of a request's head has come, and its end has not.
    pub fn set_in_head(&self, is_in_head: bool) {
        self.shared.is_in_head.store(is_in_head, Ordering::Release);
    }

    pub fn is_in_head(&self) -> bool {
        self.shared.is_in_head.load(Ordering::Acquire) && !self.has_request()
    }

    /// Tells that the head that has just come has both a length and a transfer encoding.
    pub fn report_two_framings(&self) {
        self.shared.has_two_framings.store(true, Ordering::Release);
    }

    pub fn take_two_framings(&self) -> bool {
        self.shared.has_two_framings.swap(false, Ordering::AcqRel)
    }

    /// Records whether the end of the connection is what ends the answer that now begins.
    pub fn set_ends_answer(&self, ends_answer: bool) {
        self.shared
            .ends_answer
            .store(ends_answer, Ordering::Release);
    }

    pub fn ends_answer(&self) -> bool {
        self.shared.ends_answer.load(Ordering::Acquire)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let ended = self.shared.ended.fetch_add(1, Ordering::AcqRel) + 1;
        let begun = self.shared.begun.load(Ordering::Acquire);
        debug_assert!(ended <= begun, "a request ended twice");
    }
}
