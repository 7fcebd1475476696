//! Translation between key-value operations and the HTTP calls of a particular service.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use nutmegsail_base::StoreEra;

use crate::{Changes, Item, KeyValueError, LeaseGrant, LeaseId, Page, Revision, Txn};

/// An HTTP request to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query, percent-encoded.
    pub path_and_query: String,
    /// The body; may be empty.
    pub body: Bytes,
}

impl StoreRequest {
    /// Creates a request without a body.
    ///
    /// ```
    /// use nutmegsail_store::StoreRequest;
    /// let call = StoreRequest::new(http::Method::GET, "/v1/kv/item?key=a");
    /// assert!(call.body.is_empty());
    /// ```
    pub fn new(method: Method, path_and_query: impl Into<String>) -> Self {
        Self {
            method,
            path_and_query: path_and_query.into(),
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// A request body that could not be encoded, or an answer body that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct EncodingError(pub String);

impl From<serde_json::Error> for EncodingError {
    fn from(error: serde_json::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<EncodingError> for KeyValueError {
    fn from(error: EncodingError) -> Self {
        Self::Malformed(error.0)
    }
}

/// Encodes the requests and decodes the answers of one kind of key-value service.
///
/// [`HttpKeyValue`](crate::HttpKeyValue) makes the calls and interprets status codes and missing
/// answers; an encoding only translates. It encodes revisions and lease ids as the service's own
/// numbers and decodes them without an era.
pub trait StoreEncoding: Send + Sync + Debug {
    /// Encodes a read of one key.
    fn get(&self, key: &str) -> StoreRequest;
    /// Encodes a read of the keys that begin with `prefix`, starting after the key `after` if
    /// given.
    fn range(&self, prefix: &str, after: Option<&str>) -> StoreRequest;
    /// Encodes a watch that waits up to `wait` for changes after a revision.
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> StoreRequest;
    /// Encodes a transaction.
    ///
    /// # Errors
    ///
    /// If a value cannot be represented in a request.
    fn commit(&self, txn: &Txn) -> Result<StoreRequest, EncodingError>;
    /// Encodes the grant of a lease.
    fn grant_lease(&self, ttl: Duration) -> StoreRequest;
    /// Encodes the renewal of a lease.
    fn renew_lease(&self, lease: LeaseId) -> StoreRequest;
    /// Encodes the revocation of a lease.
    fn revoke_lease(&self, lease: LeaseId) -> StoreRequest;

    /// Reads the service's era from an answer's headers, if they contain it.
    fn era(&self, headers: &HeaderMap) -> Option<StoreEra>;

    /// Decodes the answer to [`get`](Self::get).
    ///
    /// # Errors
    ///
    /// If the body cannot be decoded.
    fn decode_item(&self, body: &[u8]) -> Result<Item, EncodingError>;
    /// Decodes the answer to [`range`](Self::range).
    ///
    /// # Errors
    ///
    /// If the body cannot be decoded.
    fn decode_page(&self, body: &[u8]) -> Result<Page, EncodingError>;
    /// Decodes the answer to [`watch`](Self::watch).
    ///
    /// # Errors
    ///
    /// If the body cannot be decoded.
    fn decode_changes(&self, body: &[u8]) -> Result<Changes, EncodingError>;
    /// Decodes the answer to [`commit`](Self::commit).
    ///
    /// # Errors
    ///
    /// If the body cannot be decoded.
    fn decode_revision(&self, body: &[u8]) -> Result<Revision, EncodingError>;
    /// Decodes the answer to a transaction whose conditions did not hold: the current items.
    ///
    /// # Errors
    ///
    /// If the body cannot be decoded.
    fn decode_conflict(&self, body: &[u8]) -> Result<Vec<Item>, EncodingError>;
    /// Decodes the answer to [`grant_lease`](Self::grant_lease).
    ///
    /// # Errors
    ///
    /// If the body cannot be decoded.
    fn decode_lease(&self, body: &[u8]) -> Result<LeaseGrant, EncodingError>;
}
