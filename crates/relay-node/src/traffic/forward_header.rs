//! What a node adds to a request that it forwards to another node, and to the answer.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use http::{HeaderMap, HeaderName, HeaderValue};
use nutmegsail_base::{NodeId, ResultCode, UpstreamId};
use nutmegsail_relay::{CallerKey, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// Carries a [`ForwardHeader`].
const FORWARDED: HeaderName = HeaderName::from_static("nutmegsail-forwarded");

/// The number of the result code with which the node that handled a request refused it.
const REFUSED_WITH: HeaderName = HeaderName::from_static("nutmegsail-refused-with");

/// The id of the upstream that answered a forwarded request.
const ANSWERED_BY: HeaderName = HeaderName::from_static("nutmegsail-answered-by");

/// The software version of the upstream that answered a forwarded request.
const ANSWERED_SOFTWARE: HeaderName = HeaderName::from_static("nutmegsail-answered-software");

/// The software version at which the stream of a forwarded request began.
const STREAM_SOFTWARE: HeaderName = HeaderName::from_static("nutmegsail-stream-software");

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
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let text = STANDARD_NO_PAD.encode(bytes);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(FORWARDED, value);
        }
    }

    /// Whether a node at which version `configuration` is in force may handle the request: by an older
    /// one the caller's path or key may be unknown, or lead elsewhere.
    pub(crate) fn may_be_handled_by(&self, configuration: u64) -> bool {
        configuration >= self.configuration
    }

    /// Removes it from the headers of a request; `None` if there is none that can be decoded.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(FORWARDED)?;
        let bytes = STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
        postcard::from_bytes(&bytes).ok()
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

/// Adds to the answer to a forwarded request the software version of the upstream that it is from.
pub(crate) fn write_answered_software(headers: &mut HeaderMap, software: &SoftwareVersion) {
    write_software(headers, ANSWERED_SOFTWARE, Some(software));
}

/// Removes from an answer the software version of the upstream that it is from.
pub(crate) fn take_answered_software(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    take_software(headers, ANSWERED_SOFTWARE)
}

/// Adds to a request the software version at which its stream began, in place of what its caller
/// may have sent.
pub(crate) fn write_stream_software(headers: &mut HeaderMap, software: Option<&SoftwareVersion>) {
    headers.remove(STREAM_SOFTWARE);
    write_software(headers, STREAM_SOFTWARE, software);
}

/// Removes from a request the software version at which its stream began.
pub(crate) fn take_stream_software(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    take_software(headers, STREAM_SOFTWARE)
}

/// Versions may hold any characters, so they are encoded.
fn write_software(headers: &mut HeaderMap, name: HeaderName, software: Option<&SoftwareVersion>) {
    let text = software.map(|software| STANDARD_NO_PAD.encode(software.as_str()));
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(name, value);
    }
}

fn take_software(headers: &mut HeaderMap, name: HeaderName) -> Option<SoftwareVersion> {
    let value = headers.remove(name)?;
    let bytes = STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
    Some(String::from_utf8(bytes).ok()?.as_str().into())
}

/// Removes from an answer which upstream it is from.
pub(crate) fn take_answered_by(headers: &mut HeaderMap) -> Option<UpstreamId> {
    let upstream = headers.remove(ANSWERED_BY)?;
    Some(upstream.to_str().ok()?.into())
}

#[cfg(test)]
mod tests;
