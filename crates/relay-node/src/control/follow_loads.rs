//! Polls an owned engine's reports until its pending loads finish.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::engine::OwnedEngine;
use super::knowledge::Knowledge;

/// The earliest time after its order at which a report can show a load: reports lag some 100 ms.
const FIRST_REPORT: Duration = Duration::from_millis(350);

/// The time between two reports while loads are pending. Each report is billed.
pub(crate) const FOLLOW_INTERVAL: Duration = Duration::from_millis(60);

/// How long a load may take while others are in progress at all engines.
pub(crate) const LOAD_LIMIT: Duration = Duration::from_millis(3_000);

/// Reads reports until `engine` has no pending loads. Does nothing if that is already running.
pub(crate) fn follow_loads(knowledge: Rc<Knowledge>, engine: Rc<OwnedEngine>) {
    if engine.is_followed.replace(true) {
        return;
    }
    spawn_local(async move {
        while let Some(oldest) = engine.oldest_coming() {
            let age = oldest.elapsed();
            sleep(FIRST_REPORT.saturating_sub(age).max(FOLLOW_INTERVAL)).await;
            let report = knowledge.read_report(&engine).await;
            if age > LOAD_LIMIT && report.is_none() {
                engine.give_up_coming();
            }
        }
        engine.is_followed.set(false);
        engine.changed.notify_waiters();
    });
}
