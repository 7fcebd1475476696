//! What happened for want of room, summed up for log lines.

use std::time::{Duration, Instant};

use crate::CurrentUse;

/// The time between two summaries.
const INTERVAL: Duration = Duration::from_secs(1);

/// The connections that ended, or were turned away, since the last summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomSummary {
    /// Idle connections that ended.
    pub idle: u64,
    /// Connections with an unfinished request that ended.
    pub unfinished: u64,
    /// Requests without room for their bodies.
    pub refused: u64,
    /// New connections that were closed unread.
    pub turned_away: u64,
    /// What the connections held that ended.
    pub bytes: usize,
}

/// Sums up what happened for want of room, so that a flood takes one log line a second.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_intake::{CurrentUse, RoomTally};
/// let (mut tally, start) = (RoomTally::default(), Instant::now());
/// assert!(tally.record_evicted(CurrentUse::Idle, 100, start).is_some());
/// assert_eq!(tally.record_evicted(CurrentUse::Unfinished, 200, start), None);
/// let summary = tally.record_turned_away(start + Duration::from_secs(1)).unwrap();
/// assert_eq!((summary.idle, summary.unfinished, summary.turned_away), (0, 1, 1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomTally {
    summary: RoomSummary,
    summed_up_at: Option<Instant>,
}

impl RoomTally {
    /// Records a connection that ended. Returns the summary if one is due.
    pub fn record_evicted(
        &mut self,
        ended_use: CurrentUse,
        bytes: usize,
        now: Instant,
    ) -> Option<RoomSummary> {
        match ended_use {
            CurrentUse::Idle => self.summary.idle += 1,
            CurrentUse::Unfinished | CurrentUse::InProgress => self.summary.unfinished += 1,
        }
        self.summary.bytes += bytes;
        self.take_due(now)
    }

    /// Records a request that was refused. Returns the summary if one is due.
    pub fn record_refused(&mut self, now: Instant) -> Option<RoomSummary> {
        self.summary.refused += 1;
        self.take_due(now)
    }

    /// Records a connection that was closed unread. Returns the summary if one is due.
    pub fn record_turned_away(&mut self, now: Instant) -> Option<RoomSummary> {
        self.summary.turned_away += 1;
        self.take_due(now)
    }

    fn take_due(&mut self, now: Instant) -> Option<RoomSummary> {
        let age = self
            .summed_up_at
            .map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age < INTERVAL) {
            return None;
        }
        self.summed_up_at = Some(now);
        Some(std::mem::take(&mut self.summary))
    }
}
