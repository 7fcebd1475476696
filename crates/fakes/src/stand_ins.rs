//! A whole set of stand-ins in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use nutmegsail_base::{Clock, FailureDomain, NodeId, SystemClock, UpstreamId};
use nutmegsail_platform::{Vm, VmDuty, VmState};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::http_server::{HttpReply, HttpServer, serve};
use crate::{
    EngineSettings, FakeEngine, FakeFleet, FakeKeyValue, FakePlainService, FakeVmList,
    FakeWeightStore, KeyValueLimits, PlainSettings, WeightStoreSettings, control, key_value_http,
    vm_list,
};

/// An engine to start.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// A plain service to start.
#[derive(Clone, Debug)]
pub struct PlainEntry {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct StandInsSettings {
    /// Where the platform listens: key-value service and VM list.
    pub platform: SocketAddr,
    /// Where knobs are turned.
    pub control: SocketAddr,
    /// Engines.
    pub engines: Vec<EngineEntry>,
    /// Plain services.
    pub plains: Vec<PlainEntry>,
    /// Entry VMs of the list; the upstreams are added to it.
    pub entry_vms: Vec<Vm>,
    /// How late the VM list is.
    pub vm_list_lag: Duration,
    /// Fixes everything random.
    pub seed: u64,
    /// Sizes and times of each engine.
    pub engine: EngineSettings,
    /// Sizes and times of each plain service.
    pub plain: PlainSettings,
    /// The weight store that the engines share.
    pub weight_store: WeightStoreSettings,
}

impl Default for StandInsSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            platform: any_port,
            control: any_port,
            engines: Vec::new(),
            plains: Vec::new(),
            entry_vms: Vec::new(),
            vm_list_lag: Duration::ZERO,
            seed: 1,
            engine: EngineSettings::default(),
            plain: PlainSettings::default(),
            weight_store: WeightStoreSettings::default(),
        }
    }
}

/// An upstream's address in [`StandInsAddresses`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UpstreamAddress {
    /// Where it listens.
    pub address: UpstreamId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// Where everything listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StandInsAddresses {
    /// The key-value service.
    pub kv: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// The engines.
    pub engines: Vec<UpstreamAddress>,
    /// The plain services.
    pub plains: Vec<UpstreamAddress>,
    /// Where knobs are turned.
    pub control: SocketAddr,
}

/// The stand-ins that [`StandIns`] runs, reached in memory.
#[derive(Clone, Debug)]
pub struct StandInsState {
    /// The key-value service.
    pub key_value: Arc<FakeKeyValue>,
    /// The VM list.
    pub vm_list: Arc<FakeVmList>,
    /// The weight store.
    pub weight_store: Arc<FakeWeightStore>,
    /// Engines and plain services.
    pub fleet: FakeFleet,
}

/// Running stand-ins. Dropping it closes every listener and connection.
#[derive(Debug)]
pub struct StandIns {
    /// Where everything listens.
    pub addresses: StandInsAddresses,
    /// The same stand-ins in memory.
    pub state: StandInsState,
    _servers: Vec<HttpServer>,
}

impl StandIns {
    /// Starts everything; it is ready once this returns.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(settings: StandInsSettings) -> std::io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let store = FakeWeightStore::new(settings.weight_store.clone(), clock.now());
        let store = Arc::new(store);
        let mut servers = Vec::new();
        let mut fleet = FakeFleet::default();
        let mut vms = settings.entry_vms.clone();
        let mut engines = Vec::new();
        for (entry, number) in settings.engines.iter().zip(1..) {
            let (listener, id) = bind(entry.address).await?;
            let seed = settings.seed.wrapping_mul(1_000).wrapping_add(number);
            let engine = FakeEngine::new(
                id.clone(),
                settings.engine.clone(),
                Arc::clone(&clock),
                Arc::clone(&store),
                seed,
            );
            engine.start_stepping();
            servers.push(engine.serve_http(listener)?);
            fleet = fleet.with_engine(engine);
            vms.push(upstream_vm(&id, &entry.failure_domain));
            engines.push(upstream_address(id, &entry.failure_domain));
        }
        let mut plains = Vec::new();
        for (entry, number) in settings.plains.iter().zip(501..) {
            let (listener, id) = bind(entry.address).await?;
            let seed = settings.seed.wrapping_mul(1_000).wrapping_add(number);
            let plain = FakePlainService::new(id.clone(), settings.plain.clone(), seed);
            servers.push(plain.serve_http(listener)?);
            fleet = fleet.with_plain(plain);
            vms.push(upstream_vm(&id, &entry.failure_domain));
            plains.push(upstream_address(id, &entry.failure_domain));
        }
        let limits = KeyValueLimits::default();
        let key_value = FakeKeyValue::new(Arc::clone(&clock), limits, settings.seed);
        let state = StandInsState {
            key_value: Arc::new(key_value),
            vm_list: Arc::new(FakeVmList::new(clock, settings.vm_list_lag, vms)),
            weight_store: store,
            fleet,
        };
        let platform = serve_platform(&state, settings.platform).await?;
        let control = control::serve_control(&state, settings.control).await?;
        let addresses = StandInsAddresses {
            kv: platform.address,
            vms: platform.address,
            engines,
            plains,
            control: control.address,
        };
        servers.extend([platform, control]);
        Ok(Self {
            addresses,
            state,
            _servers: servers,
        })
    }
}

async fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, UpstreamId)> {
    let listener = TcpListener::bind(address).await?;
    let id = UpstreamId::from(listener.local_addr()?.to_string());
    Ok((listener, id))
}

fn upstream_vm(id: &UpstreamId, failure_domain: &FailureDomain) -> Vm {
    Vm {
        id: NodeId::from(id.as_str()),
        address: id.to_string(),
        failure_domain: failure_domain.clone(),
        duty: VmDuty::Upstream,
        state: VmState::Live,
    }
}

fn upstream_address(address: UpstreamId, failure_domain: &FailureDomain) -> UpstreamAddress {
    UpstreamAddress {
        address,
        failure_domain: failure_domain.clone(),
    }
}

/// Serves the key-value service and the VM list on one address, as the platform does.
async fn serve_platform(state: &StandInsState, address: SocketAddr) -> std::io::Result<HttpServer> {
    let listener = TcpListener::bind(address).await?;
    let key_value = Arc::clone(&state.key_value);
    let vms = Arc::clone(&state.vm_list);
    serve(listener, move |request: Request<Incoming>| {
        platform_call(Arc::clone(&key_value), Arc::clone(&vms), request)
    })
}

async fn platform_call(
    key_value: Arc<FakeKeyValue>,
    vms: Arc<FakeVmList>,
    request: Request<Incoming>,
) -> HttpReply {
    if request.uri().path() == "/v1/vms" {
        vm_list::handle(vms, request).await
    } else {
        key_value_http::handle(key_value, request).await
    }
}
