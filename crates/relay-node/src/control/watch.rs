//! Follows one prefix of the store.

use std::ops::ControlFlow;
use std::time::Duration;

use nutmegsail_store::{Change, Item, KeyValueError, Revision};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep;

use super::knowledge::Knowledge;

/// How long one watch waits; the store takes up to 30 s. A shorter wait shows a silent link sooner.
const WAIT: Duration = Duration::from_secs(10);

/// The pause after a failed call, with up to as much again at random, so that the nodes do not
/// all come back to the store at one moment.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The most pages that are read of one range: 500 items each.
const PAGES_LIMIT: usize = 200;

/// What a follower of a prefix is told.
pub(crate) trait Follower {
    /// All items of the prefix, after start or when history was lost.
    fn whole(&self, items: &[Item]);
    /// Changes, oldest first.
    fn changes(&self, changes: &[Change]);
    /// The store did not answer.
    fn lost(&self) {}
    /// The pause before the next watch, so that a prefix that changes all the time does not cost a
    /// call for each change.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
}

/// Follows `prefix` for ever.
pub(crate) async fn follow(knowledge: &Knowledge, prefix: &str, follower: &dyn Follower) {
    let mut is_lost = false;
    loop {
        match read_all(knowledge, prefix).await {
            Ok((items, revision)) => {
                if std::mem::take(&mut is_lost) {
                    log_event!(knowledge.log, Event::PlatformReturned, "prefix" => prefix.to_owned());
                }
                follower.whole(&items);
                let error = follow_changes(knowledge, prefix, follower, revision).await;
                log_lost(knowledge, prefix, &error);
                is_lost = true;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log_lost(knowledge, prefix, &error);
                }
                follower.lost();
                pause().await;
            }
        }
    }
}

/// Follows the changes after `revision` until the history is gone.
async fn follow_changes(
    knowledge: &Knowledge,
    prefix: &str,
    follower: &dyn Follower,
    revision: Revision,
) -> KeyValueError {
    let mut after = revision;
    let mut failures = 0;
    loop {
        match knowledge.store.watch(prefix, after, WAIT).await {
            Ok(changes) => {
                failures = 0;
                after = after.max(changes.revision);
                if !changes.changes.is_empty() {
                    follower.changes(&changes.changes);
                    sleep(follower.pause()).await;
                }
            }
            Err(error) => {
                failures += 1;
                follower.lost();
                if let ControlFlow::Break(error) = judge(error, failures) {
                    return error;
                }
                pause().await;
            }
        }
    }
}

/// Whether the watch can go on where it was. After a few failures the whole prefix is read anew:
/// events may have been lost with the connection.
fn judge(error: KeyValueError, failures: u32) -> ControlFlow<KeyValueError> {
    const FAILURES_LIMIT: u32 = 3;
    match error {
        KeyValueError::Compacted => ControlFlow::Break(error),
        _ if failures >= FAILURES_LIMIT => ControlFlow::Break(error),
        _ => ControlFlow::Continue(()),
    }
}

async fn read_all(
    knowledge: &Knowledge,
    prefix: &str,
) -> Result<(Vec<Item>, Revision), KeyValueError> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    for _ in 0..PAGES_LIMIT {
        let after = items.last().map(|item| item.key.clone());
        let page = knowledge.store.range(prefix, after.as_deref()).await?;
        // Pages are no snapshot. Changes made while they were read come again from the first one's
        // revision on.
        let first = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, first));
        }
    }
    Err(KeyValueError::Malformed("the range has no end".to_owned()))
}

async fn pause() {
    sleep(RETRY_PAUSE.mul_f64(1.0 + rand::random::<f64>())).await;
}

fn log_lost(knowledge: &Knowledge, prefix: &str, error: &KeyValueError) {
    log_event!(
        knowledge.log, Event::PlatformUnavailable,
        "prefix" => prefix.to_owned(), "error" => error.to_string()
    );
}
