//! Follows the loads under way at an engine of ours by its reports.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::engine::OwnedEngine;
use super::knowledge::Knowledge;

/// How long after its order a load can show in a report at the earliest: reports lag some 100 ms.
const FIRST_REPORT: Duration = Duration::from_millis(350);

/// The time between two reports while loads are under way; each is charged for.
pub(crate) const FOLLOW_INTERVAL: Duration = Duration::from_millis(60);

/// How long a load may take, with others under way everywhere.
pub(crate) const LOAD_LIMIT: Duration = Duration::from_millis(3_000);

/// Reads reports until nothing is on its way to `engine`. A second call while one runs does nothing.
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
