//! A running node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use nutmegsail_base::{Clock, Incarnation, ResultCode};
use nutmegsail_front::{Front, FrontError};
use nutmegsail_idempotency::Ticket;
use nutmegsail_membership::MembershipEvent;
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_wire::{Link, WireError};
use slog::Logger;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::claims_keeper::{AskUnsettled, TakeForwards};
use crate::control::{Control, ControlParts};
use crate::forwards::{FORWARDS_QUEUE, Forwards};
use crate::gauges::Gauges;
use crate::generation::Generations;
use crate::peers::Told;
use crate::plain_calls::PlainCalls;
use crate::serving::Serving;
use crate::{NodeSettings, Outside};

/// Why a node did not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener for callers or operators could not be opened.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// The link to other nodes could not be opened.
    #[error(transparent)]
    Link(#[from] WireError),
    /// The control thread could not be started.
    #[error("the control thread could not be started: {0}")]
    Control(std::io::Error),
}

impl NodeError {
    /// The numbered result for operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Front(error) => error.code(),
            Self::Link(error) => error.code(),
            Self::Control(_) => ResultCode::Internal,
        }
    }
}

/// How long a shutdown waits before it looks again whether everything has finished.
const DRAIN_STEP: Duration = Duration::from_secs(5);

/// How long a shutdown waits for the store to take the outcomes of once-only calls. Without them
/// repeats are told "may have run", which is safe.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// How often a shutdown looks whether the store has taken them.
const SETTLE_STEP: Duration = Duration::from_millis(20);

/// A running node. Its actors run on a thread of their own; its callers are served on the runtime
/// that [`Node::start`] was called in.
pub struct Node {
    front: Arc<Front>,
    control: Control,
    link: Arc<Link>,
    is_leaving: Arc<AtomicBool>,
    drain: CancellationToken,
    once_only: TaskTracker,
    shutdown_limit: Option<Duration>,
    stop_control: CancellationToken,
    log: Logger,
}

impl Node {
    /// Opens the node's sockets and starts its actors.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if an address cannot be listened on or the control thread cannot start.
    pub async fn start(
        settings: NodeSettings,
        outside: Outside,
        log: Logger,
    ) -> Result<Self, NodeError> {
        let outside = outside.observed();
        let incarnation = incarnation(&*outside.clock);
        log_event!(
            log, Event::NodeStarted,
            "node" => settings.node.to_string(), "incarnation" => incarnation.0
        );
        let address = settings.nodes_address.to_string();
        let (link, arrivals) = Link::bind(&address, settings.node.clone(), incarnation)?;
        let link = Arc::new(link);
        let in_force = Arc::new(ArcSwapOption::empty());
        let stop_control = CancellationToken::new();
        let parts = ControlParts {
            settings: settings.clone(),
            outside: outside.clone(),
            incarnation,
            link: Arc::clone(&link),
            arrivals,
            in_force: Arc::clone(&in_force),
            log: log.clone(),
        };
        let control = start_control(parts, stop_control.clone()).await?;
        let is_leaving = Arc::new(AtomicBool::new(false));
        let drain = CancellationToken::new();
        let once_only = TaskTracker::new();
        let ticket = Ticket {
            node: settings.node.clone(),
            incarnation,
        };
        let plain_calls = plain_calls(&control, &outside, ticket, once_only.clone());
        take_forwards(&control, plain_calls.clone()).await;
        let serving = Serving {
            in_force: Arc::clone(&in_force),
            is_leaving: Arc::clone(&is_leaving),
            drain: drain.clone(),
            generations: generations(&control, &outside),
            plain_calls,
            dispatcher: control.dispatcher.clone(),
            peers: control.peers.clone(),
            clock: Arc::clone(&outside.clock),
            measures: outside.measures.clone(),
        };
        let front = Front::bind(settings.front.clone(), Arc::new(serving), log.clone()).await?;
        let front = Arc::new(front);
        let gauges = Gauges {
            metrics: outside.measures.metrics.clone(),
            in_force,
            link: Arc::clone(&link),
            front: Arc::downgrade(&front),
        };
        tokio::spawn(gauges.run(stop_control.clone()));
        let limit = Duration::from_millis(settings.control.shutdown_limit_ms);
        let shutdown_limit = (!limit.is_zero()).then_some(limit);
        let node = Self {
            front,
            control,
            link,
            is_leaving,
            drain,
            once_only,
            shutdown_limit,
            stop_control,
            log,
        };
        node.tell_own_state(true, false).await;
        Ok(node)
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.front.callers_address()
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.front.operators_address()
    }

    /// Where other nodes connect.
    pub fn nodes_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Returns when an operator asks the node to drain.
    pub async fn drain_asked(&self) {
        self.drain.cancelled().await;
    }

    /// Leaves: not ready first, then no new connections, then everything in progress to its end,
    /// then pins, engines and claims back. Cuts nothing off, unless the settings set a limit.
    pub async fn shutdown(self) {
        self.is_leaving.store(true, Ordering::Release);
        self.tell_own_state(false, true).await;
        let finished = self.finish_requests();
        match self.shutdown_limit {
            None => finished.await,
            Some(limit) => {
                if tokio::time::timeout(limit, finished).await.is_err() {
                    log_event!(self.log, Event::DrainTimedOut);
                }
            }
        }
        self.control.owners.end().await;
        self.stop_control.cancel();
        log_event!(self.log, Event::NodeStopped);
    }

    async fn finish_requests(&self) {
        while !self.front.shutdown(DRAIN_STEP).await {}
        self.once_only.close();
        self.once_only.wait().await;
        let _ = tokio::time::timeout(SETTLE_LIMIT, self.settle_claims()).await;
    }

    /// Waits until the store knows how every once-only call ended, so that repeats find it there.
    async fn settle_claims(&self) {
        let mut looks = tokio::time::interval(SETTLE_STEP);
        while self.control.claims.send(AskUnsettled).await.unwrap_or(0) > 0 {
            looks.tick().await;
        }
    }

    async fn tell_own_state(&self, is_ready: bool, is_leaving: bool) {
        let event = MembershipEvent::OwnState {
            is_ready,
            is_leaving,
        };
        let _ = self.control.peers.send(Told(event)).detach().await;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop_control.cancel();
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("callers_address", &self.callers_address())
            .finish_non_exhaustive()
    }
}

/// The time of day in milliseconds: a later run of a node gets a higher number.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    let since = clock
        .wall_time()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

async fn start_control(parts: ControlParts, stop: CancellationToken) -> Result<Control, NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Control)?;
    let (started, control) = oneshot::channel();
    let run = move || {
        runtime.block_on(async move {
            let _ = started.send(Control::spawn(parts));
            stop.cancelled().await;
        });
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread.spawn(run).map_err(NodeError::Control)?;
    let ended = |_| NodeError::Control(std::io::Error::other("it ended at once"));
    control.await.map_err(ended)
}

fn generations(control: &Control, outside: &Outside) -> Generations {
    Generations {
        dispatcher: control.dispatcher.clone(),
        loader: control.loader.clone(),
        engines: Arc::clone(&outside.engines),
        clock: Arc::clone(&outside.clock),
        measures: outside.measures.clone(),
    }
}

fn plain_calls(
    control: &Control,
    outside: &Outside,
    ticket: Ticket,
    once_only: TaskTracker,
) -> PlainCalls {
    PlainCalls {
        dispatcher: control.dispatcher.clone(),
        claims: control.claims.clone(),
        plain: Arc::clone(&outside.plain),
        clock: Arc::clone(&outside.clock),
        measures: outside.measures.clone(),
        ticket,
        forwards: Forwards::new(control.peers.clone(), outside.measures.spans.clone()),
        once_only,
    }
}

/// Serves calls that other nodes hand over, on the traffic threads.
async fn take_forwards(control: &Control, calls: PlainCalls) {
    let (sender, arrived) = mpsc::channel(FORWARDS_QUEUE);
    let _ = control.claims.send(TakeForwards(sender)).detach().await;
    let forwards = calls.forwards.clone();
    tokio::spawn(forwards.serve(calls, arrived));
}
