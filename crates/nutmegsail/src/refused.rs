//! `nutmegsail refused`: what nodes refuse because upstreams ended under it, and how to lift it.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use nutmegsail_platform::PlatformStore;
use nutmegsail_relay::StoredSuspect;
use nutmegsail_store::{HttpKeyValue, Item, KeyValue, KeyValueError, PlatformSettings, Txn};
use serde::Serialize;

use crate::CommandError;

/// A request or prompt part that is refused, or was lifted lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedEntry {
    /// The name to lift it by.
    pub name: String,
    /// How many upstreams ended under it.
    pub ends: usize,
    /// How long ago the first and the last one ended, in seconds.
    pub first_end_s_ago: Option<u64>,
    /// See `first_end_s_ago`.
    pub last_end_s_ago: Option<u64>,
    /// Whether an operator lifted it.
    pub is_lifted: bool,
}

/// All that is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RefusedReport {
    /// Ordered by name.
    pub refused: Vec<RefusedEntry>,
}

impl fmt::Display for RefusedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.refused.is_empty() {
            return write!(f, "nothing is refused");
        }
        for (number, entry) in self.refused.iter().enumerate() {
            let newline = if number == 0 { "" } else { "\n" };
            write!(f, "{newline}{}: ", entry.name)?;
            match (entry.first_end_s_ago, entry.last_end_s_ago) {
                _ if entry.is_lifted => write!(f, "lifted")?,
                (Some(first), Some(last)) => write!(
                    f,
                    "{} upstreams ended under it, {first} to {last} s ago",
                    entry.ends
                )?,
                _ => write!(f, "no upstream ended under it")?,
            }
        }
        Ok(())
    }
}

impl RefusedEntry {
    fn of(stored: &StoredSuspect, now: Duration) -> Self {
        let ended = stored.ended_ms();
        let s_ago = |ended_ms: u64| {
            now.saturating_sub(Duration::from_millis(ended_ms))
                .as_secs()
        };
        Self {
            name: stored.key_name(),
            ends: stored.ends(),
            first_end_s_ago: ended.map(|(first, _)| s_ago(first)),
            last_end_s_ago: ended.map(|(_, last)| s_ago(last)),
            is_lifted: stored.is_lifted(),
        }
    }
}

/// Lists what the nodes on the platform whose key-value service is at `address` refuse.
///
/// # Errors
///
/// The service does not answer, or holds something that cannot be read.
pub async fn refused(address: &str) -> Result<RefusedReport, CommandError> {
    let items = read_all(&store_at(address)).await?;
    let stored = items.iter().map(decode).collect::<Result<Vec<_>, _>>()?;
    let now = wall_time();
    let entries = stored.iter().map(|stored| RefusedEntry::of(stored, now));
    Ok(RefusedReport {
        refused: entries.collect(),
    })
}

/// Lifts the refusal of what is listed as `name`; nodes send it again within seconds.
///
/// # Errors
///
/// Nothing is listed under the name, or the service does not answer.
pub async fn lift(address: &str, name: &str) -> Result<RefusedReport, CommandError> {
    let store = store_at(address);
    let key = format!("{}{name}", StoredSuspect::KEY_PREFIX);
    let item = store.get(&key).await.map_err(CommandError::Store)?;
    let unknown = || CommandError::Usage(format!("nothing is refused under the name `{name}`"));
    let item = item.ok_or_else(unknown)?;
    let lifted = StoredSuspect::lifted(*decode(&item)?.suspect(), wall_time());
    let value = serde_json::to_vec(&lifted).unwrap_or_default();
    let txn = Txn::compare_and_swap(item.key, item.revision, value);
    store.commit(txn).await.map_err(CommandError::Store)?;
    Ok(RefusedReport {
        refused: vec![RefusedEntry::of(&lifted, wall_time())],
    })
}

fn store_at(address: &str) -> HttpKeyValue {
    HttpKeyValue::with_encoding(PlatformSettings::at(address), Arc::new(PlatformStore))
}

async fn read_all(store: &HttpKeyValue) -> Result<Vec<Item>, CommandError> {
    let mut items: Vec<Item> = Vec::new();
    loop {
        let after = items.last().map(|item| Arc::clone(&item.key));
        let page = store.range(StoredSuspect::KEY_PREFIX, after.as_deref());
        let page = page.await.map_err(CommandError::Store)?;
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok(items);
        }
    }
}

fn decode(item: &Item) -> Result<StoredSuspect, CommandError> {
    serde_json::from_slice(&item.value).map_err(|error| {
        let problem = format!("{}: {error}", item.key);
        CommandError::Store(KeyValueError::Malformed(problem))
    })
}

fn wall_time() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
