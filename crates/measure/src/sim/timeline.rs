//! Events in order of simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use nutmegsail_base::EngineReport;

/// What happens next.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// The request of this index arrives.
    Arrive(usize),
    /// An engine's step ends.
    StepEnd(usize),
    /// An attempt fails at an engine.
    Fail { request: usize, engine: usize },
    /// An engine looks at itself.
    Sample(usize),
    /// Its report reaches the nodes.
    Report { engine: usize, report: EngineReport },
    /// The weight store has sent an adapter.
    Loaded { engine: usize, adapter: usize },
    /// Time passes on the nodes.
    Tick,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    seq: u64,
    event: SimEvent,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first; the earliest is wanted.
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

/// Events in order of simulated time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    entries: BinaryHeap<Entry>,
    seq: u64,
}

impl Timeline {
    pub(crate) fn add(&mut self, at: Duration, event: SimEvent) {
        self.seq += 1;
        let seq = self.seq;
        self.entries.push(Entry { at, seq, event });
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, SimEvent)> {
        let entry = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}
