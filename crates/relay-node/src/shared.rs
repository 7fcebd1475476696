//! The state that the control thread and the traffic thread share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use derive_more::Display;
use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};
use nutmegsail_intake::Intake;
use nutmegsail_relay::{
    AccessRules, BrittleServices, DomainContacts, ForwarderWatch, Holdings, HoldingsReport,
    KnownPace, LoadCandidate, LoadPurpose, LoadReport, LoadTimes, ModelDigest, ModelRef, Peer,
    RateLimits, RouteTable, StoreAnswer, StreamKey, Suspects, Upstream, UpstreamNotices,
    UpstreamReach, Versions, WantedCopies,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::clock::boot_time;
use crate::metrics::RelayMetrics;
use crate::paced_services::PacedServices;
use crate::stream_origins::{KnownStreams, StreamSoftware};

/// The largest number of load requests queued for the control thread. A caller's request waits for
/// each; more could not be served in time.
const LOAD_QUEUE_LIMIT: usize = 512;

/// The largest number of streams that wait to be looked up in the store.
const ORIGIN_READ_QUEUE_LIMIT: usize = 4_096;

/// What the traffic thread asks of the control thread.
#[derive(Debug)]
pub(crate) struct ControlRequests {
    pub(crate) loads: mpsc::Receiver<LoadRequest>,
    pub(crate) origin_reads: mpsc::Receiver<OriginRead>,
}

/// A snapshot of what the control thread knows, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Increases with every view.
    pub(crate) number: u64,
    /// The configuration in force.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The listed upstreams.
    pub(crate) upstreams: Arc<[Arc<Upstream>]>,
    /// The released versions of models and adapters.
    pub(crate) versions: Arc<Versions>,
    /// Number of known nodes, including this one.
    pub(crate) nodes: usize,
    /// The load times of models and adapters.
    pub(crate) load_times: LoadTimes,
    /// The nodes that lend teams' quotas, nearest first.
    pub(crate) lenders: Arc<[SocketAddr]>,
    /// The node that issues the slots of each plain upstream, and paces the prompts of each engine
    /// that streams with a longest pause go to.
    pub(crate) slot_issuers: Arc<HashMap<UpstreamId, SocketAddr>>,
    /// The other nodes that accept forwarded requests.
    pub(crate) peers: Arc<[Peer]>,
    /// Where streams may begin, for each service that a resumable route leads to.
    pub(crate) software: Arc<HashMap<ServiceName, StreamSoftware>>,
}

/// A request to the control thread to look a stream up in the store.
#[derive(Debug)]
pub(crate) struct OriginRead {
    pub(crate) key: StreamKey,
    /// The service that is to go on with the stream.
    pub(crate) service: ServiceName,
    /// Receives what the store shows. Dropped without a result if the request was lost.
    pub(crate) result: oneshot::Sender<StoreAnswer>,
}

/// A load that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct LoadSpec {
    pub(crate) model: ModelRef,
    /// The version to load; `None` for the newest.
    pub(crate) version: Option<u64>,
    /// Whether an engine that was listed as holding the adapter refused the request.
    pub(crate) was_turned_away: bool,
    /// The purpose of the load.
    pub(crate) purpose: LoadPurpose,
    /// The priority of the waiting requests; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// A request to the control thread to have an adapter loaded.
#[derive(Debug)]
pub(crate) struct LoadRequest {
    pub(crate) spec: LoadSpec,
    /// The engines that could load it.
    pub(crate) engines: Vec<LoadCandidate>,
    /// The number of engines that should load it, in addition to those that already hold it.
    pub(crate) copies: usize,
    /// Receives the result of the load. Dropped without a result if the request was lost.
    pub(crate) result: oneshot::Sender<Loaded>,
}

/// The engine that now holds the adapter, with its holdings; `None` if no engine could load it.
pub(crate) type Loaded = Option<(UpstreamId, Holdings)>;

/// This node's use of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EngineUsage {
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// Prompt tokens of the requests in flight whose answers have not begun.
    pub(crate) pending_prompt_tokens: u64,
    /// Requests in flight for each adapter.
    pub(crate) models: HashMap<ModelRef, u32>,
    /// The demand for each adapter since the last call of [`EngineUsages::take`].
    pub(crate) asked: HashMap<ModelRef, AdapterDemand>,
}

/// The demand for an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdapterDemand {
    pub(crate) requests: u32,
    pub(crate) prompt_tokens: u32,
}

/// This node's use of all engines. The traffic thread writes it, the control thread reports it to
/// the engines' owners.
#[derive(Debug, Default)]
pub(crate) struct EngineUsages(Mutex<HashMap<UpstreamId, EngineUsage>>);

impl EngineUsages {
    /// Counts a request as sent.
    pub(crate) fn begin(&self, engine: &UpstreamId, model: &ModelRef, prompt_tokens: u64) {
        let mut uses = self.lock();
        let used = uses.entry(engine.clone()).or_default();
        used.in_flight += 1;
        used.pending_prompt_tokens += prompt_tokens;
        *used.models.entry(model.clone()).or_default() += 1;
        let asked = used.asked.entry(model.clone()).or_default();
        asked.requests += 1;
        let tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        asked.prompt_tokens = asked.prompt_tokens.saturating_add(tokens);
    }

    /// Counts a prompt as processed, so that its tokens are no longer pending.
    pub(crate) fn read(&self, engine: &UpstreamId, prompt_tokens: u64) {
        if let Some(used) = self.lock().get_mut(engine) {
            used.pending_prompt_tokens = used.pending_prompt_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Counts a request as ended.
    pub(crate) fn end(&self, engine: &UpstreamId, model: &ModelRef) {
        let mut uses = self.lock();
        let Some(used) = uses.get_mut(engine) else {
            return;
        };
        used.in_flight = used.in_flight.saturating_sub(1);
        if let Some(count) = used.models.get_mut(model) {
            *count -= 1;
            if *count == 0 {
                used.models.remove(model);
            }
        }
    }

    /// Whether this node has a request for `model` in flight at `engine`.
    pub(crate) fn holds(&self, engine: &UpstreamId, model: &ModelRef) -> bool {
        let uses = self.lock();
        uses.get(engine)
            .is_some_and(|used| used.models.contains_key(model))
    }

    /// Requests in flight and pending prompt tokens of this node at `engine`.
    pub(crate) fn current_load(&self, engine: &UpstreamId) -> (u32, u64) {
        let uses = self.lock();
        uses.get(engine)
            .map_or((0, 0), |used| (used.in_flight, used.pending_prompt_tokens))
    }

    /// Returns the use of `engine` and resets the demand counts.
    pub(crate) fn take(&self, engine: &UpstreamId) -> EngineUsage {
        let mut uses = self.lock();
        let Some(used) = uses.get_mut(engine) else {
            return EngineUsage::default();
        };
        let asked = std::mem::take(&mut used.asked);
        let taken = EngineUsage {
            asked,
            in_flight: used.in_flight,
            pending_prompt_tokens: used.pending_prompt_tokens,
            models: used.models.clone(),
        };
        if used.in_flight == 0 {
            uses.remove(engine);
        }
        taken
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, EngineUsage>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The engine time, in milliseconds, that callers' requests need for each base model. The traffic
/// thread writes it, the control thread sends it to the other nodes.
#[derive(Debug, Default)]
pub(crate) struct ModelEngineTime(Mutex<HashMap<ModelDigest, f32>>);

impl ModelEngineTime {
    /// Adds a request's engine time.
    pub(crate) fn count(&self, model: ModelDigest, engine_ms: f32) {
        *self.lock().entry(model).or_default() += engine_ms;
    }

    /// Returns and resets the counts.
    pub(crate) fn take(&self) -> Vec<(ModelDigest, f32)> {
        std::mem::take(&mut *self.lock()).into_iter().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ModelDigest, f32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An update about an engine from its owner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineUpdate {
    pub(crate) engine: UpstreamId,
    pub(crate) report: LoadReport,
    /// The part of the update about the engine's holdings.
    pub(crate) holdings: HoldingsReport,
}

/// Copies of an adapter that an engine's owner asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CopyRequest {
    pub(crate) service: ServiceName,
    pub(crate) wanted: WantedCopies,
}

/// Updates that the traffic thread has not processed yet.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    /// The newest update of each engine.
    pub(crate) engines: HashMap<UpstreamId, EngineUpdate>,
    /// The last contact with each failure domain.
    pub(crate) domains: DomainContacts,
    /// The copies that owners ask for.
    pub(crate) copies: Vec<CopyRequest>,
    /// The newest pace of each engine.
    pub(crate) paces: HashMap<UpstreamId, KnownPace>,
}

/// Updates for the traffic thread from engines' owners and failure domains.
#[derive(Debug, Default)]
pub(crate) struct OwnerUpdates(Mutex<PendingUpdates>);

impl OwnerUpdates {
    /// Records a contact with a failure domain.
    pub(crate) fn record_domain_contact(&self, domain: &FailureDomain, at: Instant) {
        self.lock().domains.note(domain, at);
    }

    /// Records contacts with failure domains.
    pub(crate) fn merge_domain_contacts(&self, domains: &DomainContacts) {
        self.lock().domains.merge(domains);
    }

    fn lock(&self) -> MutexGuard<'_, PendingUpdates> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds copies that owners ask for.
    pub(crate) fn request_copies(&self, copies: impl IntoIterator<Item = CopyRequest>) {
        self.lock().copies.extend(copies);
    }

    /// Records the pace of an engine.
    pub(crate) fn put_pace(&self, engine: &UpstreamId, pace: KnownPace) {
        self.lock().paces.insert(engine.clone(), pace);
    }

    pub(crate) fn put(&self, update: EngineUpdate) {
        let mut waiting = self.lock();
        let older = waiting.engines.remove(&update.engine);
        let older = older.map(|older| older.holdings).unwrap_or_default();
        let holdings = update.holdings.after(older);
        let update = EngineUpdate { holdings, ..update };
        waiting.engines.insert(update.engine.clone(), update);
    }

    pub(crate) fn take(&self) -> PendingUpdates {
        std::mem::take(&mut self.lock())
    }
}

/// Whether the node accepts callers.
#[derive(Clone, Copy, Debug, Default)]
struct Readiness {
    /// Whether the node knows a configuration and upstreams.
    has_data: bool,
    is_leaving: bool,
}

/// Why a node does not accept callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum NotReady {
    /// It shuts down.
    #[display("the node shuts down")]
    Leaving,
    /// It knows no configuration in force, or no upstreams.
    #[display("no configuration or no upstreams are known")]
    NoData,
    /// Its configuration is too old for keys to be accepted soon.
    #[display("the configuration is old")]
    KeysOld,
}

/// The state that both threads share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) view: ArcSwap<View>,
    readiness: Mutex<Readiness>,
    pub(crate) usages: EngineUsages,
    pub(crate) model_engine_time: ModelEngineTime,
    pub(crate) owner_updates: OwnerUpdates,
    suspects: Mutex<Suspects>,
    /// Notified when other nodes should get news of suspects at once.
    pub(crate) suspects_changed: Notify,
    limits: Mutex<RateLimits>,
    notices: Mutex<UpstreamNotices>,
    reach: Mutex<UpstreamReach>,
    forwarders: Mutex<ForwarderWatch>,
    brittle: Mutex<BrittleServices>,
    pub(crate) paced: PacedServices,
    pub(crate) streams: Mutex<KnownStreams>,
    /// Notified when streams wait to be written to the store.
    pub(crate) streams_to_write: Notify,
    pub(crate) origin_reads: mpsc::Sender<OriginRead>,
    /// Number of requests in progress that other nodes have forwarded.
    pub(crate) forwarded: AtomicUsize,
    pub(crate) load_requests: mpsc::Sender<LoadRequest>,
    pub(crate) metrics: RelayMetrics,
    /// Number of open caller connections.
    pub(crate) connections: AtomicUsize,
    /// Admits connections to all listeners.
    pub(crate) intake: Intake,
    /// When the store last answered, in milliseconds of [`boot_time`].
    pub(crate) store_answered_ms: AtomicU64,
    /// When the store read behind the newest view was sent, in milliseconds of [`boot_time`]; 0
    /// before the first.
    data_asked_ms: AtomicU64,
    /// Whether the last read of the store failed.
    is_store_failing: AtomicBool,
    access: AccessRules,
}

impl Shared {
    pub(crate) fn new(
        metrics: RelayMetrics,
        access: AccessRules,
        intake: Intake,
    ) -> (Arc<Self>, ControlRequests) {
        let (load_requests, loads) = mpsc::channel(LOAD_QUEUE_LIMIT);
        let (origin_reads, reads) = mpsc::channel(ORIGIN_READ_QUEUE_LIMIT);
        let shared = Self {
            view: ArcSwap::default(),
            readiness: Mutex::default(),
            usages: EngineUsages::default(),
            model_engine_time: ModelEngineTime::default(),
            owner_updates: OwnerUpdates::default(),
            suspects: Mutex::default(),
            suspects_changed: Notify::new(),
            limits: Mutex::default(),
            notices: Mutex::default(),
            reach: Mutex::default(),
            forwarders: Mutex::default(),
            brittle: Mutex::new(BrittleServices::starting(Instant::now())),
            paced: PacedServices::default(),
            streams: Mutex::default(),
            streams_to_write: Notify::new(),
            origin_reads,
            forwarded: AtomicUsize::new(0),
            load_requests,
            metrics,
            connections: AtomicUsize::new(0),
            intake,
            store_answered_ms: AtomicU64::new(0),
            data_asked_ms: AtomicU64::new(0),
            is_store_failing: AtomicBool::new(false),
            access,
        };
        let requests = ControlRequests {
            loads,
            origin_reads: reads,
        };
        (Arc::new(shared), requests)
    }
}

impl Shared {
    /// Updates the gauges before the metrics page is rendered.
    pub(crate) fn refresh_metrics(&self) {
        let answered_ms = self.store_answered_ms.load(Ordering::Relaxed);
        let answered = (answered_ms > 0).then(|| Duration::from_millis(answered_ms));
        let age = answered.map(|at| boot_time().saturating_sub(at));
        let (refused, struck) = self.suspects().counts(Instant::now());
        self.metrics.suspects(refused, struck - refused);
        self.metrics.limited_upstreams(self.limits().count());
        let (leaving, resting) = self.notices().counts(Instant::now());
        self.metrics.notices(leaving, resting);
        let unreachable = self.reach().unreachable_count();
        self.metrics.unreachable_services(unreachable);
        self.metrics.brittle_services(self.brittle().count());
        self.metrics.kept_streams(self.streams().origins.count());
        self.metrics
            .asked(self.connections.load(Ordering::Relaxed), age);
        self.metrics.room(&self.intake.current_use());
    }

    /// The traits of requests under which upstreams crashed.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has news of suspects sent at once.
    pub(crate) fn announce_suspects(&self, suspects: &Suspects) {
        if suspects.has_news() {
            self.suspects_changed.notify_one();
        }
    }

    /// The rate limits that upstreams have stated.
    pub(crate) fn limits(&self) -> MutexGuard<'_, RateLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Upstreams' notices about themselves: leaving and backoff.
    pub(crate) fn notices(&self) -> MutexGuard<'_, UpstreamNotices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Which services' upstreams this node can reach.
    pub(crate) fn reach(&self) -> MutexGuard<'_, UpstreamReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The nodes that wait here for answers to requests that they have forwarded.
    pub(crate) fn forwarders(&self) -> MutexGuard<'_, ForwarderWatch> {
        self.forwarders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The services whose upstreams fall over if they have to refuse many requests.
    pub(crate) fn brittle(&self) -> MutexGuard<'_, BrittleServices> {
        self.brittle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the upstreams of `service` are brittle.
    pub(crate) fn is_brittle(&self, service: &ServiceName) -> bool {
        self.brittle().is_brittle(service, Instant::now())
    }

    /// Records that the node knows enough to serve callers. This holds also while the store is
    /// unavailable.
    pub(crate) fn record_data_present(&self) {
        self.readiness().has_data = true;
    }

    /// Records that the node shuts down.
    pub(crate) fn record_leaving(&self) {
        self.readiness().is_leaving = true;
    }

    /// Whether the node shuts down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.readiness().is_leaving
    }

    /// Why the node does not accept callers; `None` if it does.
    pub(crate) fn not_ready(&self) -> Option<NotReady> {
        let readiness = *self.readiness();
        let (age, view) = (self.data_age(), self.view.load());
        let mut table = view.table.iter();
        let knows_keys = table.all(|table| self.access.is_ready(table, age));
        match readiness {
            Readiness { is_leaving, .. } if is_leaving => Some(NotReady::Leaving),
            Readiness { has_data, .. } if !has_data => Some(NotReady::NoData),
            _ => (!knows_keys).then_some(NotReady::KeysOld),
        }
    }

    /// Records that the view is based on a store read that was sent at `asked`.
    ///
    /// Called after the view is published. A thread that reads the age first and the view second
    /// then never takes an old view for a newer one.
    pub(crate) fn record_data_time(&self, asked: Duration) {
        let asked_ms = u64::try_from(asked.as_millis()).unwrap_or(0);
        self.data_asked_ms.fetch_max(asked_ms, Ordering::Release);
        self.is_store_failing.store(false, Ordering::Relaxed);
    }

    /// Records that a read of the store failed.
    pub(crate) fn record_store_failed(&self) {
        self.is_store_failing.store(true, Ordering::Relaxed);
    }

    /// Whether the last read of the store failed.
    pub(crate) fn is_store_failing(&self) -> bool {
        self.is_store_failing.load(Ordering::Relaxed)
    }

    /// When the store read was sent that the view is based on, by [`boot_time`].
    pub(crate) fn data_asked(&self) -> Duration {
        Duration::from_millis(self.data_asked_ms.load(Ordering::Acquire))
    }

    /// The age of the data that the view is based on, counted from when the store read was sent.
    pub(crate) fn data_age(&self) -> Duration {
        boot_time().saturating_sub(self.data_asked())
    }

    /// The rules for accepting API keys.
    pub(crate) fn access(&self) -> AccessRules {
        self.access
    }

    fn readiness(&self) -> MutexGuard<'_, Readiness> {
        self.readiness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
