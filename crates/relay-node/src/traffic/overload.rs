//! Closes callers' new connections unread while the traffic thread is overloaded.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

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
    /// When the thread last ran [`watch_delay`].
    checked_at: Cell<Option<Instant>>,
    /// When the thread was last late.
    late_at: Cell<Option<Instant>>,
}

/// Delay from which this node counts as late. Such delays are a good part of the longest pauses
/// that routes state (250 to 400 ms).
const LATE_DELAY: Duration = Duration::from_millis(50);

/// How often the thread checks whether it is late.
const DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Records the delays of the traffic thread, forever, also while no caller connects.
pub(crate) async fn watch_delay(gateway: Rc<Gateway>) {
    let overload = &gateway.overload;
    loop {
        let expected = Instant::now() + DELAY_CHECK_INTERVAL;
        overload.checked_at.set(Some(Instant::now()));
        tokio::time::sleep_until(expected.into()).await;
        overload.record_lateness(expected.elapsed(), Instant::now());
    }
}

impl Overload {
    fn record_lateness(&self, delay: Duration, now: Instant) {
        if delay > LATE_DELAY {
            self.late_at.set(Some(now));
        }
    }

    /// Whether this node was late at any time since `since`, or is late now.
    pub(super) fn was_late_since(&self, since: Instant, now: Instant) -> bool {
        let checked = self.checked_at.get();
        let is_late = checked.is_some_and(|at| {
            now.saturating_duration_since(at) > DELAY_CHECK_INTERVAL + LATE_DELAY
        });
        is_late || self.late_at.get().is_some_and(|at| at >= since)
    }
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
        self.overload.record_lateness(delay, Instant::now());
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
