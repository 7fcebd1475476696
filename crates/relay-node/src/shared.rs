//! What the control thread and the traffic thread tell each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};
use nutmegsail_relay::{
    AccessRules, DomainsHeard, Holdings, HoldingsTold, Limits, LoadPlace, LoadPurpose, LoadTimes,
    ModelDigest, ModelRef, Notices, Report, RouteTable, Suspects, Upstream, Versions, WantedCopies,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::clock::boot_time;
use crate::metrics::RelayMetrics;

/// Asks for loads that wait for the control thread. Each is a request that waits; more than this
/// many could not be served in time.
const WANTS_QUEUE: usize = 512;

/// What the control thread knows, swapped whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Rises with every view.
    pub(crate) number: u64,
    /// The configuration in force.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The upstreams.
    pub(crate) upstreams: Arc<[Arc<Upstream>]>,
    /// The versions that were named.
    pub(crate) versions: Arc<Versions>,
    /// Nodes that are known, this one included.
    pub(crate) nodes: usize,
    /// How long loads take.
    pub(crate) load_times: LoadTimes,
    /// Where teams' quotas are lent, the nearest in front.
    pub(crate) lenders: Arc<[SocketAddr]>,
    /// Which node hands out the slots of each plain upstream.
    pub(crate) slot_nodes: Arc<HashMap<UpstreamId, SocketAddr>>,
}

/// An adapter that a request waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Wanted {
    pub(crate) model: ModelRef,
    /// The version to bring; none for the newest.
    pub(crate) version: Option<u64>,
    /// Whether an engine that was taken to hold it turned the request away.
    pub(crate) was_turned_away: bool,
    /// What the load is for.
    pub(crate) purpose: LoadPurpose,
    /// The rank of the requests that wait for it; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// A request that waits for its adapter.
#[derive(Debug)]
pub(crate) struct Want {
    pub(crate) wanted: Wanted,
    /// Engines that could take it.
    pub(crate) engines: Vec<LoadPlace>,
    /// How many of them are to; those that hold it already are not among them.
    pub(crate) copies: usize,
    /// Told when it is there, or that it won't be. Dropped without a word if the ask was lost.
    pub(crate) ready: oneshot::Sender<Loaded>,
}

/// An engine that now holds what was wanted; nothing if none could be had.
pub(crate) type Loaded = Option<(UpstreamId, Holdings)>;

/// What this node has at one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EngineUse {
    /// Requests that were sent and have not ended.
    pub(crate) in_flight: u32,
    /// Prompt tokens that were sent and whose answers have not begun.
    pub(crate) unread_tokens: u64,
    /// Requests in flight for each adapter.
    pub(crate) models: HashMap<ModelRef, u32>,
    /// What each adapter was asked for since this was last taken.
    pub(crate) asked: HashMap<ModelRef, Asked>,
}

/// What an adapter was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Asked {
    pub(crate) requests: u32,
    pub(crate) prompt_tokens: u32,
}

/// What this node has at engines. The traffic thread writes it, the control thread tells owners.
#[derive(Debug, Default)]
pub(crate) struct Uses(Mutex<HashMap<UpstreamId, EngineUse>>);

impl Uses {
    /// Counts a request that is sent.
    pub(crate) fn begin(&self, engine: &UpstreamId, model: &ModelRef, prompt_tokens: u64) {
        let mut uses = self.lock();
        let used = uses.entry(engine.clone()).or_default();
        used.in_flight += 1;
        used.unread_tokens += prompt_tokens;
        *used.models.entry(model.clone()).or_default() += 1;
        let asked = used.asked.entry(model.clone()).or_default();
        asked.requests += 1;
        let tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        asked.prompt_tokens = asked.prompt_tokens.saturating_add(tokens);
    }

    /// Counts a prompt as read.
    pub(crate) fn read(&self, engine: &UpstreamId, prompt_tokens: u64) {
        if let Some(used) = self.lock().get_mut(engine) {
            used.unread_tokens = used.unread_tokens.saturating_sub(prompt_tokens);
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

    /// Whether this node has a request for `model` at `engine`.
    pub(crate) fn holds(&self, engine: &UpstreamId, model: &ModelRef) -> bool {
        let uses = self.lock();
        uses.get(engine)
            .is_some_and(|used| used.models.contains_key(model))
    }

    /// Requests and unread prompt tokens that this node has at `engine`.
    pub(crate) fn peek(&self, engine: &UpstreamId) -> (u32, u64) {
        let uses = self.lock();
        uses.get(engine)
            .map_or((0, 0), |used| (used.in_flight, used.unread_tokens))
    }

    /// What this node has at `engine`; what was asked counts from now on anew.
    pub(crate) fn take(&self, engine: &UpstreamId) -> EngineUse {
        let mut uses = self.lock();
        let Some(used) = uses.get_mut(engine) else {
            return EngineUse::default();
        };
        let asked = std::mem::take(&mut used.asked);
        let taken = EngineUse {
            asked,
            in_flight: used.in_flight,
            unread_tokens: used.unread_tokens,
            models: used.models.clone(),
        };
        if used.in_flight == 0 {
            uses.remove(engine);
        }
        taken
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, EngineUse>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// For how long the requests of callers for each base model take up an engine, in milliseconds. The
/// traffic thread writes it, the control thread tells the others.
#[derive(Debug, Default)]
pub(crate) struct ModelsAsked(Mutex<HashMap<ModelDigest, f32>>);

impl ModelsAsked {
    /// Counts a request.
    pub(crate) fn count(&self, model: ModelDigest, engine_ms: f32) {
        *self.lock().entry(model).or_default() += engine_ms;
    }

    /// What was asked since this was last taken.
    pub(crate) fn take(&self) -> Vec<(ModelDigest, f32)> {
        std::mem::take(&mut *self.lock()).into_iter().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ModelDigest, f32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// News of an engine from its owner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineNews {
    pub(crate) engine: UpstreamId,
    pub(crate) report: Report,
    /// What it says of the engine's holdings.
    pub(crate) holdings: HoldingsTold,
}

/// Copies that an engine's owner wants of what its engine holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CopyNews {
    pub(crate) service: ServiceName,
    pub(crate) wanted: WantedCopies,
}

/// News that the traffic thread has not taken yet.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    /// The newest of each engine.
    pub(crate) engines: HashMap<UpstreamId, EngineNews>,
    /// When failure domains were heard.
    pub(crate) domains: DomainsHeard,
    /// Copies that are wanted.
    pub(crate) copies: Vec<CopyNews>,
}

/// What owners told, on its way to the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct News(Mutex<Waiting>);

impl News {
    /// Tells when a failure domain was heard.
    pub(crate) fn put_domain(&self, domain: &FailureDomain, at: Instant) {
        self.lock().domains.note(domain, at);
    }

    /// Tells when failure domains were heard.
    pub(crate) fn put_domains(&self, domains: &DomainsHeard) {
        self.lock().domains.merge(domains);
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds copies that are wanted.
    pub(crate) fn want_copies(&self, copies: impl IntoIterator<Item = CopyNews>) {
        self.lock().copies.extend(copies);
    }

    pub(crate) fn put(&self, news: EngineNews) {
        let mut waiting = self.lock();
        let older = waiting.engines.remove(&news.engine);
        let older = older.map(|older| older.holdings).unwrap_or_default();
        let holdings = news.holdings.after(older);
        let news = EngineNews { holdings, ..news };
        waiting.engines.insert(news.engine.clone(), news);
    }

    pub(crate) fn take(&self) -> Waiting {
        std::mem::take(&mut self.lock())
    }
}

/// Whether the node takes callers.
#[derive(Clone, Copy, Debug, Default)]
struct Readiness {
    /// Whether it knows a configuration and upstreams.
    is_knowing: bool,
    is_leaving: bool,
}

/// The two threads' common ground.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) view: ArcSwap<View>,
    readiness: Mutex<Readiness>,
    pub(crate) uses: Uses,
    pub(crate) models_asked: ModelsAsked,
    pub(crate) news: News,
    suspects: Mutex<Suspects>,
    limits: Mutex<Limits>,
    notices: Mutex<Notices>,
    pub(crate) wants: mpsc::Sender<Want>,
    pub(crate) metrics: RelayMetrics,
    /// Open connections of callers.
    pub(crate) connections: AtomicUsize,
    /// When the store's last answer came, in milliseconds of the clock that counts suspension.
    pub(crate) store_answered_ms: AtomicU64,
    /// When the read was asked for that the newest view goes by, in milliseconds of the same clock; 0 before the
    /// first.
    news_asked_ms: AtomicU64,
    access: AccessRules,
}

impl Shared {
    pub(crate) fn new(
        metrics: RelayMetrics,
        access: AccessRules,
    ) -> (Arc<Self>, mpsc::Receiver<Want>) {
        let (wants, arrived) = mpsc::channel(WANTS_QUEUE);
        let shared = Self {
            view: ArcSwap::default(),
            readiness: Mutex::default(),
            uses: Uses::default(),
            models_asked: ModelsAsked::default(),
            news: News::default(),
            suspects: Mutex::default(),
            limits: Mutex::default(),
            notices: Mutex::default(),
            wants,
            metrics,
            connections: AtomicUsize::new(0),
            store_answered_ms: AtomicU64::new(0),
            news_asked_ms: AtomicU64::new(0),
            access,
        };
        (Arc::new(shared), arrived)
    }
}

impl Shared {
    /// Brings gauges up to date for a page that is asked for.
    pub(crate) fn refresh_metrics(&self) {
        let answered_ms = self.store_answered_ms.load(Ordering::Relaxed);
        let answered = (answered_ms > 0).then(|| Duration::from_millis(answered_ms));
        let age = answered.map(|at| boot_time().saturating_sub(at));
        let (refused, struck) = self.suspects().counts(Instant::now());
        self.metrics.suspects(refused, struck - refused);
        self.metrics.limited_upstreams(self.limits().count());
        let (leaving, resting) = self.notices().counts(Instant::now());
        self.metrics.notices(leaving, resting);
        self.metrics
            .asked(self.connections.load(Ordering::Relaxed), age);
    }

    /// The requests that upstreams ended under.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limits that upstreams have named.
    pub(crate) fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What upstreams have said of themselves.
    pub(crate) fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that the node knows enough to serve. It stays so while the store is away.
    pub(crate) fn note_knowing(&self) {
        self.readiness().is_knowing = true;
    }

    /// Takes in that the node shuts down.
    pub(crate) fn note_leaving(&self) {
        self.readiness().is_leaving = true;
    }

    /// Whether the node takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        let readiness = *self.readiness();
        let (age, view) = (self.news_age(), self.view.load());
        let mut table = view.table.iter();
        let knows_keys = table.all(|table| self.access.is_ready(table, age));
        readiness.is_knowing && !readiness.is_leaving && knows_keys
    }

    /// Takes in that the view goes by a read of the store that was asked for at `asked`.
    ///
    /// Told after the view: whoever looks at the age first and at the view then never takes an old view for newer.
    pub(crate) fn note_news(&self, asked: Duration) {
        let asked_ms = u64::try_from(asked.as_millis()).unwrap_or(0);
        self.news_asked_ms.fetch_max(asked_ms, Ordering::Release);
    }

    /// How old the news are that the view goes by.
    pub(crate) fn news_age(&self) -> Duration {
        let asked_ms = self.news_asked_ms.load(Ordering::Acquire);
        boot_time().saturating_sub(Duration::from_millis(asked_ms))
    }

    /// On what news keys are accepted.
    pub(crate) fn access(&self) -> AccessRules {
        self.access
    }

    fn readiness(&self) -> MutexGuard<'_, Readiness> {
        self.readiness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
