//! Starts and shuts down a node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nutmegsail_base::{Clock, ResultCode, SystemClock};
use nutmegsail_front::RoomLog;
use nutmegsail_intake::{Intake, ProcessLimits};
use nutmegsail_store::KeyValue;
use nutmegsail_telemetry::{CountedStore, Event, MetricsPage, TelemetryError, log_event};
use slog::Logger;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::control::{self, ControlParts};
use crate::metrics::{RelayMetrics, StoreCalls};
use crate::nodes_sockets::NodesSockets;
use crate::room::RoomReports;
use crate::shared::{ControlRequests, Shared};
use crate::traffic::{self, Gateway, GatewayParts, Origin, PeerSocket};
use crate::{Dialect, RelaySettings, ready};

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum RelayNodeError {
    /// An address could not be listened on.
    #[error(
        "{} {address} cannot be listened on: {problem}",
        ResultCode::SettingsInvalid
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        problem: std::io::Error,
    },
    /// The metrics page could not be set up.
    #[error("{} {_0}", ResultCode::SettingsInvalid)]
    Metrics(TelemetryError),
    /// The control thread could not be started.
    #[error(
        "{} the control thread could not be started: {_0}",
        ResultCode::Internal
    )]
    Control(std::io::Error),
}

/// How often a node that shuts down checks whether its connections are closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running node. It runs on a `LocalSet`; its control part has its own thread.
pub struct RelayNode {
    gateway: Rc<Gateway>,
    shared: Arc<Shared>,
    close: CancellationToken,
    stop_control: CancellationToken,
    control: JoinHandle<()>,
    callers_address: SocketAddr,
    log: Logger,
}

impl RelayNode {
    /// Opens the node's sockets and starts its threads. Must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// [`RelayNodeError`] if an address cannot be listened on or a thread cannot start.
    pub async fn start(
        mut settings: RelaySettings,
        store: Arc<dyn KeyValue>,
        dialect: Arc<dyn Dialect>,
        log: Logger,
    ) -> Result<Self, RelayNodeError> {
        log_event!(log, Event::NodeStarted, "node" => settings.node.to_string());
        let callers = listen(settings.callers_address).await?;
        let callers_address = callers.local_addr().unwrap_or(settings.callers_address);
        let readiness = listen(settings.ready_address).await?;
        let ready_address = readiness.local_addr().unwrap_or(settings.ready_address);
        let metrics_listener = match settings.metrics_address {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let metrics_address = metrics_listener.as_ref();
        let metrics_address = metrics_address.and_then(|listener| listener.local_addr().ok());
        let sockets = NodesSockets::open(settings.nodes_address).await;
        let NodesSockets {
            listener,
            datagrams,
        } = sockets.map_err(|problem| RelayNodeError::Listen {
            address: settings.nodes_address,
            problem,
        })?;
        settings.nodes_address = listener.local_addr().unwrap_or(settings.nodes_address);
        let any_port = SocketAddr::new(settings.nodes_address.ip(), 0);
        let forwarded = listen(settings.forward_address.unwrap_or(any_port)).await?;
        settings.forward_address = forwarded.local_addr().ok();
        let datagrams = datagrams.into_std().map_err(RelayNodeError::Control)?;
        let nodes = listener.into_std().map_err(RelayNodeError::Control)?;
        let page = MetricsPage::new().map_err(RelayNodeError::Metrics)?;
        let metrics = RelayMetrics::new(&page.meter());
        let intake = intake(&settings, &metrics, &log);
        let (shared, requests) = Shared::new(metrics.clone(), settings.bounds.access(), intake);
        let store = CountedStore {
            inner: store,
            metrics: StoreCalls {
                metrics,
                log: log.clone(),
            },
        };
        let stop_control = CancellationToken::new();
        let peer_socket = UdpSocket::bind((settings.nodes_address.ip(), 0)).await;
        let peer_socket = peer_socket.map_err(|problem| RelayNodeError::Listen {
            address: settings.nodes_address,
            problem,
        })?;
        let gateway = Rc::new(Gateway::new(GatewayParts {
            node: settings.node.clone(),
            peer_socket: PeerSocket::new(peer_socket, shared.metrics.peer_traffic.clone()),
            shared: Arc::clone(&shared),
            dialect: Arc::clone(&dialect),
            failure_domain: settings.failure_domain.clone(),
            bounds: settings.bounds,
            log: log.clone(),
        }));
        let (nodes_address, forward_address) = (settings.nodes_address, settings.forward_address);
        let parts = ControlThread {
            settings,
            store: Arc::new(store),
            dialect: Arc::clone(&dialect),
            shared: Arc::clone(&shared),
            requests,
            nodes,
            datagrams,
            stop: stop_control.clone(),
            log: log.clone(),
        };
        let control = parts.spawn()?;
        let close = CancellationToken::new();
        let serve = |listener, origin| {
            let (gateway, close) = (Rc::clone(&gateway), close.clone());
            spawn_local(traffic::serve(listener, origin, gateway, close));
        };
        serve(callers, Origin::Caller);
        serve(forwarded, Origin::Peer);
        spawn_local(traffic::watch_reach(Rc::clone(&gateway)));
        spawn_local(traffic::watch_forwarders(Rc::clone(&gateway)));
        spawn_local(traffic::renew_slots(Rc::clone(&gateway)));
        spawn_local(traffic::watch_delay(Rc::clone(&gateway)));
        spawn_local(traffic::receive_answers(Rc::clone(&gateway)));
        spawn_local(ready::serve(
            readiness,
            Arc::clone(&shared),
            dialect,
            log.clone(),
        ));
        if let Some(listener) = metrics_listener {
            spawn_local(ready::serve_metrics(listener, page, Arc::clone(&shared)));
        }
        log_event!(
            log, Event::NodeReady,
            "callers" => callers_address.to_string(), "ready" => ready_address.to_string(),
            "metrics" => metrics_address.map(|address| address.to_string()),
            "nodes" => nodes_address.to_string(),
            "forwarded" => forward_address.map(|address| address.to_string())
        );
        Ok(Self {
            gateway,
            shared,
            close,
            stop_control,
            control,
            callers_address,
            log,
        })
    }

    /// The address on which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Shuts down in order: reports not ready, closes connections without a request, waits for
    /// requests in progress, and then releases the engines and the lease. [`ShutdownSchedule`] says
    /// when.
    ///
    /// [`ShutdownSchedule`]: nutmegsail_relay::ShutdownSchedule
    pub async fn shutdown(self) {
        let began = Instant::now();
        let schedule = self.gateway.shutdown;
        log_event!(self.log, Event::NodeLeaving, "connections" => self.gateway.connections());
        self.shared.record_leaving();
        self.gateway.leaving_since.set(Some(began));
        sleep(schedule.close_idle).await;
        self.close.cancel();
        while self.gateway.connections() > 0 {
            if began.elapsed() >= schedule.end {
                log_event!(
                    self.log, Event::DrainTimedOut,
                    "connections" => self.gateway.connections()
                );
                break;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.stop_control.cancel();
        while !self.control.is_finished() && began.elapsed() < schedule.end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        log_event!(self.log, Event::NodeStopped);
    }
}

/// The limits on what connections hold, within those of the process.
fn intake(settings: &RelaySettings, metrics: &RelayMetrics, log: &Logger) -> Intake {
    let limits = ProcessLimits::detect(&settings.limits);
    log_event!(
        log, Event::SettingsRead,
        "memory_bytes" => limits.memory_bytes, "descriptors" => limits.descriptors
    );
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let reports = RoomReports {
        metrics: metrics.clone(),
        log: RoomLog::new(log.clone(), Arc::clone(&clock)),
    };
    Intake::new(limits.ledger(), clock, Arc::new(reports))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RelayNodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|problem| RelayNodeError::Listen { address, problem })
}

/// The arguments of the control thread.
struct ControlThread {
    settings: RelaySettings,
    store: Arc<dyn KeyValue>,
    dialect: Arc<dyn Dialect>,
    shared: Arc<Shared>,
    requests: ControlRequests,
    nodes: std::net::TcpListener,
    datagrams: std::net::UdpSocket,
    stop: CancellationToken,
    log: Logger,
}

impl ControlThread {
    fn spawn(self) -> Result<JoinHandle<()>, RelayNodeError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(RelayNodeError::Control)?;
        let thread = std::thread::Builder::new().name("control".to_owned());
        let run = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let sockets = (
                    TcpListener::from_std(self.nodes),
                    UdpSocket::from_std(self.datagrams),
                );
                let (nodes, datagrams) = match sockets {
                    (Ok(nodes), Ok(datagrams)) => (nodes, datagrams),
                    (Err(error), _) | (_, Err(error)) => {
                        log_event!(self.log, Event::TaskFailed, "problem" => error.to_string());
                        return;
                    }
                };
                control::run(ControlParts {
                    settings: self.settings,
                    store: self.store,
                    dialect: self.dialect,
                    shared: self.shared,
                    requests: self.requests,
                    nodes,
                    datagrams,
                    stop: self.stop,
                    log: self.log,
                })
                .await;
            });
        };
        thread.spawn(run).map_err(RelayNodeError::Control)
    }
}
