//! HTTP requests between nodes: loads that an engine's owner carries out for other nodes, and store
//! changes that a node reads for others.
//!
//! These requests have answers that the sender waits for, and it must notice when none will come,
//! so they use pooled HTTP connections like all other calls.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegsail_base::UpstreamId;
use nutmegsail_http_pool::{Remote, prepare_socket};
use nutmegsail_intake::{
    BodyLimits, CONNECTION_BYTES, ConnectionAccount, CurrentUse, ListenerKind, collect_body,
};
use nutmegsail_relay::Holdings;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::control_state::ControlState;
use super::load_failure::LoadFailure;
use super::loader::Loader;
use super::owner_loads::load_into_owned;
use super::store_reader::CHANGES_PATH;
use crate::shared::LoadSpec;

/// The path of load requests.
const LOADS_PATH: &str = "/loads";

/// The largest accepted request body, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// How long the body of a request may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest head of a request. Paths name changes that the sender has.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How long a connection may be idle, and a head may take to arrive. Other nodes close theirs earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Asks an engine's owner to load an adapter into it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerLoadRequest {
    pub(crate) engine: UpstreamId,
    pub(crate) wanted: LoadSpec,
    /// Whether the engine held the adapter a while ago, as far as the sender knows.
    pub(crate) is_recent: bool,
}

impl OwnerLoadRequest {
    /// Sends the request; returns the engine's holdings once the adapter is loaded.
    pub(crate) async fn send(
        &self,
        control: &ControlState,
        owner: SocketAddr,
        limit: Duration,
    ) -> Result<Holdings, LoadFailure> {
        let answer = self.call(control, owner, limit).await;
        answer.unwrap_or(Err(LoadFailure::NoOwnerAnswer))
    }

    async fn call(
        &self,
        control: &ControlState,
        owner: SocketAddr,
        limit: Duration,
    ) -> Option<Result<Holdings, LoadFailure>> {
        let body = serde_json::to_vec(self).ok()?;
        let request = Request::post(LOADS_PATH)
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let answer = control.call(&owner.to_string(), request, limit).await?;
        serde_json::from_slice(answer.body()).ok()
    }
}

/// Serves other nodes forever.
pub(crate) async fn serve(listener: TcpListener, loader: Rc<Loader>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(crate::traffic::ACCEPT_PAUSE).await;
            continue;
        };
        let intake = &loader.control.shared.intake;
        let Some(account) = intake.admit(ListenerKind::Nodes, CONNECTION_BYTES).await else {
            continue;
        };
        prepare_socket(&stream, Remote::Server);
        let loader = Rc::clone(&loader);
        let held = Arc::clone(&account);
        let service =
            service_fn(move |request| answer(Rc::clone(&loader), Arc::clone(&held), request));
        spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // An error means that the other node went away; it will ask again on another
                // connection.
                _ = connection => {}
                () = account.evicted() => {}
            }
        });
    }
}

async fn answer(
    loader: Rc<Loader>,
    account: Arc<ConnectionAccount>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    account.set_use(CurrentUse::InProgress);
    let mut answer = Response::new(Full::default());
    let path = request.uri().path();
    let body = match path == LOADS_PATH {
        true => load(&loader, &account, request).await,
        false if path.starts_with(CHANGES_PATH) => loader.control.serve_changes(path).await,
        false => Err(StatusCode::NOT_FOUND),
    };
    match body {
        Ok(body) => *answer.body_mut() = Full::new(body),
        Err(status) => *answer.status_mut() = status,
    }
    account.set_use(CurrentUse::Idle);
    Ok(answer)
}

async fn load(
    loader: &Loader,
    account: &Arc<ConnectionAccount>,
    request: Request<Incoming>,
) -> Result<Bytes, StatusCode> {
    let limits = BodyLimits {
        bytes: BODY_LIMIT_BYTES,
        whole: BODY_TIMEOUT,
        gap: BODY_TIMEOUT,
    };
    let body = collect_body(&mut request.into_body(), account, &limits).await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?;
    let load_request: OwnerLoadRequest =
        serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    loader.control.add_demand(&load_request.wanted.model, 1.0);
    let loaded = match loader.control.owned(&load_request.engine) {
        Some(engine) => {
            load_into_owned(
                &loader.control,
                &engine,
                &load_request.wanted,
                load_request.is_recent,
            )
            .await
        }
        None => Err(LoadFailure::NotOwned),
    };
    let body = serde_json::to_vec(&loaded).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(body.into())
}
