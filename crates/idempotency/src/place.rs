//! Where a key's claim is stored, and which node writes it.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use nutmegsail_base::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ClaimSettings, IdempotencyKey};

/// The prefix of every claim record's key.
pub const CLAIMS_PREFIX: &str = "nutmegsail/claims/";

/// The number of shards.
///
/// It is part of the stored layout and must not change: with another number, existing claims would
/// be looked up in the wrong records, not found, and their calls could run again.
pub const SHARDS: u8 = 4;

/// The range of issue times that one bucket covers, in milliseconds. It is part of the stored
/// layout and must not change.
pub const BUCKET_MS: u64 = 60_000;

/// Identifies the chain of records that holds the claims of one shard and one bucket of issue
/// times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChainPlace {
    /// The bucket: the issue time divided by [`BUCKET_MS`].
    pub bucket: u64,
    /// The shard, less than [`SHARDS`].
    pub shard: u8,
}

impl ChainPlace {
    /// The chain that holds the claim for `key`.
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

    /// The store key of the chain's record `record_index`.
    pub fn record_key(&self, record_index: usize) -> Arc<str> {
        let Self { bucket, shard } = self;
        format!("{CLAIMS_PREFIX}{bucket:010}/{shard}/{record_index:06}").into()
    }
}

/// Whether the record `record_key` may be removed because no node accepts its keys any more.
///
/// Each node accepts a key until `accepted_age` after its issue time by the node's own clock. All
/// node clocks are within `skew` of the true time, so two of them differ by at most twice the skew.
/// `record_retention` exceeds the accepted age by at least twice the skew. So when this returns
/// true on one node, all nodes refuse every key of the bucket.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use nutmegsail_idempotency::{ClaimSettings, is_past_retention};
///
/// let settings = ClaimSettings::default();
/// let bucket_end = SystemTime::UNIX_EPOCH + Duration::from_secs(60);
/// let key = "nutmegsail/claims/0000000000/0/000000";
/// let kept_until = bucket_end + settings.record_retention;
/// assert!(!is_past_retention(key, &settings, kept_until));
/// assert!(is_past_retention(key, &settings, kept_until + Duration::from_secs(1)));
/// ```
pub fn is_past_retention(
    record_key: &str,
    settings: &ClaimSettings,
    wall_time: SystemTime,
) -> bool {
    let Some(bucket) = bucket_of(record_key) else {
        return false;
    };
    let bucket_end = Duration::from_millis(bucket.saturating_add(1).saturating_mul(BUCKET_MS));
    let wall_time = wall_time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    bucket_end + settings.record_retention < wall_time
}

fn bucket_of(record_key: &str) -> Option<u64> {
    let rest = record_key.strip_prefix(CLAIMS_PREFIX)?;
    rest.split('/').next()?.parse().ok()
}

/// The writer of `shard`, chosen from `nodes` by rendezvous hashing.
///
/// Nodes with different lists may choose different writers for a while. This only causes write
/// conflicts, since every write is a compare-and-swap.
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
