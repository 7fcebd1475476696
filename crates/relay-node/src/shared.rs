//! What the control thread and the traffic thread tell each other.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use nutmegsail_relay::{Holdings, ModelRef, RouteTable, Upstream, Versions};
use nutmegsail_base::{ServiceName, UpstreamId};
use tokio::sync::{mpsc, oneshot};

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
}

/// A request that waits for its adapter.
#[derive(Debug)]
pub(crate) struct Want {
    pub(crate) service: ServiceName,
    pub(crate) model: ModelRef,
    /// The version to bring; none for the newest.
    pub(crate) version: Option<u64>,
    /// Engines that could take it, with the time to a first event there in milliseconds.
    pub(crate) engines: Vec<(UpstreamId, f64)>,
    /// Told when it is there, or that it won't be. Dropped without a word if the ask was lost.
    pub(crate) ready: oneshot::Sender<Loaded>,
}

/// An engine that now holds what was wanted; nothing if none could be had.
pub(crate) type Loaded = Option<(UpstreamId, Holdings)>;

/// Requests that this node has at engines, by adapter, so that none of theirs is evicted.
#[derive(Debug, Default)]
pub(crate) struct InUse(Mutex<HashMap<(UpstreamId, ModelRef), u32>>);

impl InUse {
    pub(crate) fn add(&self, key: &(UpstreamId, ModelRef)) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(key.clone()).or_default() += 1;
    }

    pub(crate) fn remove(&self, key: &(UpstreamId, ModelRef)) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(key);
            }
        }
    }

    pub(crate) fn holds(&self, key: &(UpstreamId, ModelRef)) -> bool {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.contains_key(key)
    }
}

/// Requests for each adapter since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct Asked(Mutex<HashMap<ModelRef, u32>>);

impl Asked {
    pub(crate) fn add(&self, model: &ModelRef) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match counts.get_mut(model) {
            Some(count) => *count += 1,
            None => {
                counts.insert(model.clone(), 1);
            }
        }
    }

    pub(crate) fn take(&self) -> HashMap<ModelRef, u32> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
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
    pub(crate) in_use: InUse,
    pub(crate) asked: Asked,
    pub(crate) wants: mpsc::Sender<Want>,
}

impl Shared {
    pub(crate) fn new() -> (Arc<Self>, mpsc::Receiver<Want>) {
        let (wants, arrived) = mpsc::channel(WANTS_QUEUE);
        let shared = Self {
            view: ArcSwap::default(),
            readiness: Mutex::default(),
            in_use: InUse::default(),
            asked: Asked::default(),
            wants,
        };
        (Arc::new(shared), arrived)
    }
}

impl Shared {
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
        let readiness = self.readiness();
        readiness.is_knowing && !readiness.is_leaving
    }

    fn readiness(&self) -> std::sync::MutexGuard<'_, Readiness> {
        self.readiness.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
