//! Metrics and log lines of connections that end for want of room.

use nutmegsail_front::RoomLog;
use nutmegsail_intake::{CurrentUse, IntakeObserver, ListenerKind};

use crate::metrics::RelayMetrics;

/// Counts and logs the connections that end or are turned away for want of room.
pub(crate) struct RoomReports {
    pub(crate) metrics: RelayMetrics,
    pub(crate) log: RoomLog,
}

impl IntakeObserver for RoomReports {
    fn evicted(&self, listener: ListenerKind, ended_use: CurrentUse, bytes: usize) {
        self.metrics.record_evicted(listener, ended_use);
        self.log.evicted(listener, ended_use, bytes);
    }

    /// The request counts under its result code.
    fn refused(&self, listener: ListenerKind) {
        self.log.refused(listener);
    }

    fn turned_away(&self, listener: ListenerKind) {
        self.metrics.record_turned_away(listener);
        self.log.turned_away(listener);
    }
}
