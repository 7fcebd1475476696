//! Which waiting requests one resource can serve before their deadlines.

/// A request in a [`ShedSchedule`].
#[derive(Clone, Copy, Debug)]
struct Entry {
    index: usize,
    deadline_ms: f64,
    work_ms: f64,
    is_late: bool,
    /// Start in ms from now, when served in the order of the schedule.
    start_ms: f64,
    /// Least slack of this entry and all after it.
    slack_after_ms: f64,
}

impl Entry {
    fn done_by_ms(&self) -> f64 {
        self.deadline_ms + self.work_ms
    }
}

/// Rounding of times to nanoseconds must not make a request late, in ms.
const TOLERANCE_MS: f64 = 1e-3;

/// Requests that one resource can start before their deadlines if it serves them in the order in
/// which they have to be done. That order meets all deadlines whenever any order does; the order of
/// latest starts does not.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShedSchedule {
    entries: Vec<Entry>,
    /// Work that goes before all entries.
    offset_ms: f64,
}

impl ShedSchedule {
    pub(crate) fn after(offset_ms: f64) -> Self {
        let entries = Vec::new();
        Self { entries, offset_ms }
    }

    /// Adds a request if it and all those added before still meet their deadlines. Returns whether
    /// it was added.
    pub(crate) fn add(
        &mut self,
        index: usize,
        deadline_ms: f64,
        work_ms: f64,
        is_late: bool,
    ) -> bool {
        let at = self
            .entries
            .partition_point(|entry| entry.done_by_ms() <= deadline_ms + work_ms);
        let start_ms = match at
            .checked_sub(1)
            .and_then(|before| self.entries.get(before))
        {
            Some(before) => before.start_ms + before.work_ms,
            None => self.offset_ms,
        };
        let delays = self.entries.get(at).map(|after| after.slack_after_ms);
        let delays_others = delays.is_some_and(|slack_ms| slack_ms + TOLERANCE_MS < work_ms);
        if start_ms > deadline_ms + TOLERANCE_MS || delays_others {
            return false;
        }
        let entry = Entry {
            index,
            deadline_ms,
            work_ms,
            is_late,
            start_ms,
            slack_after_ms: f64::INFINITY,
        };
        self.entries.insert(at, entry);
        for after in self.entries.iter_mut().skip(at + 1) {
            after.start_ms += work_ms;
        }
        let mut slack_ms = f64::INFINITY;
        for entry in self.entries.iter_mut().rev() {
            slack_ms = slack_ms.min(entry.deadline_ms - entry.start_ms);
            entry.slack_after_ms = slack_ms;
        }
        true
    }

    /// The request to start next: the first that can be on time, unless a late one would miss its
    /// deadline through it.
    pub(crate) fn next(&self) -> Option<usize> {
        let first = self.entries.first()?;
        let Some(at) = self.entries.iter().position(|entry| !entry.is_late) else {
            return Some(first.index);
        };
        let (passed, on_time) = (&self.entries[..at], &self.entries[at]);
        let mut slacks_ms = passed
            .iter()
            .map(|entry| entry.deadline_ms - entry.start_ms);
        match slacks_ms.all(|slack_ms| slack_ms + TOLERANCE_MS >= on_time.work_ms) {
            true => Some(on_time.index),
            false => Some(first.index),
        }
    }

    /// Work in ms that goes before the request `index`, if it is in the schedule.
    pub(crate) fn work_before_ms(&self, index: usize) -> Option<f64> {
        let at = self.entries.iter().position(|entry| entry.index == index)?;
        let is_late = self.entries[at].is_late;
        let goes_before = |(position, entry): (usize, &Entry)| match (entry.is_late, is_late) {
            (false, true) => Some(entry.work_ms),
            (true, false) => None,
            _ => (position < at).then_some(entry.work_ms),
        };
        let before = self.entries.iter().enumerate().filter_map(goes_before);
        Some(self.offset_ms + before.sum::<f64>())
    }

    /// Whether the request `index` can be on time.
    pub(crate) fn is_on_time(&self, index: usize) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.index == index && !entry.is_late)
    }

    /// Whether a request of the schedule cannot be on time.
    pub(crate) fn has_late(&self) -> bool {
        self.entries.iter().any(|entry| entry.is_late)
    }

    /// When all requests of the schedule are done, in ms from now.
    pub(crate) fn end_ms(&self) -> f64 {
        let works = self.entries.iter().map(|entry| entry.work_ms);
        self.offset_ms + works.sum::<f64>()
    }
}
