//! What a node adds to a request that it forwards to another node, and to the answer.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use http::{HeaderMap, HeaderName, HeaderValue};
use nutmegsail_base::{NodeId, ResultCode, UpstreamId};
use nutmegsail_relay::{CallerKey, SoftwareVersion, StreamOrigin};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Carries a [`ForwardHeader`].
const FORWARDED: HeaderName = HeaderName::from_static("nutmegsail-forwarded");

/// The number of the result code with which the node that handled a request refused it.
const REFUSED_WITH: HeaderName = HeaderName::from_static("nutmegsail-refused-with");

/// The id of the upstream that answered a forwarded request.
const ANSWERED_BY: HeaderName = HeaderName::from_static("nutmegsail-answered-by");

/// The software version of the upstream that answered a forwarded request.
const ANSWERED_SOFTWARE: HeaderName = HeaderName::from_static("nutmegsail-answered-software");

/// The [`StreamOrigin`] of a forwarded request.
const STREAM_ORIGIN: HeaderName = HeaderName::from_static("nutmegsail-stream-origin");

/// What the node that handles a forwarded request has to know of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardHeader {
    /// The node that forwards it.
    pub(crate) from: NodeId,
    /// The caller's API key, which is removed from the headers.
    pub(crate) key: CallerKey,
    /// How long the caller has waited, in milliseconds.
    pub(crate) waited_ms: u32,
    /// Sends that reached an upstream.
    pub(crate) arrived: u32,
    /// Sends that an upstream may have run.
    pub(crate) may_have_run: u32,
    /// The version of the configuration that is in force at the node that forwards it.
    pub(crate) configuration: u64,
}

impl ForwardHeader {
    /// Adds it to the headers of a request.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        write_encoded(headers, FORWARDED, self);
    }

    /// Whether a node at which version `configuration` is in force may handle the request: by an older
    /// one the caller's path or key may be unknown, or lead elsewhere.
    pub(crate) fn may_be_handled_by(&self, configuration: u64) -> bool {
        configuration >= self.configuration
    }

    /// Removes it from the headers of a request; `None` if there is none that can be decoded.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        take_encoded(headers, FORWARDED)
    }
}

/// Adds to the answer to a forwarded request that it is this node's own refusal.
pub(crate) fn write_refused_with(headers: &mut HeaderMap, code: ResultCode) {
    headers.insert(REFUSED_WITH, HeaderValue::from(code.number()));
}

/// Removes from an answer the code with which the other node refused the request; `None` if an
/// upstream answered.
pub(crate) fn take_refused_with(headers: &mut HeaderMap) -> Option<ResultCode> {
    let value = headers.remove(REFUSED_WITH)?;
    let number: u16 = value.to_str().ok()?.parse().ok()?;
    let mut codes = ResultCode::ALL.iter();
    codes.find(|code| code.number() == number).copied()
}

/// Adds to the answer to a forwarded request which upstream it is from.
pub(crate) fn write_answered_by(headers: &mut HeaderMap, upstream: &UpstreamId) {
    if let Ok(upstream) = HeaderValue::from_str(upstream) {
        headers.insert(ANSWERED_BY, upstream);
    }
}

/// Removes from an answer which upstream it is from.
pub(crate) fn take_answered_by(headers: &mut HeaderMap) -> Option<UpstreamId> {
    let upstream = headers.remove(ANSWERED_BY)?;
    Some(upstream.to_str().ok()?.into())
}

/// Adds to the answer to a forwarded request the software version of the upstream that it is from.
pub(crate) fn write_answered_software(headers: &mut HeaderMap, software: &SoftwareVersion) {
    write_encoded(headers, ANSWERED_SOFTWARE, software);
}

/// Removes from an answer the software version of the upstream that it is from.
pub(crate) fn take_answered_software(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    take_encoded(headers, ANSWERED_SOFTWARE)
}

/// Adds to a request where its stream began, in place of what its caller may have sent.
pub(crate) fn write_stream_origin(headers: &mut HeaderMap, origin: Option<&StreamOrigin>) {
    headers.remove(STREAM_ORIGIN);
    if let Some(origin) = origin {
        write_encoded(headers, STREAM_ORIGIN, origin);
    }
}

/// Removes from a request where its stream began.
pub(crate) fn take_stream_origin(headers: &mut HeaderMap) -> Option<StreamOrigin> {
    take_encoded(headers, STREAM_ORIGIN)
}

fn write_encoded(headers: &mut HeaderMap, name: HeaderName, value: &impl Serialize) {
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(&STANDARD_NO_PAD.encode(bytes)) {
        headers.insert(name, value);
    }
}

fn take_encoded<T: DeserializeOwned>(headers: &mut HeaderMap, name: HeaderName) -> Option<T> {
    let value = headers.remove(name)?;
    let bytes = STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
    postcard::from_bytes(&bytes).ok()
}

#[cfg(test)]
mod tests;
