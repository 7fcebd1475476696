//! The key-value service over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use http::{Method, StatusCode};
use nutmegsail_http_pool::Pool;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http_call::{Answer, Call, CallError};
use crate::key_value_json::{
    ChangesJson, CommittedJson, ConflictJson, GrantJson, GrantedJson, ItemJson, PageJson, TxnJson,
};
use crate::{
    Changes, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId, Page, PlatformSettings, Revision,
    Txn,
};

/// [`KeyValue`] over HTTP/1.1. Each call goes out at most once.
///
/// ```
/// use nutmegsail_platform::{HttpKeyValue, PlatformSettings};
/// let store = HttpKeyValue::new(PlatformSettings::at("127.0.0.1:2400"));
/// assert!(format!("{store:?}").contains("127.0.0.1:2400"));
/// ```
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    settings: PlatformSettings,
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

    fn unreadable(self, why: &serde_json::Error) -> KeyValueError {
        match self {
            Self::Read => KeyValueError::Malformed(why.to_string()),
            Self::Write => KeyValueError::Ambiguous,
        }
    }
}

impl HttpKeyValue {
    /// A client of the service at `settings.address`. Nothing is sent yet.
    pub fn new(settings: PlatformSettings) -> Self {
        let pool = Pool::new(settings.pool());
        Self { settings, pool }
    }

    async fn call(
        &self,
        effect: Effect,
        call: Call,
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
            StatusCode::PRECONDITION_FAILED => Err(conflict(effect, &answer)),
            _ => Err(effect.without_answer()),
        }
    }

    async fn read(&self, path_and_query: String) -> Result<Answer, KeyValueError> {
        let call = Call::new(Method::GET, path_and_query);
        self.call(Effect::Read, call, self.settings.call_timeout)
            .await
    }

    async fn write(&self, call: Call) -> Result<Answer, KeyValueError> {
        self.call(Effect::Write, call, self.settings.call_timeout)
            .await
    }
}

#[async_trait]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        let answer = self
            .read(format!("/v1/kv/item?key={}", encode(key)))
            .await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let item: ItemJson = decode(Effect::Read, &answer)?;
        Ok(Some(item.into()))
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError> {
        let mut query = format!("/v1/kv/range?prefix={}", encode(prefix));
        if let Some(after) = after {
            query.push_str(&format!("&after={}", encode(after)));
        }
        let page: PageJson = decode(Effect::Read, &found(self.read(query).await?)?)?;
        Ok(page.into())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError> {
        let query = format!(
            "/v1/kv/watch?prefix={}&after_revision={after}&wait_ms={}",
            encode(prefix),
            wait.as_millis(),
        );
        let call = Call::new(Method::GET, query);
        let deadline = wait + self.settings.call_timeout;
        let answer = self.call(Effect::Read, call, deadline).await?;
        let changes: ChangesJson = decode(Effect::Read, &found(answer)?)?;
        Ok(changes.into())
    }

    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError> {
        let json =
            TxnJson::new(&txn).map_err(|error| KeyValueError::Malformed(error.to_string()))?;
        let call = Call::new(Method::POST, "/v1/kv/txn").with_body(to_json(&json)?);
        let answer = lease_found(self.write(call).await?)?;
        let committed: CommittedJson = decode(Effect::Write, &answer)?;
        Ok(committed.revision)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let call =
            Call::new(Method::POST, "/v1/kv/lease").with_body(to_json(&GrantJson { ttl_ms })?);
        let granted: GrantedJson = decode(Effect::Write, &self.write(call).await?)?;
        Ok(LeaseGrant {
            lease: granted.lease,
            ttl: Duration::from_millis(granted.ttl_ms),
        })
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let call = Call::new(Method::POST, format!("/v1/kv/lease/{lease}/keep"));
        lease_found(self.write(call).await?)?;
        Ok(())
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        // A lease that is gone already has ended.
        let call = Call::new(Method::DELETE, format!("/v1/kv/lease/{lease}"));
        self.write(call).await?;
        Ok(())
    }
}

fn encode(text: &str) -> impl std::fmt::Display + '_ {
    utf8_percent_encode(text, NON_ALPHANUMERIC)
}

fn to_json(value: &impl Serialize) -> Result<Vec<u8>, KeyValueError> {
    serde_json::to_vec(value).map_err(|error| KeyValueError::Malformed(error.to_string()))
}

fn decode<T: DeserializeOwned>(effect: Effect, answer: &Answer) -> Result<T, KeyValueError> {
    serde_json::from_slice(&answer.body).map_err(|error| effect.unreadable(&error))
}

fn conflict(effect: Effect, answer: &Answer) -> KeyValueError {
    match decode::<ConflictJson>(effect, answer) {
        Ok(json) => KeyValueError::Conflict {
            current: json.current.into_iter().map(Item::from).collect(),
        },
        Err(error) => error,
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
