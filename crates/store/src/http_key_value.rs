//! The key-value service over HTTP.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use nutmegsail_http_pool::Pool;

use crate::http_call::{Answer, CallError};
use crate::{
    Changes, EncodingError, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId, OwnEncoding, Page,
    PlatformSettings, Revision, StoreEncoding, StoreRequest, Txn,
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
        }
    }

    async fn call(
        &self,
        effect: Effect,
        call: StoreRequest,
        deadline: Duration,
    ) -> Result<Answer, KeyValueError> {
        let answer = call
            .send(&self.pool, &self.settings.address, deadline)
            .await
            .map_err(|error| match error {
                CallError::NotSent => KeyValueError::Unavailable,
                CallError::NoAnswer => effect.without_answer(),
            })?;
        match answer.status {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(answer),
            StatusCode::TOO_MANY_REQUESTS => Err(KeyValueError::Refused),
            StatusCode::SERVICE_UNAVAILABLE => Err(KeyValueError::Unavailable),
            StatusCode::GONE => Err(KeyValueError::Compacted),
            StatusCode::PAYLOAD_TOO_LARGE => Err(KeyValueError::TooLarge),
            StatusCode::PRECONDITION_FAILED => Err(self.conflict(effect, &answer)),
            _ => Err(effect.without_answer()),
        }
    }

    async fn read(&self, call: StoreRequest) -> Result<Answer, KeyValueError> {
        self.call(Effect::Read, call, self.settings.call_timeout)
            .await
    }

    async fn write(&self, call: StoreRequest) -> Result<Answer, KeyValueError> {
        self.call(Effect::Write, call, self.settings.call_timeout)
            .await
    }

    fn conflict(&self, effect: Effect, answer: &Answer) -> KeyValueError {
        match self.encoding.conflict(&answer.body) {
            Ok(current) => KeyValueError::Conflict { current },
            Err(error) => effect.unreadable(error),
        }
    }
}

#[async_trait]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        let answer = self.read(self.encoding.get(key)).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(self.encoding.item(&answer.body)?))
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError> {
        let answer = found(self.read(self.encoding.range(prefix, after)).await?)?;
        Ok(self.encoding.page(&answer.body)?)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError> {
        let call = self.encoding.watch(prefix, after, wait);
        let deadline = wait + self.settings.call_timeout;
        let answer = found(self.call(Effect::Read, call, deadline).await?)?;
        Ok(self.encoding.changes(&answer.body)?)
    }

    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError> {
        let call = self.encoding.commit(&txn)?;
        let answer = lease_found(self.write(call).await?)?;
        let committed = self.encoding.committed(&answer.body);
        committed.map_err(|error| Effect::Write.unreadable(error))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError> {
        let answer = self.write(self.encoding.grant_lease(ttl)).await?;
        let granted = self.encoding.granted(&answer.body);
        granted.map_err(|error| Effect::Write.unreadable(error))
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        lease_found(self.write(self.encoding.keep_lease(lease)).await?)?;
        Ok(())
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        // A lease that is gone already has ended.
        self.write(self.encoding.end_lease(lease)).await?;
        Ok(())
    }
}

fn found(answer: Answer) -> Result<Answer, KeyValueError> {
    match answer.status {
        StatusCode::NOT_FOUND => Err(KeyValueError::Unavailable),
        _ => Ok(answer),
    }
}

fn lease_found(answer: Answer) -> Result<Answer, KeyValueError> {
    match answer.status {
        StatusCode::NOT_FOUND => Err(KeyValueError::LeaseGone),
        _ => Ok(answer),
    }
}
