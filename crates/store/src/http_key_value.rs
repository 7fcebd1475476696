//! The key-value service over HTTP.

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

/// [`KeyValue`] over HTTP/1.1. Each call goes out at most once.
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
    /// The newest era that an answer has told.
    era: Arc<Mutex<Option<StoreEra>>>,
}

/// Whether a call changes anything, which decides what a missing answer means.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Effect {
    /// What is known when the call may have arrived and no readable answer came.
    ///
    /// A write whose answer was lost may have taken effect, or may yet. Reported as "not
    /// available" it would be written again, or a claim thought free that is taken.
    fn without_answer(self) -> KeyValueError {
        match self {
            Self::Read => KeyValueError::Unavailable,
            Self::Write => KeyValueError::Ambiguous,
        }
    }

    fn unreadable(self, why: EncodingError) -> KeyValueError {
        match self {
            Self::Read => KeyValueError::Malformed(why.0),
            Self::Write => KeyValueError::Ambiguous,
        }
    }
}

impl HttpKeyValue {
    /// A client of nutmegsail's own stand-in at `settings.address`. Nothing is sent yet.
    pub fn new(settings: PlatformSettings) -> Self {
        Self::with_encoding(settings, Arc::new(OwnEncoding))
    }

    /// A client of a service that speaks `encoding`. Nothing is sent yet.
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
    ) -> Result<Told, KeyValueError> {
        let answer = call
            .send(&self.pool, &self.settings.address, deadline)
            .await
            .map_err(|error| match error {
                CallError::NotSent => KeyValueError::Unavailable,
                CallError::NoAnswer => effect.without_answer(),
            })?;
        let told = self.told(answer).ok_or(effect.without_answer())?;
        match told.answer.status {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(told),
            StatusCode::TOO_MANY_REQUESTS => Err(KeyValueError::Refused),
            StatusCode::SERVICE_UNAVAILABLE => Err(KeyValueError::Unavailable),
            StatusCode::GONE => Err(KeyValueError::Compacted),
            StatusCode::PAYLOAD_TOO_LARGE => Err(KeyValueError::TooLarge),
            StatusCode::PRECONDITION_FAILED => Err(self.conflict(effect, &told)),
            _ => Err(effect.without_answer()),
        }
    }

    async fn read(&self, call: StoreRequest) -> Result<Told, KeyValueError> {
        self.call(Effect::Read, call, self.settings.call_timeout)
            .await
    }

    async fn write(&self, call: StoreRequest) -> Result<Told, KeyValueError> {
        self.call(Effect::Write, call, self.settings.call_timeout)
            .await
    }

    /// The answer with its era; nothing if a later one is known, as what it says is gone.
    fn told(&self, answer: Answer) -> Option<Told> {
        let mut known = self.known_era();
        let era = self.encoding.era(&answer.headers).or(*known);
        if era < *known {
            return None;
        }
        *known = era;
        drop(known);
        let era = era.unwrap_or_default();
        Some(Told { answer, era })
    }

    fn known_era(&self) -> MutexGuard<'_, Option<StoreEra>> {
        self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn conflict(&self, effect: Effect, told: &Told) -> KeyValueError {
        match self.encoding.conflict(&told.answer.body) {
            Ok(current) => KeyValueError::Conflict {
                current: current.into_iter().map(|item| told.item(item)).collect(),
            },
            Err(error) => effect.unreadable(error),
        }
    }

    /// Refuses what a transaction names of another era than the one that is known: the service would take other
    /// revisions and leases for it, which have the same numbers.
    fn check_eras(&self, txn: &Txn) -> Result<(), KeyValueError> {
        let Some(known) = self.era() else {
            return Ok(());
        };
        if expects_outside(txn, known) {
            return Err(KeyValueError::Conflict {
                current: Vec::new(),
            });
        }
        match leases_outside(txn, known) {
            true => Err(KeyValueError::LeaseGone),
            false => Ok(()),
        }
    }

    fn is_outside(&self, lease: LeaseId) -> bool {
        self.era().is_some_and(|known| lease.is_outside(known))
    }
}

/// A whole answer with the era that it counts in.
struct Told {
    answer: Answer,
    era: StoreEra,
}

impl Told {
    fn revision(&self, raw: Revision) -> Revision {
        Revision::of(self.era, raw.number())
    }

    fn item(&self, raw: Item) -> Item {
        Item {
            revision: self.revision(raw.revision),
            lease: LeaseId::of(self.era, raw.lease.number()),
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

/// Whether a transaction names revisions or leases of another era than `era`.
fn names_outside(txn: &Txn, era: StoreEra) -> bool {
    expects_outside(txn, era) || leases_outside(txn, era)
}

fn expects_outside(txn: &Txn, era: StoreEra) -> bool {
    let mut expects = txn.expects.iter();
    expects.any(|expect| expect.revision.is_outside(era))
}

fn leases_outside(txn: &Txn, era: StoreEra) -> bool {
    txn.puts.iter().any(|put| put.lease.is_outside(era))
}

#[async_trait]
impl KeyValue for HttpKeyValue {
    fn era(&self) -> Option<StoreEra> {
        *self.known_era()
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        let told = self.read(self.encoding.get(key)).await?;
        if told.answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let item = self.encoding.item(&told.answer.body)?;
        Ok(Some(told.item(item)))
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError> {
        let told = found(self.read(self.encoding.range(prefix, after)).await?)?;
        let page = self.encoding.page(&told.answer.body)?;
        Ok(Page {
            items: page.items.into_iter().map(|item| told.item(item)).collect(),
            has_more: page.has_more,
            revision: told.revision(page.revision),
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError> {
        let is_over = |known| after.is_outside(known) && after.era() < known;
        if self.era().is_some_and(is_over) {
            return Err(KeyValueError::Compacted);
        }
        let call = self.encoding.watch(prefix, after, wait);
        let deadline = wait + self.settings.call_timeout;
        let told = found(self.call(Effect::Read, call, deadline).await?)?;
        if after.is_outside(told.era) {
            // The position was taken for one of another history.
            return Err(KeyValueError::Compacted);
        }
        let changes = self.encoding.changes(&told.answer.body)?;
        Ok(Changes {
            revision: told.revision(changes.revision),
            changes: changes
                .changes
                .into_iter()
                .map(|change| told.change(change))
                .collect(),
        })
    }

    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError> {
        self.check_eras(&txn)?;
        let writes = !txn.puts.is_empty() || !txn.removes.is_empty();
        let call = self.encoding.commit(&txn)?;
        let told = lease_found(self.write(call).await?)?;
        if names_outside(&txn, told.era) {
            return Err(match writes {
                true => KeyValueError::Ambiguous,
                false => KeyValueError::Conflict {
                    current: Vec::new(),
                },
            });
        }
        let committed = self.encoding.committed(&told.answer.body);
        let committed = committed.map(|revision| told.revision(revision));
        committed.map_err(|error| Effect::Write.unreadable(error))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError> {
        let told = self.write(self.encoding.grant_lease(ttl)).await?;
        let granted = self.encoding.granted(&told.answer.body);
        let granted = granted.map(|granted| LeaseGrant {
            lease: LeaseId::of(told.era, granted.lease.number()),
            ..granted
        });
        granted.map_err(|error| Effect::Write.unreadable(error))
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        if self.is_outside(lease) {
            return Err(KeyValueError::LeaseGone);
        }
        let told = lease_found(self.write(self.encoding.keep_lease(lease)).await?)?;
        match lease.is_outside(told.era) {
            // Another lease has its number now.
            true => Err(KeyValueError::LeaseGone),
            false => Ok(()),
        }
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        if self.is_outside(lease) {
            // It is gone, and another one may have its number.
            return Ok(());
        }
        // A lease that is gone already has ended.
        self.write(self.encoding.end_lease(lease)).await?;
        Ok(())
    }
}

fn found(told: Told) -> Result<Told, KeyValueError> {
    match told.answer.status {
        StatusCode::NOT_FOUND => Err(KeyValueError::Unavailable),
        _ => Ok(told),
    }
}

fn lease_found(told: Told) -> Result<Told, KeyValueError> {
    match told.answer.status {
        StatusCode::NOT_FOUND => Err(KeyValueError::LeaseGone),
        _ => Ok(told),
    }
}
