//! The listeners of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nutmegsail_base::ResultCode;
use nutmegsail_intake::{CONNECTION_BYTES, Intake, IntakeUse, ListenerKind};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::callers_service::CallersService;
use crate::connection::{Audience, Connection};
use crate::operators_service::OperatorsService;
use crate::request_fault::RequestFault;
use crate::room;
use crate::watched_io::closing_error;
use crate::{FrontError, FrontSettings, Handler};

/// How long accepting rests after the operating system refused, such as for want of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(20);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// The listeners of a node, for callers and for operators.
pub struct Front {
    callers: Listener,
    operators: Listener,
    is_leaving: Arc<AtomicBool>,
    intake: Intake,
    stop_accepting_after: Duration,
    log: Logger,
}

impl Front {
    /// Listens on both addresses and serves until [`Front::shutdown`].
    ///
    /// # Errors
    /// The settings have faults, or an address cannot be listened on.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use std::time::Duration;
    /// use nutmegsail_front::{Front, FrontSettings, Handler};
    /// use nutmegsail_telemetry::discard_logger;
    /// # async fn serve(handler: Arc<dyn Handler>) -> Result<(), nutmegsail_front::FrontError> {
    /// let any_port = ([127, 0, 0, 1], 0).into();
    /// let settings = FrontSettings::default()
    ///     .with_callers_address(any_port)
    ///     .with_operators_address(any_port);
    /// let front = Front::bind(settings, handler, discard_logger()).await?;
    /// println!("callers connect to {}", front.callers_address());
    /// while !front.shutdown(Duration::from_secs(60)).await {
    ///     println!("requests are still in progress");
    /// }
    /// # Ok(())
    /// # }
    /// ```
    pub async fn bind(
        settings: FrontSettings,
        handler: Arc<dyn Handler>,
        log: Logger,
    ) -> Result<Self, FrontError> {
        settings.validate()?;
        let settings = Arc::new(settings);
        let is_leaving = Arc::new(AtomicBool::new(false));
        let callers = Audience::Callers(Arc::new(CallersService {
            handler: Arc::clone(&handler),
            settings: Arc::clone(&settings),
            is_leaving: Arc::clone(&is_leaving),
            log: log.clone(),
        }));
        let operators = Audience::Operators(Arc::new(OperatorsService { handler }));
        let intake = room::intake(&settings, &log);
        let callers = Listener::bind(settings.callers_address, callers, &settings, &intake, &log)?;
        let operators = Listener::bind(
            settings.operators_address,
            operators,
            &settings,
            &intake,
            &log,
        )?;
        Ok(Self {
            callers,
            operators,
            is_leaving,
            intake,
            stop_accepting_after: settings.stop_accepting_after(),
            log,
        })
    }

    /// Where callers connect; the port is the real one if the settings said 0.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address
    }

    /// What the connections to both listeners hold.
    pub fn current_use(&self) -> IntakeUse {
        self.intake.current_use()
    }

    /// Leaves without cutting an answer, and says whether everything was finished within `grace`.
    ///
    /// `/readyz` fails at once and answers carry `Connection: close`. After
    /// `stop_accepting_after_ms`, when the balancer has noticed, no connection is taken any more.
    /// Requests in progress go on to their end, also those that outlast `grace`: then this returns
    /// false, and may be called again to go on waiting.
    pub async fn shutdown(&self, grace: Duration) -> bool {
        if !self.is_leaving.swap(true, Ordering::AcqRel) {
            log_event!(self.log, Event::NodeLeaving);
            sleep(self.stop_accepting_after).await;
        }
        self.callers.stop();
        if timeout(grace, self.callers.connections.wait())
            .await
            .is_err()
        {
            let left = self.callers.connections.len();
            log_event!(self.log, Event::DrainTimedOut, "connections" => left);
            return false;
        }
        self.operators.stop();
        timeout(grace, self.operators.connections.wait())
            .await
            .is_ok()
    }
}

impl Drop for Front {
    /// Stops accepting. Connections still finish what is in progress.
    fn drop(&mut self) {
        self.callers.stop();
        self.operators.stop();
    }
}

struct Listener {
    address: SocketAddr,
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Listener {
    fn bind(
        address: SocketAddr,
        audience: Audience,
        settings: &Arc<FrontSettings>,
        intake: &Intake,
        log: &Logger,
    ) -> Result<Self, FrontError> {
        let bind_error = |cause| FrontError::Bind { address, cause };
        let socket = listen(address, settings).map_err(bind_error)?;
        let address = socket.local_addr().map_err(bind_error)?;
        log_event!(log, Event::ListenerOpened, "address" => address.to_string());
        let listener = Self {
            address,
            stop: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        let listener_kind = audience.listener_kind();
        let connection = Connection {
            audience,
            settings: Arc::clone(settings),
            stop: listener.stop.clone(),
            log: log.clone(),
        };
        let accepting = Accepting {
            socket,
            listener_kind,
            intake: intake.clone(),
            connection,
            connections: listener.connections.clone(),
        };
        listener.connections.spawn(accepting.run());
        Ok(listener)
    }

    fn stop(&self) {
        self.stop.cancel();
        self.connections.close();
    }
}

/// Accepted connections take over the listener's buffer size. Left to itself, the operating system
/// grows the buffer of a slow reader to megabytes.
fn listen(address: SocketAddr, settings: &FrontSettings) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(settings.socket_buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

struct Accepting {
    socket: TcpListener,
    listener_kind: ListenerKind,
    intake: Intake,
    connection: Connection,
    connections: TaskTracker,
}

impl Accepting {
    async fn run(self) {
        let settings = Arc::clone(&self.connection.settings);
        let places = Arc::new(Semaphore::new(settings.max_connections));
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = self.connection.stop.cancelled() => return,
            };
            let Ok((stream, peer)) = accepted else {
                sleep(ACCEPT_REST).await;
                continue;
            };
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                self.connections.spawn(refuse(stream, settings.linger()));
                continue;
            };
            let account = tokio::select! {
                account = self.intake.admit(self.listener_kind, CONNECTION_BYTES) => account,
                () = self.connection.stop.cancelled() => return,
            };
            let Some(account) = account else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let serving = self.connection.clone().serve(stream, peer.ip(), account);
            self.connections.spawn(async move {
                serving.await;
                drop(place);
            });
        }
    }
}

/// Refuses a connection that is one too many.
async fn refuse(mut stream: TcpStream, linger: Duration) {
    let fault = RequestFault::new(ResultCode::QueueFull, "the node has too many connections");
    let bytes = closing_error(fault);
    let _ = timeout(linger, async {
        let _ = stream.write_all(&bytes).await;
        stream.shutdown().await
    })
    .await;
}
