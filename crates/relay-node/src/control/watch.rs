//! Follows all keys of the store with one watch, of this node or of one that reads for it.
//!
//! One watch sees what operators, upstreams and nodes write. Heartbeats of upstreams pass through
//! it all the time, so a connection that has gone silent shows within two seconds also while nobody
//! changes the configuration; a watch of its own for the configuration would hang unnoticed, and
//! the node serve an old one.

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

/// How long one watch waits for a change. Upstreams write only what has changed, so an idle system is
/// quiet; the watch ends all the same, to show that the connection has not gone silent.
const WAIT: Duration = Duration::from_millis(500);

/// The pause between two watches. Every heartbeat is an event, so a watch that is called again at
/// once costs a call for each; a leaving upstream must get nothing new after 2 s, and a new
/// configuration be in force by then.
const PAUSE: Duration = Duration::from_millis(600);

/// Watches that may fail in a row before everything is read anew: events may have been lost.
const FAILURES_LIMIT: u32 = 3;

/// The most pages that are read at once: 500 items each.
const PAGES_LIMIT: usize = 200;

/// What a follower of some keys is told.
pub(crate) trait Follower {
    /// The prefix of its keys.
    fn prefix(&self) -> &str;
    /// All its items, after start or when history was lost.
    fn whole(&self, items: &[&Item]);
    /// Whether a change of one of its keys tells anything new.
    fn is_news(&self, _change: &Change) -> bool {
        true
    }
    /// Changes, oldest first.
    fn changes(&self, changes: &[&Change]);
    /// The store did not answer.
    fn lost(&self) {}
}

/// Follows the store for ever.
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

/// Drops changes that tell nothing new: most heartbeats of upstreams.
fn keep_news(followers: &[Box<dyn Follower>], changes: &mut Vec<Change>) {
    changes.retain(|change| {
        let mut followers = followers.iter();
        followers
            .any(|follower| change.key().starts_with(follower.prefix()) && follower.is_news(change))
    });
}

/// Follows the changes after `revision` until the history is gone.
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

/// Takes in that the reader has read the store since it came back from a copy.
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

/// Whether the watch can go on where it was.
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
        // Pages are no snapshot. Changes made while they were read come again from the first one's
        // revision on.
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
