//! HTTP client of the platform's key-value service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use nutmegsail_base::StoreEra;
use nutmegsail_http_pool::Pool;

use crate::http_call::{Answer, CallError};
use crate::{
    Change, Changes, EncodingError, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId,
    OwnEncoding, Page, PlatformSettings, Revision, StoreEncoding, StoreRequest, Txn,
};

/// [`KeyValue`] over HTTP/1.1. A call is sent at most once and never retried here.
///
/// ```
/// use nutmegsail_store::{HttpKeyValue, PlatformSettings};
/// let store = HttpKeyValue::new(PlatformSettings::at("127.0.0.1:2400"));
/// assert!(format!("{store:?}").contains("127.0.0.1:2400"));
/// ```
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    settings: PlatformSettings,
    encoding: Arc<dyn StoreEncoding>,
    pool: Pool,
    /// The newest era seen in an answer.
    era: Arc<Mutex<Option<StoreEra>>>,
}

/// Whether a call only reads or may write. It decides which error a missing answer becomes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Effect {
    /// The error for a call that may have arrived but got no usable answer.
    ///
    /// A write whose answer was lost may have taken effect or may still do so. If it were
    /// reported as [`KeyValueError::Unavailable`], the caller would write it again, or assume that
    /// a claim is free although it is taken.
    fn missing_answer_error(self) -> KeyValueError {
        match self {
            Self::Read => KeyValueError::Unavailable,
            Self::Write => KeyValueError::Ambiguous,
        }
    }

    fn decode_error(self, why: EncodingError) -> KeyValueError {
        match self {
            Self::Read => KeyValueError::Malformed(why.0),
            Self::Write => KeyValueError::Ambiguous,
        }
    }
}

impl HttpKeyValue {
    /// Creates a client of nutmegsail's own stand-in at `settings.address`. Sends nothing yet.
    pub fn new(settings: PlatformSettings) -> Self {
        Self::with_encoding(settings, Arc::new(OwnEncoding))
    }

    /// Creates a client of a service that uses `encoding`. Sends nothing yet.
    pub fn with_encoding(settings: PlatformSettings, encoding: Arc<dyn StoreEncoding>) -> Self {
        let pool = Pool::new(settings.pool());
        Self {
            settings,
            encoding,
            pool,
            era: Arc::default(),
        }
    }

    async fn call(
        &self,
        effect: Effect,
        call: StoreRequest,
        deadline: Duration,
    ) -> Result<TaggedAnswer, KeyValueError> {
        let answer = call
            .send(&self.pool, &self.settings.address, deadline)
            .await
            .map_err(|error| match error {
                CallError::NotSent => KeyValueError::Unavailable,
                CallError::NoAnswer => effect.missing_answer_error(),
            })?;
        let tagged = self
            .tag_with_era(answer)
            .ok_or(effect.missing_answer_error())?;
        match tagged.answer.status {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(tagged),
            StatusCode::TOO_MANY_REQUESTS => Err(KeyValueError::Refused),
            StatusCode::SERVICE_UNAVAILABLE => Err(KeyValueError::Unavailable),
            StatusCode::GONE => Err(KeyValueError::Compacted),
            StatusCode::PAYLOAD_TOO_LARGE => Err(KeyValueError::TooLarge),
            StatusCode::PRECONDITION_FAILED => Err(self.conflict(effect, &tagged)),
            _ => Err(effect.missing_answer_error()),
        }
    }

    async fn read(&self, call: StoreRequest) -> Result<TaggedAnswer, KeyValueError> {
        self.call(Effect::Read, call, self.settings.call_timeout)
            .await
    }

    async fn write(&self, call: StoreRequest) -> Result<TaggedAnswer, KeyValueError> {
        self.call(Effect::Write, call, self.settings.call_timeout)
            .await
    }

    /// Adds the era to an answer and records it. `None` if a later era is known already: the
    /// answer then describes a state that was lost in a restore.
    fn tag_with_era(&self, answer: Answer) -> Option<TaggedAnswer> {
        let mut known = self.known_era();
        let era = self.encoding.era(&answer.headers).or(*known);
        if era < *known {
            return None;
        }
        *known = era;
        drop(known);
        let era = era.unwrap_or_default();
        Some(TaggedAnswer { answer, era })
    }

    fn known_era(&self) -> MutexGuard<'_, Option<StoreEra>> {
        self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn conflict(&self, effect: Effect, tagged: &TaggedAnswer) -> KeyValueError {
        match self.encoding.decode_conflict(&tagged.answer.body) {
            Ok(current) => KeyValueError::Conflict {
                current: current.into_iter().map(|item| tagged.item(item)).collect(),
            },
            Err(error) => effect.decode_error(error),
        }
    }

    /// Rejects a transaction with revisions or leases of another era than the known one. The
    /// service would mistake them for those of its current era that have the same numbers.
    fn check_eras(&self, txn: &Txn) -> Result<(), KeyValueError> {
        let Some(known) = self.era() else {
            return Ok(());
        };
        if expects_other_era(txn, known) {
            return Err(KeyValueError::Conflict {
                current: Vec::new(),
            });
        }
        match uses_lease_of_other_era(txn, known) {
            true => Err(KeyValueError::LeaseGone),
            false => Ok(()),
        }
    }

    fn is_from_other_era(&self, lease: LeaseId) -> bool {
        self.era()
            .is_some_and(|known| lease.is_from_other_era(known))
    }
}

/// A complete answer with the era of its revisions and lease ids.
struct TaggedAnswer {
    answer: Answer,
    era: StoreEra,
}

impl TaggedAnswer {
    fn revision(&self, raw: Revision) -> Revision {
        Revision::in_era(self.era, raw.number())
    }

    fn item(&self, raw: Item) -> Item {
        Item {
            revision: self.revision(raw.revision),
            lease: LeaseId::in_era(self.era, raw.lease.number()),
            ..raw
        }
    }

    fn change(&self, raw: Change) -> Change {
        match raw {
            Change::Put(item) => Change::Put(self.item(item)),
            Change::Removed { key, revision } => Change::Removed {
                key,
                revision: self.revision(revision),
            },
        }
    }
}

/// Whether a transaction contains revisions or leases of another era than `era`.
fn has_other_era(txn: &Txn, era: StoreEra) -> bool {
    expects_other_era(txn, era) || uses_lease_of_other_era(txn, era)
}

fn expects_other_era(txn: &Txn, era: StoreEra) -> bool {
    let mut expects = txn.expects.iter();
    expects.any(|expect| expect.revision.is_from_other_era(era))
}

fn uses_lease_of_other_era(txn: &Txn, era: StoreEra) -> bool {
    txn.puts.iter().any(|put| put.lease.is_from_other_era(era))
}

#[async_trait]
impl KeyValue for HttpKeyValue {
    fn era(&self) -> Option<StoreEra> {
        *self.known_era()
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        let tagged = self.read(self.encoding.get(key)).await?;
        if tagged.answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let item = self.encoding.decode_item(&tagged.answer.body)?;
        Ok(Some(tagged.item(item)))
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError> {
        let tagged = require_found(self.read(self.encoding.range(prefix, after)).await?)?;
        let page = self.encoding.decode_page(&tagged.answer.body)?;
        Ok(Page {
            items: page
                .items
                .into_iter()
                .map(|item| tagged.item(item))
                .collect(),
            has_more: page.has_more,
            revision: tagged.revision(page.revision),
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError> {
        let is_from_past_era = |known| after.is_from_other_era(known) && after.era() < known;
        if self.era().is_some_and(is_from_past_era) {
            return Err(KeyValueError::Compacted);
        }
        let call = self.encoding.watch(prefix, after, wait);
        let deadline = wait + self.settings.call_timeout;
        let tagged = require_found(self.call(Effect::Read, call, deadline).await?)?;
        if after.is_from_other_era(tagged.era) {
            // The service took the position for a revision of its current era.
            return Err(KeyValueError::Compacted);
        }
        let changes = self.encoding.decode_changes(&tagged.answer.body)?;
        Ok(Changes {
            revision: tagged.revision(changes.revision),
            changes: changes
                .changes
                .into_iter()
                .map(|change| tagged.change(change))
                .collect(),
        })
    }

    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError> {
        self.check_eras(&txn)?;
        let writes = !txn.puts.is_empty() || !txn.removes.is_empty();
        let call = self.encoding.commit(&txn)?;
        let tagged = require_lease(self.write(call).await?)?;
        if has_other_era(&txn, tagged.era) {
            return Err(match writes {
                true => KeyValueError::Ambiguous,
                false => KeyValueError::Conflict {
                    current: Vec::new(),
                },
            });
        }
        let committed = self.encoding.decode_revision(&tagged.answer.body);
        let committed = committed.map(|revision| tagged.revision(revision));
        committed.map_err(|error| Effect::Write.decode_error(error))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError> {
        let tagged = self.write(self.encoding.grant_lease(ttl)).await?;
        let granted = self.encoding.decode_lease(&tagged.answer.body);
        let granted = granted.map(|granted| LeaseGrant {
            lease: LeaseId::in_era(tagged.era, granted.lease.number()),
            ..granted
        });
        granted.map_err(|error| Effect::Write.decode_error(error))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        if self.is_from_other_era(lease) {
            return Err(KeyValueError::LeaseGone);
        }
        let tagged = require_lease(self.write(self.encoding.renew_lease(lease)).await?)?;
        match lease.is_from_other_era(tagged.era) {
            // The service renewed another lease that has the same number now.
            true => Err(KeyValueError::LeaseGone),
            false => Ok(()),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        if self.is_from_other_era(lease) {
            // The lease was lost in a restore, and another one may have its number now.
            return Ok(());
        }
        // An answer with status 404 means that the lease has ended already: also a success.
        self.write(self.encoding.revoke_lease(lease)).await?;
        Ok(())
    }
}

fn require_found(tagged: TaggedAnswer) -> Result<TaggedAnswer, KeyValueError> {
    match tagged.answer.status {
        StatusCode::NOT_FOUND => Err(KeyValueError::Unavailable),
        _ => Ok(tagged),
    }
}

fn require_lease(tagged: TaggedAnswer) -> Result<TaggedAnswer, KeyValueError> {
    match tagged.answer.status {
        StatusCode::NOT_FOUND => Err(KeyValueError::LeaseGone),
        _ => Ok(tagged),
    }
}
