//! The encoding of nutmegsail's own stand-in for the key-value service.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Method};
use nutmegsail_base::StoreEra;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::key_value_json::{
    ChangesJson, CommittedJson, ConflictJson, GrantJson, GrantedJson, ItemJson, PageJson, TxnJson,
};
use crate::{
    Changes, EncodingError, Item, LeaseGrant, LeaseId, Page, Revision, StoreEncoding, StoreRequest,
    Txn,
};

/// Header with the service's [`StoreEra`].
const ERA: HeaderName = HeaderName::from_static("store-era");

/// JSON under `/v1/kv/`, with values as strings.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnEncoding;

impl StoreEncoding for OwnEncoding {
    fn era(&self, headers: &HeaderMap) -> Option<StoreEra> {
        let text = headers.get(ERA)?.to_str().ok()?;
        text.trim().parse().map(StoreEra).ok()
    }

    fn get(&self, key: &str) -> StoreRequest {
        StoreRequest::new(Method::GET, format!("/v1/kv/item?key={}", encode(key)))
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> StoreRequest {
        let mut query = format!("/v1/kv/range?prefix={}", encode(prefix));
        if let Some(after) = after {
            query.push_str(&format!("&after={}", encode(after)));
        }
        StoreRequest::new(Method::GET, query)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> StoreRequest {
        let query = format!(
            "/v1/kv/watch?prefix={}&after_revision={}&wait_ms={}",
            encode(prefix),
            after.number(),
            wait.as_millis(),
        );
        StoreRequest::new(Method::GET, query)
    }

    fn commit(&self, txn: &Txn) -> Result<StoreRequest, EncodingError> {
        let json = TxnJson::new(txn).map_err(|error| EncodingError(error.to_string()))?;
        let call = StoreRequest::new(Method::POST, "/v1/kv/txn");
        Ok(call.with_body(serde_json::to_vec(&json)?))
    }

    fn grant_lease(&self, ttl: Duration) -> StoreRequest {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = serde_json::to_vec(&GrantJson { ttl_ms }).unwrap_or_default();
        StoreRequest::new(Method::POST, "/v1/kv/lease").with_body(body)
    }

    fn renew_lease(&self, lease: LeaseId) -> StoreRequest {
        StoreRequest::new(
            Method::POST,
            format!("/v1/kv/lease/{}/keep", lease.number()),
        )
    }

    fn revoke_lease(&self, lease: LeaseId) -> StoreRequest {
        StoreRequest::new(Method::DELETE, format!("/v1/kv/lease/{}", lease.number()))
    }

    fn decode_item(&self, body: &[u8]) -> Result<Item, EncodingError> {
        Ok(serde_json::from_slice::<ItemJson>(body)?.into())
    }

    fn decode_page(&self, body: &[u8]) -> Result<Page, EncodingError> {
        Ok(serde_json::from_slice::<PageJson>(body)?.into())
    }

    fn decode_changes(&self, body: &[u8]) -> Result<Changes, EncodingError> {
        Ok(serde_json::from_slice::<ChangesJson>(body)?.into())
    }

    fn decode_revision(&self, body: &[u8]) -> Result<Revision, EncodingError> {
        let committed: CommittedJson = serde_json::from_slice(body)?;
        Ok(Revision::without_era(committed.revision))
    }

    fn decode_conflict(&self, body: &[u8]) -> Result<Vec<Item>, EncodingError> {
        let json: ConflictJson = serde_json::from_slice(body)?;
        Ok(json.current.into_iter().map(Item::from).collect())
    }

    fn decode_lease(&self, body: &[u8]) -> Result<LeaseGrant, EncodingError> {
        let granted: GrantedJson = serde_json::from_slice(body)?;
        Ok(LeaseGrant {
            lease: LeaseId::without_era(granted.lease),
            ttl: Duration::from_millis(granted.ttl_ms),
        })
    }
}

fn encode(text: &str) -> impl std::fmt::Display + '_ {
    utf8_percent_encode(text, NON_ALPHANUMERIC)
}
