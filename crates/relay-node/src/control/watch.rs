//! Follows all keys of the store with a single watch, by this node or by one that reads for it.
//!
//! The watch covers what operators, upstreams and nodes write. Upstream heartbeats pass through it
//! all the time, so a broken connection is noticed within two seconds even if the configuration
//! does not change. A separate watch for the configuration could hang unnoticed, and the node would
//! keep serving an old one.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegsail_store::{Change, Changes, Item, KeyValueError, Revision};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep;

use super::change_log::ReadAt;
use super::control_state::ControlState;
use crate::clock::boot_time;

/// The prefix of every key.
const ALL_KEYS: &str = "";

/// How long one watch waits for a change. Upstreams write only what has changed, so in an idle
/// system nothing arrives; the watch ends anyway, which shows that the connection still works.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between two watches. Every heartbeat is an event, so without a pause each would cost a
/// call. The pause is limited because within 2 s a leaving upstream must get no new requests and a
/// new configuration must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(600);

/// The number of watches that may fail in a row before all keys are read again, as events may have
/// been lost.
const MAX_FAILURES: u32 = 3;

/// The largest number of pages read in one go, at 500 items each.
const MAX_PAGES: usize = 200;

/// Receives the items under a key prefix, and their changes.
pub(crate) trait Watcher {
    /// The prefix of its keys.
    fn prefix(&self) -> &str;
    /// Receives all its items, after a start or when the store's history was lost.
    fn on_snapshot(&self, items: &[&Item]);
    /// Whether a change of one of its keys is worth passing on.
    fn is_relevant(&self, _change: &Change) -> bool {
        true
    }
    /// Receives changes, oldest first.
    fn on_changes(&self, changes: &[&Change]);
    /// Called after all that one read brought was received.
    fn on_read_end(&self) {}
    /// Called when the store does not answer.
    fn on_unavailable(&self) {}
}

/// Follows the store forever.
pub(crate) async fn run(control: &ControlState, watchers: &[Box<dyn Watcher>]) {
    let mut is_unavailable = false;
    loop {
        let asked = boot_time();
        let read = read_all(control, watchers).await;
        control.check_era();
        match read {
            Ok((items, revision)) => {
                let read_at = ReadAt::since(asked);
                if std::mem::take(&mut is_unavailable) {
                    log_event!(control.log, Event::PlatformReturned, "revision" => revision.to_string());
                }
                control.change_log.restart(revision, read_at);
                dispatch_snapshot(control, watchers, &items);
                control.shared.record_data_time(asked);
                let error = follow_changes(control, watchers, revision, read_at).await;
                log_unavailable(control, &error);
                is_unavailable = true;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log_unavailable(control, &error);
                }
                watchers.iter().for_each(|watcher| watcher.on_unavailable());
                sleep(control.store_pause()).await;
            }
        }
    }
}

fn dispatch_snapshot(control: &ControlState, watchers: &[Box<dyn Watcher>], items: &[Item]) {
    for watcher in watchers {
        let is_match = |item: &&Item| item.key.starts_with(watcher.prefix());
        let items: Vec<&Item> = items.iter().filter(is_match).collect();
        watcher.on_snapshot(&items);
    }
    end_read(control, watchers);
}

fn dispatch_changes(control: &ControlState, watchers: &[Box<dyn Watcher>], changes: &[Change]) {
    for watcher in watchers {
        let is_match = |change: &&Change| change.key().starts_with(watcher.prefix());
        let changes: Vec<&Change> = changes.iter().filter(is_match).collect();
        if !changes.is_empty() {
            watcher.on_changes(&changes);
        }
    }
    end_read(control, watchers);
}

fn end_read(control: &ControlState, watchers: &[Box<dyn Watcher>]) {
    watchers.iter().for_each(|watcher| watcher.on_read_end());
    control.publish();
}

/// Drops changes that no watcher needs, which are most upstream heartbeats.
fn drop_irrelevant(watchers: &[Box<dyn Watcher>], changes: &mut Vec<Change>) {
    changes.retain(|change| {
        let mut watchers = watchers.iter();
        watchers.any(|watcher| {
            change.key().starts_with(watcher.prefix()) && watcher.is_relevant(change)
        })
    });
}

/// Follows the changes after `revision` until all keys have to be read again.
async fn follow_changes(
    control: &ControlState,
    watchers: &[Box<dyn Watcher>],
    revision: Revision,
    mut read_at: ReadAt,
) -> KeyValueError {
    let mut after = revision;
    let mut failures = 0;
    loop {
        if let Some((changes, at)) = control.read_through_reader(after, read_at).await {
            read_at = at;
            apply_reader_era(control, watchers, after, changes.revision);
            apply_changes(control, watchers, &mut after, &changes, read_at);
            continue;
        }
        let asked = boot_time();
        let watched = control.store.watch(ALL_KEYS, after, WATCH_TIMEOUT).await;
        control.check_era();
        match watched {
            Ok(mut changes) => {
                failures = 0;
                read_at = ReadAt::since(asked);
                drop_irrelevant(watchers, &mut changes.changes);
                apply_changes(control, watchers, &mut after, &changes, read_at);
                sleep(WATCH_PAUSE).await;
            }
            Err(error) => {
                failures += 1;
                control.change_log.mark_lost();
                watchers.iter().for_each(|watcher| watcher.on_unavailable());
                if let ControlFlow::Break(error) = check_failure(error, failures) {
                    return error;
                }
                sleep(control.store_pause()).await;
            }
        }
    }
}

/// Handles a reader that has already read the store after it was restored from an older copy.
fn apply_reader_era(
    control: &ControlState,
    watchers: &[Box<dyn Watcher>],
    after: Revision,
    read: Revision,
) {
    if read.era() > after.era() {
        control.record_era(Some(read.era()));
        watchers.iter().for_each(|watcher| watcher.on_unavailable());
    }
}

fn apply_changes(
    control: &ControlState,
    watchers: &[Box<dyn Watcher>],
    after: &mut Revision,
    changes: &Changes,
    read_at: ReadAt,
) {
    *after = (*after).max(changes.revision);
    control.change_log.push(changes, read_at);
    dispatch_changes(control, watchers, &changes.changes);
    control.confirm_from_watch(read_at.asked);
    control.confirm_lender(read_at.asked);
    control.shared.record_data_time(read_at.asked);
    let answered_ms = u64::try_from(read_at.answered.as_millis()).unwrap_or(u64::MAX);
    let answered = &control.shared.store_answered_ms;
    answered.store(answered_ms, Ordering::Relaxed);
}

/// Whether the watch can go on from its current revision.
fn check_failure(error: KeyValueError, failures: u32) -> ControlFlow<KeyValueError> {
    match error {
        KeyValueError::Compacted => ControlFlow::Break(error),
        _ if failures >= MAX_FAILURES => ControlFlow::Break(error),
        _ => ControlFlow::Continue(()),
    }
}

/// Reads the keys of all watchers. Other keys, such as those of streams, are read when needed.
async fn read_all(
    control: &ControlState,
    watchers: &[Box<dyn Watcher>],
) -> Result<(Vec<Item>, Revision), KeyValueError> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    for watcher in watchers {
        read_prefix(control, watcher.prefix(), &mut items, &mut revision).await?;
    }
    Ok((items, revision.unwrap_or_default()))
}

async fn read_prefix(
    control: &ControlState,
    prefix: &str,
    items: &mut Vec<Item>,
    revision: &mut Option<Revision>,
) -> Result<(), KeyValueError> {
    let mut after: Option<Arc<str>> = None;
    for _ in 0..MAX_PAGES {
        let page = control.store.range(prefix, after.as_deref()).await?;
        // The pages are not a snapshot. Changes made while they were read arrive again, as the
        // watch starts at the first page's revision.
        let first_revision = *revision.get_or_insert(page.revision);
        if first_revision.era() != page.revision.era() {
            return Err(KeyValueError::Compacted);
        }
        let is_last = !page.has_more || page.items.is_empty();
        after = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if is_last {
            return Ok(());
        }
    }
    Err(KeyValueError::Malformed(
        "the key range has too many pages".to_owned(),
    ))
}

fn log_unavailable(control: &ControlState, error: &KeyValueError) {
    log_event!(control.log, Event::PlatformUnavailable, "error" => error.to_string());
}
