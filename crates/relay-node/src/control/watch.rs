//! Follows all keys of the store with a single watch, by this node or by one that reads for it.
//!
//! The watch covers what operators, upstreams and nodes write. Upstream heartbeats pass through it
//! all the time, so a broken connection is noticed within two seconds even if the configuration
//! does not change. A separate watch for the configuration could hang unnoticed, and the node would
//! keep serving an old one.

use std::ops::ControlFlow;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegsail_store::{Change, Changes, Item, KeyValueError, Revision};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep;

use super::change_log::ReadAt;
use super::knowledge::Knowledge;
use crate::clock::boot_time;

/// The prefix of every key.
const ALL_KEYS: &str = "";

/// How long one watch waits for a change. Upstreams write only what has changed, so in an idle
/// system nothing arrives; the watch ends anyway, which shows that the connection still works.
const WAIT: Duration = Duration::from_millis(500);

/// The pause between two watches. Every heartbeat is an event, so without a pause each would cost a
/// call. The pause is limited because within 2 s a leaving upstream must get no new requests and a
/// new configuration must be in force.
const PAUSE: Duration = Duration::from_millis(600);

/// The number of watches that may fail in a row before all keys are read again, as events may have
/// been lost.
const FAILURES_LIMIT: u32 = 3;

/// The largest number of pages read in one go, at 500 items each.
const PAGES_LIMIT: usize = 200;

/// Receives the items under a key prefix, and their changes.
pub(crate) trait Follower {
    /// The prefix of its keys.
    fn prefix(&self) -> &str;
    /// Receives all its items, after a start or when the store's history was lost.
    fn whole(&self, items: &[&Item]);
    /// Whether a change of one of its keys is worth passing on.
    fn is_news(&self, _change: &Change) -> bool {
        true
    }
    /// Receives changes, oldest first.
    fn changes(&self, changes: &[&Change]);
    /// Called when the store does not answer.
    fn lost(&self) {}
}

/// Follows the store forever.
pub(crate) async fn follow(knowledge: &Knowledge, followers: &[Box<dyn Follower>]) {
    let mut is_lost = false;
    loop {
        let asked = boot_time();
        let read = read_all(knowledge, ALL_KEYS).await;
        knowledge.check_era();
        match read {
            Ok((items, revision)) => {
                let read_at = ReadAt::since(asked);
                if std::mem::take(&mut is_lost) {
                    log_event!(knowledge.log, Event::PlatformReturned, "revision" => revision.to_string());
                }
                knowledge.change_log.restart(revision, read_at);
                tell_whole(knowledge, followers, &items);
                knowledge.shared.note_news(asked);
                let error = follow_changes(knowledge, followers, revision, read_at).await;
                log_lost(knowledge, &error);
                is_lost = true;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log_lost(knowledge, &error);
                }
                followers.iter().for_each(|follower| follower.lost());
                sleep(knowledge.store_pause()).await;
            }
        }
    }
}

fn tell_whole(knowledge: &Knowledge, followers: &[Box<dyn Follower>], items: &[Item]) {
    for follower in followers {
        let is_its = |item: &&Item| item.key.starts_with(follower.prefix());
        let items: Vec<&Item> = items.iter().filter(is_its).collect();
        follower.whole(&items);
    }
    knowledge.publish();
}

fn tell_changes(knowledge: &Knowledge, followers: &[Box<dyn Follower>], changes: &[Change]) {
    for follower in followers {
        let is_its = |change: &&Change| change.key().starts_with(follower.prefix());
        let changes: Vec<&Change> = changes.iter().filter(is_its).collect();
        if !changes.is_empty() {
            follower.changes(&changes);
        }
    }
    knowledge.publish();
}

/// Drops changes that no watcher needs, which are most upstream heartbeats.
fn keep_news(followers: &[Box<dyn Follower>], changes: &mut Vec<Change>) {
    changes.retain(|change| {
        let mut followers = followers.iter();
        followers
            .any(|follower| change.key().starts_with(follower.prefix()) && follower.is_news(change))
    });
}

/// Follows the changes after `revision` until all keys have to be read again.
async fn follow_changes(
    knowledge: &Knowledge,
    followers: &[Box<dyn Follower>],
    revision: Revision,
    mut read_at: ReadAt,
) -> KeyValueError {
    let mut after = revision;
    let mut failures = 0;
    loop {
        if let Some((changes, at)) = knowledge.changes_by_reader(after, read_at).await {
            read_at = at;
            note_reader_era(knowledge, followers, after, changes.revision);
            take_changes(knowledge, followers, &mut after, &changes, read_at);
            continue;
        }
        let asked = boot_time();
        let watched = knowledge.store.watch(ALL_KEYS, after, WAIT).await;
        knowledge.check_era();
        match watched {
            Ok(mut changes) => {
                failures = 0;
                read_at = ReadAt::since(asked);
                keep_news(followers, &mut changes.changes);
                take_changes(knowledge, followers, &mut after, &changes, read_at);
                sleep(PAUSE).await;
            }
            Err(error) => {
                failures += 1;
                knowledge.change_log.lost();
                followers.iter().for_each(|follower| follower.lost());
                if let ControlFlow::Break(error) = judge(error, failures) {
                    return error;
                }
                sleep(knowledge.store_pause()).await;
            }
        }
    }
}

/// Handles a reader that has already read the store after it was restored from an older copy.
fn note_reader_era(
    knowledge: &Knowledge,
    followers: &[Box<dyn Follower>],
    after: Revision,
    read: Revision,
) {
    if read.era() > after.era() {
        knowledge.note_era(Some(read.era()));
        followers.iter().for_each(|follower| follower.lost());
    }
}

fn take_changes(
    knowledge: &Knowledge,
    followers: &[Box<dyn Follower>],
    after: &mut Revision,
    changes: &Changes,
    read_at: ReadAt,
) {
    *after = (*after).max(changes.revision);
    knowledge.change_log.push(changes, read_at);
    tell_changes(knowledge, followers, &changes.changes);
    knowledge.confirm_seen(read_at.asked);
    knowledge.confirm_lender(read_at.asked);
    knowledge.shared.note_news(read_at.asked);
    let answered_ms = u64::try_from(read_at.answered.as_millis()).unwrap_or(u64::MAX);
    let answered = &knowledge.shared.store_answered_ms;
    answered.store(answered_ms, Ordering::Relaxed);
}

/// Whether the watch can go on from its current revision.
fn judge(error: KeyValueError, failures: u32) -> ControlFlow<KeyValueError> {
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
        // The pages are not a snapshot. Changes made while they were read arrive again, as the
        // watch starts at the first page's revision.
        let first = *revision.get_or_insert(page.revision);
        if first.era() != page.revision.era() {
            return Err(KeyValueError::Compacted);
        }
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, first));
        }
    }
    Err(KeyValueError::Malformed("the range has no end".to_owned()))
}

fn log_lost(knowledge: &Knowledge, error: &KeyValueError) {
    log_event!(knowledge.log, Event::PlatformUnavailable, "error" => error.to_string());
}
