//! Answers the platform's question whether the node takes callers.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::Dialect;
use crate::shared::Shared;

/// Serves the question until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>, dialect: Arc<dyn Dialect>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors for a moment; the connection waits in the kernel's queue.
            tokio::time::sleep(crate::traffic::ACCEPT_PAUSE).await;
            continue;
        };
        let (shared, dialect) = (Arc::clone(&shared), Arc::clone(&dialect));
        let service = service_fn(move |request: Request<Incoming>| {
            let status = match request.uri().path() == dialect.ready_path() {
                false => StatusCode::NOT_FOUND,
                true if shared.is_ready() => StatusCode::OK,
                true => StatusCode::SERVICE_UNAVAILABLE,
            };
            async move {
                let mut answer = Response::new(Empty::<Bytes>::new());
                *answer.status_mut() = status;
                Ok::<_, Infallible>(answer)
            }
        });
        tokio::spawn(async move {
            // An error here is a caller that went away.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
