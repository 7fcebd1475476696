//! A request that was read completely.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header};
use http_body_util::Full;
use nutmegsail_base::{RequestId, ServiceName};
use nutmegsail_relay::{
    CallKind, Caller, PromptPrefix, RequestTraits, Route, SoftwareRule, SoftwareVersion, StreamKey,
    VersionRule,
};

use super::admission::QuotaTokens;
use super::forward::ForwardedFrom;
use super::prompt_client::PromptPermit;
use super::slot_client::SlotPermit;
use crate::{CallMeta, Dialect, SendMeta};

/// The event after which a stream is resumed, as in the standard for server-sent events.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that apply to one connection only, besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Whether a caller says that it has received events of a stream, by numbers or otherwise.
pub(super) fn has_received_events(headers: &HeaderMap) -> bool {
    let id = headers.get(LAST_EVENT_ID).map(HeaderValue::as_bytes);
    id.is_some_and(|id| !matches!(id.trim_ascii(), b"" | b"0"))
}

/// Removes the headers that apply to one connection only.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// A caller's request and what its routing depends on.
pub(crate) struct Call {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) meta: CallMeta,
    /// The caller's id for this attempt.
    pub(crate) id: RequestId,
    /// What it may have in common with others: the digest of the content is the same for every
    /// attempt.
    pub(crate) traits: RequestTraits,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Who sent it.
    pub(crate) caller: Caller,
    /// Its tokens of the team's quota.
    pub(super) tokens: QuotaTokens,
    /// The parts of its prompt, which guide the choice of an engine.
    pub(crate) prompt: PromptPrefix,
    /// The versions of the model that it may start on, as of the last choice of an upstream.
    pub(super) version: Cell<VersionRule>,
    /// Its stream, if callers may resume it.
    pub(super) stream: Option<StreamKey>,
    /// The software versions at which it may run, as of the last choice of an upstream.
    pub(super) software: RefCell<SoftwareRule>,
    /// Its concurrency slot at a plain upstream, until it is sent.
    pub(super) slot: RefCell<Option<SlotPermit>>,
    /// Its permit of the node that paces the engine's prompts, until it is sent.
    pub(super) prompt_permit: RefCell<Option<PromptPermit>>,
    /// Set if another node forwarded it.
    pub(super) forwarded: Option<ForwardedFrom>,
    /// How long the caller waited, with earlier attempts, before it sent this one.
    pub(crate) waited_before: Duration,
    /// When its head was read.
    pub(crate) began: Instant,
    /// The deadline: of the caller or the route's timeout, whichever is earlier.
    pub(crate) deadline_at: Instant,
}

impl Call {
    /// The time left until the deadline.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.deadline_at.saturating_duration_since(now)
    }

    /// The priority of the team or else of the route; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let team = self.caller.team();
        let own = team.and_then(|team| team.priority);
        own.unwrap_or(self.route.priority)
    }

    /// How long after the request began the caller gives up if no event has arrived.
    pub(crate) fn first_event_timeout(&self) -> Duration {
        let wait_limit = self.deadline_at.duration_since(self.began);
        match self.route.kind {
            CallKind::Stream { .. } => wait_limit.min(self.route.event_timeout),
            CallKind::Idempotent | CallKind::Once => wait_limit,
        }
    }

    /// The event after which the caller resumes a stream, if it names one by a number.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        let id = self.parts.headers.get(LAST_EVENT_ID)?;
        id.to_str().ok()?.trim().parse().ok()
    }

    /// The software versions at which it may run.
    pub(super) fn software(&self) -> SoftwareRule {
        self.software.borrow().clone()
    }

    /// The software version at which its stream began, if that is known.
    pub(super) fn software_bound(&self) -> Option<SoftwareVersion> {
        self.software.borrow().only().cloned()
    }

    /// Limits the software versions at which it may run.
    pub(super) fn set_software(&self, rule: SoftwareRule) {
        self.software.replace(rule);
    }

    /// Builds the request for an upstream, with method, path, query and body unchanged.
    ///
    /// With `last_event`, the upstream resumes a stream after that event.
    pub(crate) fn to_upstream(
        &self,
        dialect: &dyn Dialect,
        send: &SendMeta<'_>,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.to_send(last_event);
        dialect.write_send(request.headers_mut(), send);
        request
    }

    /// Builds the request for another node, which handles it in place of this one.
    pub(super) fn to_peer(
        &self,
        dialect: &dyn Dialect,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.to_send(last_event);
        let headers = request.headers_mut();
        dialect.write_deadline(headers, remaining);
        // The host of a request in absolute form is not in its headers.
        if let Some(host) = self.parts.uri.authority()
            && let Ok(host) = HeaderValue::from_str(host.as_str())
        {
            headers.insert(header::HOST, host);
        }
        request
    }

    fn to_send(&self, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        let mut headers = self.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        // The body is sent with its known length, however the caller framed it.
        headers.remove(header::CONTENT_LENGTH);
        if let Some(id) = last_event {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        *request.headers_mut() = headers;
        request
    }
}

/// The path and query, without scheme and host.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
