//! [`KeyValue`], the trait of the platform's key-value service, and its types.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Deref, Display, From};
use nutmegsail_base::{ResultCode, StoreEra, StoreNumber};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The service's change counter together with its era; [`Revision::NONE`] means that a key does not
/// exist.
///
/// Revisions only increase. A restore from an older copy sets the service's counter back, but
/// increments the era, which is compared first.
///
/// ```
/// use nutmegsail_base::StoreEra;
/// use nutmegsail_store::Revision;
/// let before = Revision::in_era(StoreEra(1), 900);
/// let after = Revision::in_era(StoreEra(2), 850);
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
    /// The revision of a key that does not exist.
    pub const NONE: Self = Self(StoreNumber::NONE);

    /// The revision with the service's number `number` in `era`.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self(StoreNumber::in_era(era, number))
    }

    /// The revision `number` of a service that reports no era.
    pub const fn without_era(number: u64) -> Self {
        Self(StoreNumber::without_era(number))
    }
}

/// The id of a lease together with the era in which it was granted.
#[derive(
    Clone, Copy, Debug, Default, Deref, Display, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct LeaseId(StoreNumber);

impl LeaseId {
    /// No lease.
    pub const NONE: Self = Self(StoreNumber::NONE);

    /// The lease with the service's number `number` in `era`.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self(StoreNumber::in_era(era, number))
    }

    /// The lease `number` of a service that reports no era.
    pub const fn without_era(number: u64) -> Self {
        Self(StoreNumber::without_era(number))
    }
}

/// A key with its value and the revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key, at most 200 bytes.
    pub key: Arc<str>,
    /// The value, at most 1 MB.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: Revision,
    /// The lease to which the item is bound: when it ends, the item is removed.
    pub lease: LeaseId,
}

/// One page of a range. The next page starts after its last key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items ordered by key.
    pub items: Vec<Item>,
    /// Whether the range has more items after this page.
    pub has_more: bool,
    /// The service's revision when the page was read.
    pub revision: Revision,
}

/// One change reported by a watch.
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

/// The result of a watch. An empty list means that nothing changed within the wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision after which the next watch continues.
    pub revision: Revision,
}

/// A condition of a transaction: the key has this revision, or does not exist if it is
/// [`Revision::NONE`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
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
    /// The lease to bind the key to, or [`LeaseId::NONE`].
    pub lease: LeaseId,
}

/// A transaction of at most 32 entries that takes effect completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions that must all hold.
    pub expects: Vec<Condition>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<Arc<str>>,
}

impl Txn {
    /// A compare-and-swap of one key: writes `value` if the key has `revision`.
    ///
    /// ```
    /// use nutmegsail_store::{Revision, Txn};
    /// let txn = Txn::compare_and_swap("nutmegsail/text/head", Revision::NONE, "{}");
    /// assert_eq!(txn.expects[0].revision, Revision::NONE);
    /// ```
    pub fn compare_and_swap(
        key: impl Into<Arc<str>>,
        revision: Revision,
        value: impl Into<Bytes>,
    ) -> Self {
        let key = key.into();
        let put = Put {
            key: Arc::clone(&key),
            value: value.into(),
            lease: LeaseId::default(),
        };
        Self {
            expects: vec![Condition { key, revision }],
            puts: vec![put],
            removes: Vec::new(),
        }
    }
}

/// The result of granting a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// How long it lasts after the service received the call.
    pub ttl: Duration,
}

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyValueError {
    /// A condition of the transaction did not hold; nothing was written.
    #[error("a condition of the transaction did not hold")]
    Conflict {
        /// The current items of the keys in the conditions, as far as they exist.
        current: Vec<Item>,
    },
    /// The call exceeded the rate limit and was not executed.
    #[error("the key-value service refused the call: too many calls")]
    Refused,
    /// The service reported that it did not execute the call, or no connection could be made.
    #[error("the key-value service is not available")]
    Unavailable,
    /// No usable answer came after the call was sent. A write may have taken effect or may still
    /// do so.
    #[error("no answer came from the key-value service; a write may have taken effect")]
    Ambiguous,
    /// The service no longer has the changes after this revision; read the range again.
    #[error("the key-value service no longer has the changes after this revision")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseGone,
    /// A key or value is too large, or a transaction has too many entries.
    #[error("a key, value or transaction exceeds a limit of the key-value service")]
    TooLarge,
    /// The answer could not be decoded.
    #[error("the answer of the key-value service cannot be decoded: {0}")]
    Malformed(String),
}

impl KeyValueError {
    /// The result code reported to operators and callers.
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

/// The platform's key-value service. Reads are linearizable. Every call counts against its rate
/// limits.
///
/// The service may be restored from an older copy, which starts a new era. Revisions and leases of
/// earlier eras are no longer valid then: watches end with [`KeyValueError::Compacted`], leases
/// with [`KeyValueError::LeaseGone`], and conditions do not hold.
#[async_trait]
pub trait KeyValue: Send + Sync + std::fmt::Debug {
    /// The newest era seen in an answer; `None` if the service reports no era.
    fn era(&self) -> Option<StoreEra> {
        None
    }
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError>;
    /// Reads a page of the keys that begin with `prefix`, starting after the key `after` if given.
    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError>;
    /// Waits up to `wait` for changes after the revision `after` to keys that begin with `prefix`.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError>;
    /// Executes a transaction completely or not at all.
    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError>;
    /// Grants a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError>;
    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError>;
    /// Ends a lease, which removes the keys bound to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError>;
}
