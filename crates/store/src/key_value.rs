//! The trait of the platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Deref, Display, From};
use nutmegsail_base::{ResultCode, StoreEra, StoreNumber};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The service's change counter, with the era that it counts in; [`Revision::NONE`] stands for "does not exist". It only
/// rises: the service's own counter goes back when it comes back from an older copy, and the era rises then.
///
/// ```
/// use nutmegsail_base::StoreEra;
/// use nutmegsail_store::Revision;
/// let before = Revision::of(StoreEra(1), 900);
/// let after = Revision::of(StoreEra(2), 850);
/// assert!(before < after);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deref,
    Display,
    From,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct Revision(StoreNumber);

impl Revision {
    /// Stands for a key that does not exist.
    pub const NONE: Self = Self(StoreNumber::NONE);

    /// The revision that the service calls `number` in `era`.
    pub const fn of(era: StoreEra, number: u64) -> Self {
        Self(StoreNumber::of(era, number))
    }

    /// The revision that a service calls `number` which tells no era.
    pub const fn plain(number: u64) -> Self {
        Self(StoreNumber::plain(number))
    }
}

/// A lease of the key-value service, with the era that it was granted in; [`LeaseId::NONE`] stands for "none".
#[derive(
    Clone, Copy, Debug, Default, Deref, Display, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct LeaseId(StoreNumber);

impl LeaseId {
    /// Stands for no lease.
    pub const NONE: Self = Self(StoreNumber::NONE);

    /// The lease that the service calls `number` in `era`.
    pub const fn of(era: StoreEra, number: u64) -> Self {
        Self(StoreNumber::of(era, number))
    }

    /// The lease that a service calls `number` which tells no era.
    pub const fn plain(number: u64) -> Self {
        Self(StoreNumber::plain(number))
    }
}

/// A stored value with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key, at most 200 bytes.
    pub key: Arc<str>,
    /// The value, at most 1 MB.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: Revision,
    /// The lease that removes it when it ends.
    pub lease: LeaseId,
}

/// Some items of a range, with the key to go on from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow the last one.
    pub has_more: bool,
    /// The service's revision at the read.
    pub revision: Revision,
}

/// One change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The item was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: Arc<str>,
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// What a watch returned. An empty list means the wait ran out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision to watch from next.
    pub revision: Revision,
}

/// A condition of a transaction: the key has this revision ([`Revision::NONE`]: it does not exist).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expect {
    /// The key.
    pub key: Arc<str>,
    /// The revision it must have.
    pub revision: Revision,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Arc<str>,
    /// The new value.
    pub value: Bytes,
    /// The lease to bind it to, or none.
    pub lease: LeaseId,
}

/// An all-or-nothing write of at most 32 entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions; all must hold.
    pub expects: Vec<Expect>,
    /// Writes.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<Arc<str>>,
}

impl Txn {
    /// A compare-and-swap of one key: writes `value` if the key still has `revision`.
    ///
    /// ```
    /// use nutmegsail_store::{Revision, Txn};
    /// let txn = Txn::swap("nutmegsail/text/head", Revision::NONE, "{}");
    /// assert_eq!(txn.expects[0].revision, Revision::NONE);
    /// ```
    pub fn swap(key: impl Into<Arc<str>>, revision: Revision, value: impl Into<Bytes>) -> Self {
        let key = key.into();
        let put = Put {
            key: Arc::clone(&key),
            value: value.into(),
            lease: LeaseId::default(),
        };
        Self {
            expects: vec![Expect { key, revision }],
            puts: vec![put],
            removes: Vec::new(),
        }
    }
}

/// A lease as granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// How long it lives from the arrival of the call.
    pub ttl: Duration,
}

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyValueError {
    /// A condition did not hold; nothing was written. `current` are the items as they are now.
    #[error("a condition of the transaction did not hold")]
    Conflict {
        /// The items named in the conditions that exist, as they are now.
        current: Vec<Item>,
    },
    /// The call was over the rate limit; nothing was done.
    #[error("the key-value service refused the call: too many calls")]
    Refused,
    /// The service said that it did nothing, or no connection could be made.
    #[error("the key-value service is not available")]
    Unavailable,
    /// No answer came after the call was sent; a write may have taken effect, or may yet.
    #[error("no answer came from the key-value service; a write may have taken effect")]
    Ambiguous,
    /// The history from this revision on is gone; read the range anew.
    #[error("the history from this revision is gone")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseGone,
    /// A key or value is over its limit, or there are too many entries.
    #[error("a key or value is over the limit of the key-value service")]
    TooLarge,
    /// The answer could not be read.
    #[error("the key-value service answered what cannot be read: {0}")]
    Malformed(String),
}

impl KeyValueError {
    /// The numbered result for operators and callers.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Conflict { .. } | Self::Refused | Self::TooLarge => ResultCode::PlatformRefused,
            Self::Ambiguous => ResultCode::PlatformAmbiguous,
            Self::Unavailable | Self::Compacted | Self::LeaseGone | Self::Malformed(_) => {
                ResultCode::PlatformUnavailable
            }
        }
    }
}

/// The platform's key-value service. Reads are linearizable; every call counts against its rates.
///
/// It may come back from an older copy of itself, in a new era. Positions, leases and conditions of before do not hold
/// then: watches end with [`KeyValueError::Compacted`], leases with [`KeyValueError::LeaseGone`].
#[async_trait]
pub trait KeyValue: Send + Sync + std::fmt::Debug {
    /// The newest era that an answer has told; nothing if the service tells none.
    fn era(&self) -> Option<StoreEra> {
        None
    }
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError>;
    /// Reads the keys that begin with `prefix`, after the key `after` if given.
    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError>;
    /// Waits up to `wait` for changes after `after` to keys that begin with `prefix`.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError>;
    /// Writes all of `txn` or nothing.
    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError>;
    /// Grants a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError>;
    /// Renews a lease.
    async fn keep_lease(&self, lease: LeaseId) -> Result<(), KeyValueError>;
    /// Ends a lease and removes its keys.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), KeyValueError>;
}
