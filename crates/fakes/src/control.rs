//! The control address of the stand-ins' process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use nutmegsail_base::{AdapterRef, UpstreamId};
use nutmegsail_store::{Vm, VmState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::http_server::{HttpReply, HttpServer, listen, read_body, serve};
use crate::stand_ins::StandInsState;
use crate::{CallCounts, Knobs};

/// The targets that are not addresses.
const KEY_VALUE: &str = "kv";
const VM_LIST: &str = "vms";
const WEIGHT_STORE: &str = "weights";

/// Sets the failures that one stand-in shows; those not named are turned off.
///
/// ```
/// let text = r#"{"target":"kv","outage":true}"#;
/// let order: nutmegsail_fakes::KnobsOrder = serde_json::from_str(text)?;
/// assert!(order.knobs.outage);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnobsOrder {
    /// `kv`, `vms`, `weights` or an upstream's `host:port`.
    pub target: String,
    /// The failures.
    #[serde(flatten)]
    pub knobs: Knobs,
}

/// Something done once to one stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlOrder {
    /// `kv`, `vms` or an upstream's `host:port`.
    pub target: String,
    /// For `preload`: the adapter.
    #[serde(default)]
    pub adapter: Option<String>,
}

#[derive(Deserialize)]
struct VmsJson {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct VmStateJson {
    id: String,
    state: Option<VmState>,
}

#[derive(Serialize)]
struct CountsJson {
    kv: CallCounts,
    loads_begun: u64,
    loads_refused: u64,
}

pub(crate) fn serve_control(
    state: &StandInsState,
    servers: &Arc<BTreeMap<String, HttpServer>>,
    address: SocketAddr,
) -> std::io::Result<HttpServer> {
    let listener = listen(address)?;
    let state = state.clone();
    let servers = Arc::clone(servers);
    serve(listener, move |request| {
        handle(state.clone(), Arc::clone(&servers), request)
    })
}

async fn handle(
    state: StandInsState,
    servers: Arc<BTreeMap<String, HttpServer>>,
    request: Request<Incoming>,
) -> HttpReply {
    let (parts, body) = request.into_parts();
    let Some(body) = read_body(body).await else {
        return HttpReply::Cut;
    };
    let status = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/counts") => return counts(&state),
        (&Method::GET, "/v1/ledger") => return ledgers(&state),
        (&Method::POST, "/v1/knobs") => on_json(&body, |order| set_knobs(&state, order)),
        (&Method::POST, "/v1/vms") => on_json(&body, |list: VmsJson| {
            state.vm_list.set(list.vms);
            true
        }),
        (&Method::POST, "/v1/vm") => on_json(&body, |vm: VmStateJson| {
            state.vm_list.set_state(&vm.id, vm.state);
            true
        }),
        (&Method::POST, "/v1/close") => on_json(&body, |order: ControlOrder| {
            servers.get(&order.target).map(HttpServer::close).is_some()
        }),
        (&Method::POST, "/v1/open") => on_json(&body, |order: ControlOrder| {
            servers.get(&order.target).map(HttpServer::open).is_some()
        }),
        (&Method::POST, action) => on_json(&body, |order| act(&state, action, &order)),
        _ => StatusCode::NOT_FOUND,
    };
    HttpReply::status(status)
}

/// Runs `action` on the body; 404 if it found nothing to act on.
fn on_json<T: DeserializeOwned>(body: &[u8], action: impl FnOnce(T) -> bool) -> StatusCode {
    let Ok(order) = serde_json::from_slice(body) else {
        return StatusCode::BAD_REQUEST;
    };
    if action(order) {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    }
}

fn set_knobs(state: &StandInsState, order: KnobsOrder) -> bool {
    let target = UpstreamId::from(order.target);
    match target.as_str() {
        KEY_VALUE => state.key_value.set_knobs(order.knobs),
        VM_LIST => state.vm_list.set_knobs(order.knobs),
        WEIGHT_STORE => state.weight_store.set_knobs(order.knobs),
        _ => {
            if let Some(engine) = state.fleet.engines.get(&target) {
                engine.set_knobs(order.knobs);
            } else if let Some(plain) = state.fleet.plains.get(&target) {
                plain.set_knobs(order.knobs);
            } else {
                return false;
            }
        }
    }
    true
}

fn act(state: &StandInsState, action: &str, order: &ControlOrder) -> bool {
    if order.target == KEY_VALUE {
        return act_on_key_value(state, action);
    }
    let target = UpstreamId::from(order.target.as_str());
    if let Some(plain) = state.fleet.plains.get(&target) {
        let is_known = action == "/v1/restart";
        if is_known {
            plain.restart();
        }
        return is_known;
    }
    let Some(engine) = state.fleet.engines.get(&target) else {
        return false;
    };
    let adapter = order.adapter.as_deref().map(str::parse::<AdapterRef>);
    match (action, adapter) {
        ("/v1/restart", _) => engine.restart(),
        ("/v1/cut", _) => engine.cut_connections(),
        ("/v1/preload", Some(Ok(adapter))) => engine.preload(adapter),
        _ => return false,
    }
    true
}

fn act_on_key_value(state: &StandInsState, action: &str) -> bool {
    match action {
        "/v1/copy" => state.key_value.take_copy(),
        "/v1/restore" => state.key_value.restore_copy(),
        "/v1/forget" => state.key_value.forget_history(),
        _ => return false,
    }
    true
}

fn counts(state: &StandInsState) -> HttpReply {
    let counts = CountsJson {
        kv: state.key_value.counts(),
        loads_begun: state.weight_store.begun(),
        loads_refused: state.weight_store.refused(),
    };
    HttpReply::json(StatusCode::OK, &counts)
}

/// Every upstream's ledger by address.
fn ledgers(state: &StandInsState) -> HttpReply {
    let engines = state.fleet.engines.values();
    let plains = state.fleet.plains.values();
    let ledgers: BTreeMap<_, _> = engines
        .map(|engine| (engine.id().clone(), engine.ledger()))
        .chain(plains.map(|plain| (plain.id().clone(), plain.ledger())))
        .collect();
    HttpReply::json(StatusCode::OK, &ledgers)
}
