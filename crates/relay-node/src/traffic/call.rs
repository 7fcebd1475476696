//! A request that was read whole.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header};
use http_body_util::Full;
use nutmegsail_base::{RequestId, ServiceName};
use nutmegsail_relay::{CallKind, Caller, PromptChain, RequestDigest, Route, VersionRule};

use super::admission::Tokens;
use super::slot_client::SlotPermit;
use crate::{CallMeta, Dialect, SendMeta};

/// After which event a stream goes on, by the standard of server-sent events.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that concern one connection only, beside those that `Connection` names.
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

/// Removes what concerns one connection only.
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

/// A caller's request with what decides its way.
pub(crate) struct Call {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) meta: CallMeta,
    /// The id that the caller gave this attempt.
    pub(crate) id: RequestId,
    /// Its content, which is the same in each attempt.
    pub(crate) digest: RequestDigest,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Who sent it.
    pub(crate) caller: Caller,
    /// What it has of its team's quota.
    pub(super) tokens: Tokens,
    /// The parts of its prompt.
    pub(crate) prompt: PromptChain,
    /// The versions of the model that it may begin on.
    pub(crate) version: VersionRule,
    /// The slot that it has at a plain upstream, until it is sent.
    pub(super) slot: RefCell<Option<SlotPermit>>,
    /// How long its caller has waited before it sent this request.
    pub(crate) waited_before: Duration,
    /// When its head was read.
    pub(crate) began: Instant,
    /// When the caller, or the route's timeout, gives it up.
    pub(crate) due: Instant,
}

impl Call {
    /// The time that is left.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }

    /// Its rank: the team's, or else the route's; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let team = self.caller.team();
        let own = team.and_then(|team| team.priority);
        own.unwrap_or(self.route.priority)
    }

    /// How long after its beginning the caller leaves without a first event.
    pub(crate) fn first_event_patience(&self) -> Duration {
        let patience = self.due.duration_since(self.began);
        match self.route.kind {
            CallKind::Stream { .. } => patience.min(self.route.event_patience),
            CallKind::Idempotent | CallKind::Once => patience,
        }
    }

    /// The request as an upstream gets it: method, path, query and body unchanged.
    ///
    /// With `last_event` the upstream goes on with a stream after that event.
    pub(crate) fn to_upstream(
        &self,
        dialect: &dyn Dialect,
        send: &SendMeta<'_>,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        let mut headers = self.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        // The body goes out with a length of its own, whichever way it came in.
        headers.remove(header::CONTENT_LENGTH);
        if let Some(id) = last_event {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        dialect.write_send(&mut headers, send);
        *request.headers_mut() = headers;
        request
    }
}

/// The path and query without scheme and host.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
