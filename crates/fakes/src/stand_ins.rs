//! A whole set of stand-ins in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use nutmegsail_base::{Clock, FailureDomain, NodeId, SystemClock, UpstreamId};
use nutmegsail_store::{Vm, VmRole, VmState};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::http_server::{HttpReply, HttpServer, listen, serve};
use crate::{
    EngineSettings, FakeEngine, FakeFleet, FakeKeyValue, FakePlainService, FakeVmList,
    FakeWeightStore, KeyValueLimits, PlainSettings, WeightStoreSettings, control, key_value_http,
    vm_list,
};

/// The name of the platform's server: key-value service and VM list.
const PLATFORM: &str = "kv";

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
    _servers: Arc<BTreeMap<String, HttpServer>>,
    _control: HttpServer,
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
        let mut upstreams = Upstreams::new(&settings, Arc::clone(&clock), Arc::new(store));
        upstreams.start_engines(&settings)?;
        upstreams.start_plains(&settings)?;
        let vms = [settings.entry_vms, upstreams.vms].concat();
        let limits = KeyValueLimits::default();
        let key_value = FakeKeyValue::new(Arc::clone(&clock), limits, settings.seed);
        let state = StandInsState {
            key_value: Arc::new(key_value),
            vm_list: Arc::new(FakeVmList::new(clock, settings.vm_list_lag, vms)),
            weight_store: upstreams.store,
            fleet: upstreams.fleet,
        };
        let platform = serve_platform(&state, settings.platform)?;
        let mut servers = upstreams.servers;
        let platform_address = platform.address;
        servers.insert(PLATFORM.to_owned(), platform);
        let servers = Arc::new(servers);
        let control = control::serve_control(&state, &servers, settings.control)?;
        let addresses = StandInsAddresses {
            kv: platform_address,
            vms: platform_address,
            engines: upstreams.engines,
            plains: upstreams.plains,
            control: control.address,
        };
        Ok(Self {
            addresses,
            state,
            _servers: servers,
            _control: control,
        })
    }
}

/// Upstreams as they are started one by one.
struct Upstreams {
    clock: Arc<dyn Clock>,
    store: Arc<FakeWeightStore>,
    fleet: FakeFleet,
    vms: Vec<Vm>,
    engines: Vec<UpstreamAddress>,
    plains: Vec<UpstreamAddress>,
    servers: BTreeMap<String, HttpServer>,
    next_seed: u64,
}

impl Upstreams {
    fn new(
        settings: &StandInsSettings,
        clock: Arc<dyn Clock>,
        store: Arc<FakeWeightStore>,
    ) -> Self {
        Self {
            clock,
            store,
            fleet: FakeFleet::default(),
            vms: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            servers: BTreeMap::new(),
            next_seed: settings.seed.wrapping_mul(1_000),
        }
    }

    fn start_engines(&mut self, settings: &StandInsSettings) -> std::io::Result<()> {
        for entry in &settings.engines {
            let (listener, id) = bind(entry.address)?;
            let engine = FakeEngine::new(
                id.clone(),
                settings.engine.clone(),
                Arc::clone(&self.clock),
                Arc::clone(&self.store),
                self.draw_seed(),
            );
            engine.start_stepping();
            let server = engine.serve_http(listener)?;
            self.servers.insert(id.to_string(), server);
            self.fleet.engines.insert(id.clone(), engine);
            self.vms.push(upstream_vm(&id, &entry.failure_domain));
            self.engines
                .push(upstream_address(id, &entry.failure_domain));
        }
        Ok(())
    }

    fn start_plains(&mut self, settings: &StandInsSettings) -> std::io::Result<()> {
        for entry in &settings.plains {
            let (listener, id) = bind(entry.address)?;
            let seed = self.draw_seed();
            let plain = FakePlainService::new(id.clone(), settings.plain.clone(), seed);
            let server = plain.serve_http(listener)?;
            self.servers.insert(id.to_string(), server);
            self.fleet.plains.insert(id.clone(), plain);
            self.vms.push(upstream_vm(&id, &entry.failure_domain));
            self.plains
                .push(upstream_address(id, &entry.failure_domain));
        }
        Ok(())
    }

    fn draw_seed(&mut self) -> u64 {
        self.next_seed = self.next_seed.wrapping_add(1);
        self.next_seed
    }
}

fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, UpstreamId)> {
    let listener = listen(address)?;
    let id = UpstreamId::from(listener.local_addr()?.to_string());
    Ok((listener, id))
}

fn upstream_vm(id: &UpstreamId, failure_domain: &FailureDomain) -> Vm {
    Vm {
        id: NodeId::from(id.as_str()),
        address: id.to_string(),
        failure_domain: failure_domain.clone(),
        duty: VmRole::Upstream,
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
fn serve_platform(state: &StandInsState, address: SocketAddr) -> std::io::Result<HttpServer> {
    let listener = listen(address)?;
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
