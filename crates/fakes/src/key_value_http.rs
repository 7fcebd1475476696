//! The key-value stand-in over HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use nutmegsail_store::{
    Change, Condition, Item, KeyValue, KeyValueError, LeaseId, Put, Revision, Txn,
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::FakeKeyValue;
use crate::http_server::{HttpReply, HttpServer, query_value, read_body, serve};

#[derive(Serialize)]
struct ItemJson {
    key: Arc<str>,
    value: String,
    revision: u64,
    lease: u64,
}

impl From<&Item> for ItemJson {
    fn from(item: &Item) -> Self {
        Self {
            key: Arc::clone(&item.key),
            value: String::from_utf8_lossy(&item.value).into_owned(),
            revision: item.revision.number(),
            lease: item.lease.number(),
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum ChangeJson {
    Put(ItemJson),
    Removed { key: Arc<str>, revision: u64 },
}

impl From<&Change> for ChangeJson {
    fn from(change: &Change) -> Self {
        match change {
            Change::Put(item) => Self::Put(item.into()),
            Change::Removed { key, revision } => Self::Removed {
                key: Arc::clone(key),
                revision: revision.number(),
            },
        }
    }
}

#[derive(Deserialize)]
struct ExpectJson {
    key: Arc<str>,
    revision: u64,
}

#[derive(Deserialize)]
struct PutJson {
    key: Arc<str>,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct TxnJson {
    expects: Vec<ExpectJson>,
    puts: Vec<PutJson>,
    removes: Vec<Arc<str>>,
}

impl From<TxnJson> for Txn {
    fn from(txn: TxnJson) -> Self {
        let expect = |expect: ExpectJson| Condition {
            key: expect.key,
            revision: Revision::without_era(expect.revision),
        };
        let put = |put: PutJson| Put {
            key: put.key,
            value: Bytes::from(put.value),
            lease: LeaseId::without_era(put.lease),
        };
        Self {
            expects: txn.expects.into_iter().map(expect).collect(),
            puts: txn.puts.into_iter().map(put).collect(),
            removes: txn.removes,
        }
    }
}

#[derive(Deserialize)]
struct LeaseJson {
    ttl_ms: u64,
}

#[derive(Serialize)]
struct CommittedJson {
    revision: u64,
}

#[derive(Serialize)]
struct ConflictJson {
    current: Vec<ItemJson>,
}

#[derive(Serialize)]
struct PageJson {
    items: Vec<ItemJson>,
    has_more: bool,
    revision: u64,
}

#[derive(Serialize)]
struct ChangesJson {
    changes: Vec<ChangeJson>,
    revision: u64,
}

#[derive(Serialize)]
struct GrantJson {
    lease: u64,
    ttl_ms: u64,
}

impl FakeKeyValue {
    /// Serves the store over HTTP.
    ///
    /// # Errors
    ///
    /// When the listener's address can't be read.
    pub fn serve_http(self: &Arc<Self>, listener: TcpListener) -> std::io::Result<HttpServer> {
        let store = Arc::clone(self);
        serve(listener, move |request| handle(Arc::clone(&store), request))
    }
}

pub(crate) async fn handle(store: Arc<FakeKeyValue>, request: Request<Incoming>) -> HttpReply {
    if store.knobs().silent {
        // Hangs until the client closes the connection.
        std::future::pending::<()>().await;
    }
    match route(&store, request).await {
        Ok(reply) => reply,
        Err(error) => error_reply(&error),
    }
}

async fn route(
    store: &FakeKeyValue,
    request: Request<Incoming>,
) -> Result<HttpReply, KeyValueError> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let query = parts.uri.query();
    match (&parts.method, path) {
        (&Method::GET, "/v1/kv/item") => get(store, query).await,
        (&Method::GET, "/v1/kv/range") => range(store, query).await,
        (&Method::GET, "/v1/kv/watch") => watch(store, query).await,
        (&Method::POST, "/v1/kv/txn") => {
            let txn: TxnJson = read_json(body).await?;
            let revision = store.commit(txn.into()).await?.number();
            Ok(ok(&CommittedJson { revision }))
        }
        (&Method::POST, "/v1/kv/lease") => {
            let lease: LeaseJson = read_json(body).await?;
            let grant = store
                .grant_lease(Duration::from_millis(lease.ttl_ms))
                .await?;
            let ttl_ms = u64::try_from(grant.ttl.as_millis()).unwrap_or(u64::MAX);
            Ok(ok(&GrantJson {
                lease: grant.lease.number(),
                ttl_ms,
            }))
        }
        (&Method::POST | &Method::DELETE, path) => lease_call(store, &parts.method, path).await,
        _ => Ok(HttpReply::status(StatusCode::NOT_FOUND)),
    }
}

async fn get(store: &FakeKeyValue, query: Option<&str>) -> Result<HttpReply, KeyValueError> {
    let key = query_value(query, "key").unwrap_or_default();
    let item = store.get(&key).await?;
    Ok(item.map_or_else(
        || HttpReply::status(StatusCode::NOT_FOUND),
        |item| ok(&ItemJson::from(&item)),
    ))
}

async fn range(store: &FakeKeyValue, query: Option<&str>) -> Result<HttpReply, KeyValueError> {
    let prefix = query_value(query, "prefix").unwrap_or_default();
    let after = query_value(query, "after").filter(|after| !after.is_empty());
    let page = store.range(&prefix, after.as_deref()).await?;
    let items: Vec<ItemJson> = page.items.iter().map(ItemJson::from).collect();
    Ok(ok(&PageJson {
        items,
        has_more: page.has_more,
        revision: page.revision.number(),
    }))
}

async fn watch(store: &FakeKeyValue, query: Option<&str>) -> Result<HttpReply, KeyValueError> {
    let prefix = query_value(query, "prefix").unwrap_or_default();
    let number = |name| {
        query_value(query, name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    let after = Revision::without_era(number("after_revision"));
    let wait = Duration::from_millis(number("wait_ms"));
    let seen = store.watch(&prefix, after, wait).await?;
    let changes: Vec<ChangeJson> = seen.changes.iter().map(ChangeJson::from).collect();
    Ok(ok(&ChangesJson {
        changes,
        revision: seen.revision.number(),
    }))
}

async fn lease_call(
    store: &FakeKeyValue,
    method: &Method,
    path: &str,
) -> Result<HttpReply, KeyValueError> {
    let rest = path.strip_prefix("/v1/kv/lease/").unwrap_or_default();
    let (id, is_keep) = match rest.strip_suffix("/keep") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    match (id.parse().map(LeaseId::without_era), method, is_keep) {
        (Ok(lease), &Method::POST, true) => store.renew_lease(lease).await?,
        (Ok(lease), &Method::DELETE, false) => store.revoke_lease(lease).await?,
        _ => return Ok(HttpReply::status(StatusCode::NOT_FOUND)),
    }
    Ok(HttpReply::status(StatusCode::OK))
}

async fn read_json<T: serde::de::DeserializeOwned>(body: Incoming) -> Result<T, KeyValueError> {
    let malformed = |why: String| KeyValueError::Malformed(why);
    let bytes = read_body(body)
        .await
        .ok_or_else(|| malformed("body cut short".into()))?;
    serde_json::from_slice(&bytes).map_err(|error| malformed(error.to_string()))
}

fn ok<T: Serialize>(body: &T) -> HttpReply {
    HttpReply::json(StatusCode::OK, body)
}

fn error_reply(error: &KeyValueError) -> HttpReply {
    match error {
        KeyValueError::Conflict { current } => {
            let current: Vec<ItemJson> = current.iter().map(ItemJson::from).collect();
            HttpReply::json(StatusCode::PRECONDITION_FAILED, &ConflictJson { current })
        }
        KeyValueError::Refused => HttpReply::status(StatusCode::TOO_MANY_REQUESTS),
        KeyValueError::Unavailable => HttpReply::status(StatusCode::SERVICE_UNAVAILABLE),
        KeyValueError::Ambiguous => HttpReply::Cut,
        KeyValueError::Compacted => HttpReply::status(StatusCode::GONE),
        KeyValueError::LeaseGone => HttpReply::status(StatusCode::NOT_FOUND),
        KeyValueError::TooLarge => HttpReply::status(StatusCode::PAYLOAD_TOO_LARGE),
        KeyValueError::Malformed(_) => HttpReply::status(StatusCode::BAD_REQUEST),
    }
}
