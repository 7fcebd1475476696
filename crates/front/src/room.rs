//! Log lines of connections that end for want of room.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nutmegsail_base::{Clock, SystemClock};
use nutmegsail_intake::{
    CurrentUse, Intake, IntakeObserver, ListenerKind, ProcessLimits, RoomSummary, RoomTally,
};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;

use crate::FrontSettings;

/// Logs the connections that end or are turned away for want of room, in one line a second.
pub struct RoomLog {
    log: Logger,
    clock: Arc<dyn Clock>,
    tally: Mutex<RoomTally>,
}

impl RoomLog {
    /// Logs to `log`.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use nutmegsail_base::SystemClock;
    /// use nutmegsail_front::RoomLog;
    /// use nutmegsail_intake::{IntakeObserver, ListenerKind};
    /// use nutmegsail_telemetry::discard_logger;
    /// let log = RoomLog::new(discard_logger(), Arc::new(SystemClock));
    /// log.turned_away(ListenerKind::Callers);
    /// ```
    pub fn new(log: Logger, clock: Arc<dyn Clock>) -> Self {
        Self {
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

impl IntakeObserver for RoomLog {
    fn evicted(&self, listener: ListenerKind, ended_use: CurrentUse, bytes: usize) {
        let now = self.clock.now();
        let summary = self.tally().record_evicted(ended_use, bytes, now);
        self.log(listener, summary);
    }

    fn refused(&self, listener: ListenerKind) {
        let now = self.clock.now();
        let summary = self.tally().record_refused(now);
        self.log(listener, summary);
    }

    fn turned_away(&self, listener: ListenerKind) {
        let now = self.clock.now();
        let summary = self.tally().record_turned_away(now);
        self.log(listener, summary);
    }
}

/// The limits on what connections to both listeners hold.
pub(crate) fn intake(settings: &FrontSettings, log: &Logger) -> Intake {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let observer = RoomLog::new(log.clone(), Arc::clone(&clock));
    let limits = ProcessLimits::detect(&settings.limits).ledger();
    Intake::new(limits, clock, Arc::new(observer))
}
