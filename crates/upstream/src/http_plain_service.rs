//! A plain service over HTTP.

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use nutmegsail_base::UpstreamId;
use nutmegsail_http_pool::{Framing, Pool, PooledBody};

use crate::answer_body::{discard, next_chunk};
use crate::http_engine::{head_within, millis};
use crate::refusal::Refusal;
use crate::{
    PlainBody, PlainRequest, PlainResponse, PlainService, UpstreamError, UpstreamSettings,
};

/// Headers that concern one connection, or that are written anew for it.
const CONNECTION_HEADERS: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// [`PlainService`] over HTTP/1.1. Each call goes out at most once, whatever its method.
///
/// ```
/// use nutmegsail_upstream::{HttpPlainService, UpstreamSettings};
/// let service = HttpPlainService::new(UpstreamSettings::default());
/// assert!(format!("{service:?}").starts_with("HttpPlainService"));
/// ```
#[derive(Clone, Debug)]
pub struct HttpPlainService {
    settings: UpstreamSettings,
    calls: Pool,
    control: Pool,
}

impl HttpPlainService {
    /// A client of every plain service. Nothing is sent yet.
    pub fn new(settings: UpstreamSettings) -> Self {
        Self {
            calls: Pool::new(settings.pool(settings.urgent_connections)),
            control: Pool::new(settings.pool(settings.urgent_connections)),
            settings,
        }
    }
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(
        &self,
        upstream: &UpstreamId,
        request: PlainRequest,
    ) -> Result<PlainResponse, UpstreamError> {
        let deadline = request.deadline;
        let sent = self.calls.send(upstream, http_request(request)?);
        let answer = head_within(deadline, sent).await?;
        if let Some(refusal) = Refusal::of(answer.status(), answer.headers()) {
            discard(answer.into_body()).await;
            return Err(match refusal {
                Refusal::Leaving => UpstreamError::Leaving,
                Refusal::Full | Refusal::AdapterAbsent => UpstreamError::Full,
            });
        }
        let (head, body) = answer.into_parts();
        Ok(PlainResponse {
            status: head.status.as_u16(),
            headers: without_connection_headers(head.headers),
            ends_with_connection: body.framing() == Framing::Close,
            body: chunks(body, self.settings.silence_timeout),
        })
    }

    async fn is_ready(&self, upstream: &UpstreamId) -> Result<bool, UpstreamError> {
        let request = Request::get("/healthz")
            .body(Full::default())
            .map_err(|_| UpstreamError::Unreachable)?;
        let sent = self.control.send(upstream, request);
        let answer = head_within(self.settings.control_timeout, sent).await?;
        let status = answer.status();
        discard(answer.into_body()).await;
        match status {
            status if status.is_success() => Ok(true),
            StatusCode::SERVICE_UNAVAILABLE => Ok(false),
            status => Err(UpstreamError::Failed {
                status: status.as_u16(),
            }),
        }
    }
}

fn http_request(request: PlainRequest) -> Result<Request<Full<Bytes>>, UpstreamError> {
    // What cannot be written as HTTP was not sent.
    let request_id =
        HeaderValue::from_str(request.request.as_str()).map_err(|_| UpstreamError::Unreachable)?;
    let mut headers = without_connection_headers(request.headers);
    headers.insert("x-request-id", request_id);
    headers.insert("x-deadline-ms", millis(request.deadline).into());
    let mut http = Request::builder()
        .method(request.method)
        .uri(request.path)
        .body(Full::new(request.body))
        .map_err(|_| UpstreamError::Unreachable)?;
    *http.headers_mut() = headers;
    Ok(http)
}

/// Drops what concerns one connection, with the headers that `connection` names.
fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers
}

/// The body as it arrives. One that is shorter than announced ends with an error.
fn chunks(body: PooledBody, silence_timeout: std::time::Duration) -> PlainBody {
    stream::unfold(Some(body), move |body| async move {
        let mut body = body?;
        match next_chunk(&mut body, silence_timeout).await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(body))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
    .boxed()
}
