//! Closes callers' new connections unread while the traffic thread is overloaded.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegsail_relay::OverloadGate;
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;

use super::gateway::Gateway;
use crate::clock::boot_time;

/// The gate for callers' new connections.
#[derive(Debug, Default)]
pub(super) struct Overload {
    gate: RefCell<OverloadGate>,
    /// Whether a task is queued only to record its delay.
    is_probing: Cell<bool>,
    was_overloaded: Cell<bool>,
}

impl Gateway {
    /// Whether a caller's connection that was accepted just now is served. Otherwise it is to be
    /// closed unread.
    pub(super) fn serves_connection(self: &Rc<Self>) -> bool {
        let now = boot_time();
        let is_served = self.overload.gate.borrow_mut().accepts(now);
        if !is_served {
            self.shared.metrics.record_closed_unread();
            self.probe_delay(now);
        }
        is_served
    }

    /// Records the delay of the task of a connection that was accepted at `accepted_at`.
    pub(super) fn record_delay(&self, accepted_at: Duration) {
        let now = boot_time();
        let delay = now.saturating_sub(accepted_at);
        let mut gate = self.overload.gate.borrow_mut();
        gate.record_delay(delay, now);
        let is_overloaded = gate.is_overloaded(now);
        if self.overload.was_overloaded.replace(is_overloaded) != is_overloaded {
            log_event!(
                self.log, Event::OverloadChanged,
                "overloaded" => is_overloaded, "delay_ms" => delay.as_millis(),
                "connections" => self.shared.connections.load(Ordering::Relaxed)
            );
        }
    }

    /// Whether the traffic thread is overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        let gate = self.overload.gate.borrow();
        gate.is_overloaded(boot_time())
    }

    /// Queues a task that records its delay, unless one is queued. Without it, no delay would show
    /// that the queue is drained while connections are closed.
    fn probe_delay(self: &Rc<Self>, queued_at: Duration) {
        if self.overload.is_probing.replace(true) {
            return;
        }
        let gateway = Rc::clone(self);
        spawn_local(async move {
            gateway.overload.is_probing.set(false);
            gateway.record_delay(queued_at);
        });
    }
}
