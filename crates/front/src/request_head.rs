//! What the headers of a request say.

use std::net::IpAddr;
use std::time::Duration;

use http::HeaderMap;
use http::header::CONNECTION;
use nutmegsail_base::{CallName, CallerId, RequestId, ResultCode, ServiceName};
use uuid::Uuid;

use crate::request_fault::RequestFault;

/// The request's id, in requests as the caller's own part of it.
pub(crate) const REQUEST_ID: &str = "nutmegsail-request-id";
/// The adapter and version that answers.
pub(crate) const ADAPTER: &str = "nutmegsail-adapter";
/// The handle by which an answer is resumed.
pub(crate) const ANSWER: &str = "nutmegsail-answer";

const CALL: &str = "nutmegsail-call";
const CALLER: &str = "nutmegsail-caller";
const ON_BEHALF_OF: &str = "nutmegsail-on-behalf-of";
const DEADLINE: &str = "nutmegsail-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const LAST_EVENT_ID: &str = "last-event-id";
const TRACEPARENT: &str = "traceparent";

const MAX_NAME_BYTES: usize = 128;
const MAX_OWN_ID_BYTES: usize = 64;
const MAX_TRACEPARENT_BYTES: usize = 128;

/// Headers that concern one connection and are not passed on.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers of a request that hold only between the caller and this node. The last three would
/// make a lookup a confirmation at an upstream that reads them, past the check of once-only calls.
const HOP_HEADERS: [&str; 5] = [
    "content-length",
    "expect",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
];

/// What the headers of a request say to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub caller: CallerId,
    pub call: Option<CallName>,
    pub on_behalf_of: Option<ServiceName>,
    pub deadline: Option<Duration>,
    pub idempotency_key: Option<String>,
    pub last_event_id: Option<u64>,
    pub traceparent: Option<String>,
}

impl RequestHead {
    pub fn read(headers: &HeaderMap, peer: IpAddr) -> Result<Self, RequestFault> {
        let caller = name(headers, CALLER)?;
        Ok(Self {
            caller: caller.map_or_else(|| peer.to_string().into(), CallerId::from),
            call: name(headers, CALL)?.map(CallName::from),
            on_behalf_of: name(headers, ON_BEHALF_OF)?.map(ServiceName::from),
            deadline: number(headers, DEADLINE)?.map(Duration::from_millis),
            idempotency_key: name(headers, IDEMPOTENCY_KEY)?.map(str::to_owned),
            last_event_id: number(headers, LAST_EVENT_ID)?,
            traceparent: traceparent(headers),
        })
    }
}

/// Draws the id of a request. The caller's own id, if it gives one, is the first part.
///
/// Engines know a run by the request's id. Two callers who sent the same id would get each other's
/// answer on a resume, so every id ends in a new UUID.
pub(crate) fn new_request_id(headers: &HeaderMap) -> RequestId {
    let unique = Uuid::now_v7();
    match headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
    {
        Some(own) if is_own_id(own) => format!("{own}.{unique}").into(),
        _ => unique.to_string().into(),
    }
}

/// The headers of a request that are passed on to an upstream.
pub(crate) fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Leaves out the headers that concern one connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for listed in headers.get_all(CONNECTION) {
        let listed = listed.to_str().unwrap_or_default();
        for name in listed.split(',') {
            kept.remove(name.trim());
        }
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

fn is_own_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= MAX_OWN_ID_BYTES && text.bytes().all(is_allowed)
}

/// Reads a header that stands at most once and holds a short printable text.
fn name<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestFault> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "stands more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| bad_header(name, "is not printable ASCII"))?;
    if text.is_empty() {
        return Err(bad_header(name, "is empty"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(bad_header(name, "is longer than 128 bytes"));
    }
    Ok(Some(text))
}

fn number(headers: &HeaderMap, header: &str) -> Result<Option<u64>, RequestFault> {
    let Some(text) = name(headers, header)? else {
        return Ok(None);
    };
    let number = text
        .parse()
        .map_err(|_| bad_header(header, "is not a whole number"))?;
    Ok(Some(number))
}

/// Traces are a help, not a promise: one that cannot be read is left out.
fn traceparent(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(TRACEPARENT)?.to_str().ok()?;
    (text.len() <= MAX_TRACEPARENT_BYTES).then(|| text.to_owned())
}

fn bad_header(name: &str, what: &str) -> RequestFault {
    RequestFault::new(ResultCode::BadHeader, format!("`{name}` {what}"))
}
