//! The stand-in for a plain service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use nutmegsail_base::{Incarnation, RequestId, UpstreamId};
use nutmegsail_upstream::{PlainRequest, PlainResponse, PlainService, UpstreamError};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::http_server::{HttpReply, HttpServer, full_body, header, read_body, serve};
use crate::knobs::happens;
use crate::{Knobs, Ledger};

/// How long a caller in memory waits on a silent service before it gives up.
const GIVES_UP_AFTER: Duration = Duration::from_secs(5);
/// Incarnations stay below this, so that every JSON reader keeps them exact.
const INCARNATION_LIMIT: u64 = 1 << 53;

/// Sizes and times of a [`FakePlainService`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlainSettings {
    /// How long one call takes.
    pub work: Duration,
    /// Calls that run at a time.
    pub slots: usize,
    /// Calls that may wait; more are refused as full.
    pub queue_slots: usize,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(5),
            slots: 64,
            queue_slots: 256,
        }
    }
}

#[derive(Debug)]
struct PlainState {
    knobs: Knobs,
    ledger: Ledger,
    incarnation: Incarnation,
    queued: usize,
    /// Calls that arrived while the service was silent.
    unanswered: usize,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct PlainShared {
    id: UpstreamId,
    settings: PlainSettings,
    slots: Semaphore,
    state: Mutex<PlainState>,
}

/// A plain service that takes any path. Clones share one state.
///
/// Its ledger counts how often each request id and each `idempotency-key` ran.
#[derive(Clone, Debug)]
pub struct FakePlainService {
    shared: Arc<PlainShared>,
}

/// A place in the queue, given back when the wait ends or its caller goes away.
struct QueuePlace<'a>(&'a FakePlainService);

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.lock().queued -= 1;
    }
}

/// What a call that ran answers.
struct Answer {
    incarnation: Incarnation,
    json: Bytes,
}

#[derive(Serialize)]
struct AnswerJson<'a> {
    request: &'a RequestId,
    path: &'a str,
    /// Which run of this request id it is; a second one is a fault of whoever sent it.
    run: u32,
    body_bytes: usize,
}

impl FakePlainService {
    /// An idle service.
    pub fn new(id: impl Into<UpstreamId>, settings: PlainSettings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = PlainState {
            knobs: Knobs::default(),
            ledger: Ledger::default(),
            incarnation: Incarnation(rng.random_range(1..INCARNATION_LIMIT)),
            queued: 0,
            unanswered: 0,
            rng,
        };
        let shared = PlainShared {
            id: id.into(),
            slots: Semaphore::new(settings.slots),
            settings,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The service's address.
    pub fn id(&self) -> &UpstreamId {
        &self.shared.id
    }

    /// Replaces the failures to show.
    pub fn set_knobs(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
    }

    /// The failures being shown.
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs.clone()
    }

    /// Calls that arrived while the service was silent, and got no answer.
    pub fn unanswered_calls(&self) -> usize {
        self.lock().unanswered
    }

    /// What has run so far.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Restarts: a new incarnation, and the answers of calls under way are lost.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.incarnation = Incarnation(state.rng.random_range(1..INCARNATION_LIMIT));
    }

    /// Serves the service over HTTP.
    ///
    /// # Errors
    ///
    /// When the listener's address can't be read.
    pub fn serve_http(&self, listener: TcpListener) -> std::io::Result<HttpServer> {
        let service = self.clone();
        serve(listener, move |request| handle(service.clone(), request))
    }

    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn travel(&self) -> Result<(), UpstreamError> {
        let knobs = self.knobs();
        if knobs.outage {
            return Err(UpstreamError::Unreachable);
        }
        if knobs.silent {
            tokio::time::sleep(GIVES_UP_AFTER).await;
            return Err(UpstreamError::Broken);
        }
        if knobs.delay_ms > 0 {
            tokio::time::sleep(knobs.delay()).await;
        }
        Ok(())
    }

    fn enter_queue(&self) -> Result<QueuePlace<'_>, UpstreamError> {
        let mut state = self.lock();
        if state.knobs.leaving {
            return Err(UpstreamError::Leaving);
        }
        let has_slot = self.shared.slots.available_permits() > 0;
        let is_full = !has_slot && state.queued >= self.shared.settings.queue_slots;
        if state.knobs.full || is_full {
            return Err(UpstreamError::Full);
        }
        let share = state.knobs.broken_share;
        if happens(&mut state.rng, share) {
            return Err(UpstreamError::Broken);
        }
        state.queued += 1;
        Ok(QueuePlace(self))
    }

    async fn run(
        &self,
        request: &RequestId,
        path: &str,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<Answer, UpstreamError> {
        let place = self.enter_queue()?;
        let permit = self.shared.slots.acquire().await;
        let _permit = permit.map_err(|_| UpstreamError::Broken)?;
        drop(place);
        let key = header(headers, "idempotency-key");
        let (incarnation, run) = {
            let mut state = self.lock();
            state.ledger.record_plain_run(request, key);
            (state.incarnation, state.ledger.runs_of(request))
        };
        tokio::time::sleep(self.shared.settings.work).await;
        let mut state = self.lock();
        let share = state.knobs.lost_answer_share;
        let is_lost = happens(&mut state.rng, share) || state.incarnation != incarnation;
        if is_lost {
            return Err(UpstreamError::Broken);
        }
        let answer = AnswerJson {
            request,
            path,
            run,
            body_bytes: body.len(),
        };
        Ok(Answer {
            incarnation,
            json: Bytes::from(serde_json::to_vec(&answer).unwrap_or_default()),
        })
    }
}

fn answer_headers(request: &RequestId, incarnation: Incarnation) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    headers.insert("x-incarnation", HeaderValue::from(incarnation.0));
    if let Ok(request) = HeaderValue::from_str(request) {
        headers.insert("x-request-id", request);
    }
    headers
}

async fn handle(service: FakePlainService, request: Request<Incoming>) -> HttpReply {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/v1/ledger" {
        return HttpReply::json(StatusCode::OK, &service.ledger());
    }
    let knobs = service.knobs();
    if knobs.outage {
        return HttpReply::Cut;
    }
    if knobs.silent {
        if parts.uri.path() != "/healthz" {
            service.lock().unanswered += 1;
        }
        // Hangs until the client closes the connection.
        std::future::pending::<()>().await;
    }
    if knobs.delay_ms > 0 {
        tokio::time::sleep(knobs.delay()).await;
    }
    if parts.uri.path() == "/healthz" {
        return if knobs.leaving {
            HttpReply::status(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            HttpReply::status(StatusCode::OK)
        };
    }
    let Some(body) = read_body(body).await else {
        return HttpReply::Cut;
    };
    let id = RequestId::from(header(&parts.headers, "x-request-id").unwrap_or("unnamed"));
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    match service.run(&id, path, &parts.headers, &body).await {
        Ok(answer) => {
            let mut response = http::Response::new(full_body(answer.json));
            *response.headers_mut() = answer_headers(&id, answer.incarnation);
            HttpReply::Answer(response)
        }
        Err(UpstreamError::Full) => HttpReply::not_run("full"),
        Err(UpstreamError::Leaving) => HttpReply::not_run("leaving"),
        Err(_) => HttpReply::Cut,
    }
}

#[async_trait]
impl PlainService for FakePlainService {
    async fn call(
        &self,
        upstream: &UpstreamId,
        request: PlainRequest,
    ) -> Result<PlainResponse, UpstreamError> {
        if upstream != self.id() {
            return Err(UpstreamError::Unreachable);
        }
        self.travel().await?;
        let answer = self
            .run(
                &request.request,
                &request.path,
                &request.headers,
                &request.body,
            )
            .await?;
        let body = futures_util::stream::iter([Ok(answer.json)]);
        Ok(PlainResponse {
            status: 200,
            headers: answer_headers(&request.request, answer.incarnation),
            ends_with_connection: false,
            body: body.boxed(),
        })
    }

    async fn is_ready(&self, upstream: &UpstreamId) -> Result<bool, UpstreamError> {
        if upstream != self.id() {
            return Err(UpstreamError::Unreachable);
        }
        self.travel().await?;
        Ok(!self.knobs().leaving)
    }
}
