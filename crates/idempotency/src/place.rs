//! Where a key's claim lies in the store, and which node writes there.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use nutmegsail_base::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ClaimSettings, IdempotencyKey};

/// The prefix of every claim record's key.
pub const CLAIMS_PREFIX: &str = "nutmegsail/claims/";

/// How many shards claims fall into.
///
/// Part of the layout, not a setting: another number would look for old claims in other records,
/// not find them, and let their calls run again.
pub const SHARDS: u8 = 4;

/// The span of issue times that share a chain of records, in milliseconds. Part of the layout too.
pub const BUCKET_MS: u64 = 60_000;

/// The chain of records that holds the claims of one shard and one bucket of issue times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChainPlace {
    /// The bucket: issue time over [`BUCKET_MS`].
    pub bucket: u64,
    /// The shard, below [`SHARDS`].
    pub shard: u8,
}

impl ChainPlace {
    /// Where the claim for `key` lies.
    ///
    /// ```
    /// use nutmegsail_idempotency::{ChainPlace, IdempotencyKey};
    ///
    /// let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001")?;
    /// let place = ChainPlace::of(&key);
    /// assert_eq!(place.bucket, 28_333_333);
    /// assert!(place.record_key(0).starts_with("nutmegsail/claims/0028333333/"));
    /// # Ok::<(), nutmegsail_idempotency::KeyError>(())
    /// ```
    pub fn of(key: &IdempotencyKey) -> Self {
        let hash = xxh3_64_with_seed(key.to_string().as_bytes(), 0);
        Self {
            bucket: key.issued_unix_ms() / BUCKET_MS,
            shard: (hash % u64::from(SHARDS)) as u8,
        }
    }

    /// The store's key of the chain's record number `segment`.
    pub fn record_key(&self, segment: usize) -> Arc<str> {
        let Self { bucket, shard } = self;
        format!("{CLAIMS_PREFIX}{bucket:010}/{shard}/{segment:06}").into()
    }
}

/// Whether the record `record_key` may be removed: nobody accepts its keys any more.
///
/// A node accepts a key until `accepted_age` after its issue time by the node's own clock. This
/// node's clock and that one's are each within `skew` of the true time, so they differ by at most
/// twice the skew, and `kept` is longer than the accepted age by that much: by now everyone
/// refuses every key of the bucket.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use nutmegsail_idempotency::{ClaimSettings, is_past_retention};
///
/// let settings = ClaimSettings::default();
/// let bucket_end = SystemTime::UNIX_EPOCH + Duration::from_secs(60);
/// let key = "nutmegsail/claims/0000000000/0/000000";
/// let kept_until = bucket_end + settings.kept;
/// assert!(!is_past_retention(key, &settings, kept_until));
/// assert!(is_past_retention(key, &settings, kept_until + Duration::from_secs(1)));
/// ```
pub fn is_past_retention(record_key: &str, settings: &ClaimSettings, wall: SystemTime) -> bool {
    let Some(bucket) = bucket_of(record_key) else {
        return false;
    };
    let bucket_end = Duration::from_millis(bucket.saturating_add(1).saturating_mul(BUCKET_MS));
    let wall = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    bucket_end + settings.kept < wall
}

fn bucket_of(record_key: &str) -> Option<u64> {
    let rest = record_key.strip_prefix(CLAIMS_PREFIX)?;
    rest.split('/').next()?.parse().ok()
}

/// The node that writes for `shard`, by rendezvous hashing over `nodes`.
///
/// Nodes may disagree about it for a while. That costs conflicts and nothing else, for every
/// write is a compare-and-swap.
///
/// ```
/// use nutmegsail_base::NodeId;
/// use nutmegsail_idempotency::writer_of;
///
/// let nodes = ["a", "b"].map(NodeId::from);
/// assert!(writer_of(0, &nodes).is_some());
/// assert!(writer_of(0, &[]).is_none());
/// ```
pub fn writer_of<'a>(shard: u8, nodes: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    nodes
        .into_iter()
        .max_by_key(|node| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(shard) + 1))
}
