//! Metrics and log lines of connections that end for want of room.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nutmegsail_base::Clock;
use nutmegsail_intake::{CurrentUse, IntakeObserver, ListenerKind, RoomSummary, RoomTally};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;

use crate::metrics::RelayMetrics;

/// Counts and logs the connections that end or are turned away for want of room.
pub(crate) struct RoomReports {
    metrics: RelayMetrics,
    log: Logger,
    clock: Arc<dyn Clock>,
    tally: Mutex<RoomTally>,
}

impl RoomReports {
    pub(crate) fn new(metrics: RelayMetrics, log: Logger, clock: Arc<dyn Clock>) -> Self {
        Self {
            metrics,
            log,
            clock,
            tally: Mutex::default(),
        }
    }

    fn tally(&self) -> MutexGuard<'_, RoomTally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self, listener: ListenerKind, summary: Option<RoomSummary>) {
        if let Some(summary) = summary {
            log_event!(
                self.log, Event::RoomExhausted,
                "listener" => listener.to_string(), "idle" => summary.idle,
                "unfinished" => summary.unfinished, "refused" => summary.refused, "turned_away" => summary.turned_away,
                "bytes" => summary.bytes
            );
        }
    }
}

impl IntakeObserver for RoomReports {
    fn evicted(&self, listener: ListenerKind, ended_use: CurrentUse, bytes: usize) {
        self.metrics.record_evicted(listener, ended_use);
        let summary = self
            .tally()
            .record_evicted(ended_use, bytes, self.clock.now());
        self.log(listener, summary);
    }

    /// The request counts under its result code.
    fn refused(&self, listener: ListenerKind) {
        let summary = self.tally().record_refused(self.clock.now());
        self.log(listener, summary);
    }

    fn turned_away(&self, listener: ListenerKind) {
        self.metrics.record_turned_away(listener);
        let summary = self.tally().record_turned_away(self.clock.now());
        self.log(listener, summary);
    }
}
