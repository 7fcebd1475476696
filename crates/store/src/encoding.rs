//! How the calls of a key-value service look on the wire.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use nutmegsail_base::StoreEra;

use crate::{Changes, Item, KeyValueError, LeaseGrant, LeaseId, Page, Revision, Txn};

/// A call as it goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// The method.
    pub method: Method,
    /// The path with its query, percent-encoded.
    pub path_and_query: String,
    /// The body; empty if the call has none.
    pub body: Bytes,
}

impl StoreRequest {
    /// A call without a body.
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

    /// The same call with a body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// Why a body could not be written or read.
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

/// Paths and bodies of one kind of key-value service.
///
/// [`HttpKeyValue`](crate::HttpKeyValue) makes the calls and knows what a status or a missing
/// answer means; an encoding only translates. It writes revisions and leases as the service's own numbers, and
/// reads them without eras.
pub trait StoreEncoding: Send + Sync + Debug {
    /// Reads one key.
    fn get(&self, key: &str) -> StoreRequest;
    /// Reads the keys that begin with `prefix`, after the key `after` if given.
    fn range(&self, prefix: &str, after: Option<&str>) -> StoreRequest;
    /// Waits for changes.
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> StoreRequest;
    /// Writes a transaction.
    ///
    /// # Errors
    ///
    /// If a value cannot be carried.
    fn commit(&self, txn: &Txn) -> Result<StoreRequest, EncodingError>;
    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> StoreRequest;
    /// Renews a lease.
    fn keep_lease(&self, lease: LeaseId) -> StoreRequest;
    /// Ends a lease.
    fn end_lease(&self, lease: LeaseId) -> StoreRequest;

    /// The service's era, if an answer tells it.
    fn era(&self, headers: &HeaderMap) -> Option<StoreEra>;

    /// The answer to [`get`](Self::get).
    ///
    /// # Errors
    ///
    /// If the body cannot be read, as for all that follow.
    fn item(&self, body: &[u8]) -> Result<Item, EncodingError>;
    /// The answer to [`range`](Self::range).
    ///
    /// # Errors
    ///
    /// If the body cannot be read.
    fn page(&self, body: &[u8]) -> Result<Page, EncodingError>;
    /// The answer to [`watch`](Self::watch).
    ///
    /// # Errors
    ///
    /// If the body cannot be read.
    fn changes(&self, body: &[u8]) -> Result<Changes, EncodingError>;
    /// The answer to [`commit`](Self::commit).
    ///
    /// # Errors
    ///
    /// If the body cannot be read.
    fn committed(&self, body: &[u8]) -> Result<Revision, EncodingError>;
    /// The items as they are, when a condition of a transaction did not hold.
    ///
    /// # Errors
    ///
    /// If the body cannot be read.
    fn conflict(&self, body: &[u8]) -> Result<Vec<Item>, EncodingError>;
    /// The answer to [`grant_lease`](Self::grant_lease).
    ///
    /// # Errors
    ///
    /// If the body cannot be read.
    fn granted(&self, body: &[u8]) -> Result<LeaseGrant, EncodingError>;
}
