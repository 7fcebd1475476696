//! Polls an owned engine's reports until its pending loads finish.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::control_state::ControlState;
use super::engine::OwnedEngine;

/// The earliest time after its order at which a report can show a load: reports lag some 100 ms.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(350);

/// The time between two reports while loads are pending. Each report is billed.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// How long a load may take while others are in progress at all engines.
pub(crate) const LOAD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Reads reports until `engine` has no pending loads. Does nothing if that is already running.
pub(crate) fn poll_loads(control: Rc<ControlState>, engine: Rc<OwnedEngine>) {
    if engine.is_polled.replace(true) {
        return;
    }
    spawn_local(async move {
        while let Some(oldest) = engine.oldest_pending() {
            let age = oldest.elapsed();
            sleep(FIRST_REPORT_DELAY.saturating_sub(age).max(POLL_INTERVAL)).await;
            let report = control.read_report(&engine).await;
            if age > LOAD_TIMEOUT && report.is_none() {
                engine.drop_pending();
            }
        }
        engine.is_polled.set(false);
        engine.changed.notify_waiters();
    });
}
