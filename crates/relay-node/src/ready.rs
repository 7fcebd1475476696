//! HTTP pages for the platform: readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegsail_http_pool::{Remote, prepare_socket};
use nutmegsail_intake::{CurrentUse, Intake, ListenerKind};
use nutmegsail_telemetry::{Event, MetricsPage, log_event};
use slog::Logger;
use tokio::net::TcpListener;

use crate::Dialect;
use crate::shared::Shared;

/// The path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// How long a connection may be idle, and a head may take to arrive.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// What a connection holds: its buffers, and a page that is not read.
const PAGE_BYTES: usize = 128 * 1024;

/// Serves the readiness page until the task is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    dialect: Arc<dyn Dialect>,
    log: Logger,
) {
    let was_ready = AtomicBool::new(false);
    let intake = shared.intake.clone();
    let answer = move |path: &str| {
        if path != dialect.ready_path() {
            return with_status(StatusCode::NOT_FOUND);
        }
        let not_ready = shared.not_ready();
        if was_ready.swap(not_ready.is_none(), Ordering::Relaxed) != not_ready.is_none() {
            log_event!(
                log, Event::ReadinessChanged,
                "ready" => not_ready.is_none(),
                "why" => not_ready.map(|why| why.to_string()),
                "config_age_ms" => shared.data_age().as_millis()
            );
        }
        with_status(match not_ready {
            None => StatusCode::OK,
            Some(_) => StatusCode::SERVICE_UNAVAILABLE,
        })
    };
    serve_pages(listener, intake, answer).await;
}

/// Serves the metrics page until the task is dropped.
pub(crate) async fn serve_metrics(listener: TcpListener, page: MetricsPage, shared: Arc<Shared>) {
    let intake = shared.intake.clone();
    let answer = move |path: &str| {
        if path != METRICS_PATH {
            return with_status(StatusCode::NOT_FOUND);
        }
        shared.refresh_metrics();
        let Ok(text) = page.render() else {
            return with_status(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let mut answer = Response::new(Full::new(Bytes::from(text)));
        let text_type = HeaderValue::from_static(METRICS_TYPE);
        answer.headers_mut().insert(CONTENT_TYPE, text_type);
        answer
    };
    serve_pages(listener, intake, answer).await;
}

fn with_status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn serve_pages(
    listener: TcpListener,
    intake: Intake,
    answer: impl Fn(&str) -> Response<Full<Bytes>> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors for a moment; the connection waits in the kernel's queue.
            tokio::time::sleep(crate::traffic::ACCEPT_PAUSE).await;
            continue;
        };
        let Some(account) = intake.admit(ListenerKind::Pages, PAGE_BYTES).await else {
            continue;
        };
        // The oldest ones give way, whatever they do.
        account.set_use(CurrentUse::Unfinished);
        prepare_socket(&stream, Remote::Caller);
        let answer = Arc::clone(&answer);
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = answer(request.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PAGE_IDLE_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // An error means that the client disconnected.
                _ = connection => {}
                () = account.evicted() => {}
            }
        });
    }
}
