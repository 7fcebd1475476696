//! The pool of connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::connection::{Connection, Failed};
use crate::framing::unite_lengths;
use crate::{ConnectionId, Framing, OpenError, PooledBody, SendError, SendOptions};

/// How a [`Pool`] keeps connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long a connection is kept without use; less if the other end states a shorter time.
    pub idle_timeout: Duration,
    /// How long a connection is kept without use whose other end states no time.
    pub unstated_idle_timeout: Duration,
    /// How many connections without use are kept for one address.
    pub idle_per_address: usize,
    /// How many connections one address may have, in use or kept.
    pub connections_per_address: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            unstated_idle_timeout: Duration::from_secs(30),
            idle_per_address: 32,
            connections_per_address: 1024,
        }
    }
}

/// Kept HTTP/1.1 connections by address.
///
/// A request takes a kept connection or opens one; it never waits for another request's connection.
///
/// ```no_run
/// # async fn example() -> Result<(), nutmegsail_http_pool::SendError> {
/// use nutmegsail_http_pool::{Pool, PoolSettings};
///
/// let pool = Pool::new(PoolSettings::default());
/// let request = http::Request::get("/v1/vms").body(Default::default()).unwrap();
/// let answer = pool.send("127.0.0.1:7000", request).await?;
/// assert_eq!(answer.status(), 200);
/// # Ok(())
/// # }
/// ```
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

/// What the pool's handles and the answers under way share.
pub(crate) struct Shared {
    settings: PoolSettings,
    hosts: Mutex<HashMap<Arc<str>, Host>>,
    next_connection: AtomicU64,
}

/// The connections of one address.
struct Host {
    idle: Vec<Connection>,
    free: Arc<Semaphore>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool")
            .field("settings", &self.shared.settings)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// An empty pool. Connections are driven by the tokio runtime that [`send`](Self::send) runs in.
    ///
    /// ```
    /// use nutmegsail_http_pool::{Pool, PoolSettings};
    /// let pool = Pool::new(PoolSettings { idle_per_address: 2, ..PoolSettings::default() });
    /// assert!(format!("{pool:?}").contains("idle_per_address: 2"));
    /// ```
    pub fn new(settings: PoolSettings) -> Self {
        let hosts = Mutex::default();
        Self {
            shared: Arc::new(Shared {
                settings,
                hosts,
                next_connection: AtomicU64::default(),
            }),
        }
    }

    /// Sends `request` to `address` (`host:port`) once and returns the head of the answer.
    ///
    /// The `host` header is added. Dropping the future, or the answer before its end, closes the
    /// connection. How long the answer may take is the caller's to bound.
    ///
    /// # Errors
    ///
    /// See [`SendError`]: after [`SendError::Broken`] and [`SendError::Malformed`], the request may
    /// have reached the other end.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_with(address, request, &SendOptions::default())
            .await
    }

    /// Sends `request` like [`send`](Self::send), on a connection that `options` allow.
    ///
    /// ```no_run
    /// # async fn example() -> Result<(), nutmegsail_http_pool::SendError> {
    /// use std::time::Duration;
    /// use nutmegsail_http_pool::{AnswerId, Pool, PoolSettings, SendOptions};
    ///
    /// let pool = Pool::new(PoolSettings::default());
    /// let options = SendOptions {
    ///     max_idle: Duration::from_secs(3),
    ///     answer_id: Some(AnswerId::of(b"booking-7")),
    /// };
    /// let request = http::Request::post("/bookings").body(Default::default()).unwrap();
    /// pool.send_with("127.0.0.1:7000", request, &options).await?;
    /// # Ok(())
    /// # }
    /// ```
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_with(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
        options: &SendOptions,
    ) -> Result<Response<PooledBody>, SendError> {
        if let Ok(host) = address.parse() {
            request
                .headers_mut()
                .entry(http::header::HOST)
                .or_insert(host);
        }
        while let Some(mut connection) = self.shared.take_idle(address, options) {
            if !connection.is_usable().await {
                continue;
            }
            match self.send_on(connection, address, request, options).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::Unsent(unsent)) => request = *unsent,
                Err(Failed::MaybeSent) => return Err(SendError::Broken),
                Err(Failed::Malformed(why)) => return Err(SendError::Malformed(why)),
            }
        }
        let connection = self.connect(address).await?;
        let answer = self.send_on(connection, address, request, options).await;
        answer.map_err(|failed| match failed {
            Failed::Unsent(_) => SendError::NotSent(OpenError::Refused),
            Failed::MaybeSent => SendError::Broken,
            Failed::Malformed(why) => SendError::Malformed(why),
        })
    }

    /// Opens a connection to `address` and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if there is none to be had.
    pub async fn open(&self, address: &str) -> Result<(), OpenError> {
        let connection = self.connect(address).await?;
        self.shared.keep(address, connection);
        Ok(())
    }

    async fn connect(&self, address: &str) -> Result<Connection, OpenError> {
        let permit = self.shared.permit(address)?;
        let connect_timeout = self.shared.settings.connect_timeout;
        let id = ConnectionId(self.shared.next_connection.fetch_add(1, Ordering::Relaxed));
        Connection::open(address, id, connect_timeout, permit).await
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        address: &str,
        request: Request<Full<Bytes>>,
        options: &SendOptions,
    ) -> Result<Response<PooledBody>, Failed> {
        if let Some(id) = options.answer_id {
            connection.record_carried(id);
        }
        let method = request.method().clone();
        let mut answer = connection.send(request).await?;
        let framing = Framing::of(&method, &answer).map_err(Failed::Malformed)?;
        unite_lengths(answer.headers_mut());
        connection.keep_for = stated_keep_alive(answer.headers());
        let home = Home {
            shared: Arc::downgrade(&self.shared),
            address: address.into(),
        };
        Ok(answer.map(|body| PooledBody::new(body, framing, connection, home)))
    }
}

impl Shared {
    fn take_idle(&self, address: &str, options: &SendOptions) -> Option<Connection> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let host = hosts.get_mut(address)?;
        host.drop_unusable(&self.settings);
        // The one used last is the least likely to have been closed meanwhile.
        let chosen = host.idle.iter().rposition(|kept| {
            let has_carried = options.answer_id.is_some_and(|id| kept.has_carried(id));
            !has_carried && kept.idle_since.elapsed() <= options.max_idle
        })?;
        Some(host.idle.remove(chosen))
    }

    fn permit(&self, address: &str) -> Result<OwnedSemaphorePermit, OpenError> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = self.settings.connections_per_address;
        if !hosts.contains_key(address) {
            // VMs come and go all day; addresses without a connection are forgotten.
            hosts.retain(|_, host| host.is_connected(&self.settings));
            let host = Host {
                idle: Vec::new(),
                free: Arc::new(Semaphore::new(limit)),
            };
            hosts.insert(address.into(), host);
        }
        let free = Arc::clone(&hosts[address].free);
        free.try_acquire_owned().map_err(|_| OpenError::AtLimit)
    }

    fn keep(&self, address: &str, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(host) = hosts.get_mut(address) else {
            return;
        };
        if host.idle.len() < self.settings.idle_per_address {
            host.idle.push(connection);
        }
    }
}

impl Host {
    fn drop_unusable(&mut self, settings: &PoolSettings) {
        let now = Instant::now();
        self.idle.retain(|kept| {
            let stated = kept.keep_for.unwrap_or(settings.unstated_idle_timeout);
            let keep_for = stated.min(settings.idle_timeout);
            !kept.is_closed() && now.duration_since(kept.idle_since) < keep_for
        });
    }

    fn is_connected(&mut self, settings: &PoolSettings) -> bool {
        self.drop_unusable(settings);
        self.free.available_permits() < settings.connections_per_address
    }
}

/// The part of a stated keep-alive time that a connection is used in. The other end counts from
/// before its answer arrived here, and its close takes its time to come; a request that crosses it
/// is lost, and one that must run once cannot be sent again.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// How long the other end keeps the connection open without a request, shortened for safety.
fn stated_keep_alive(headers: &http::HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = stated.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.into()).mul_f64(KEEP_ALIVE_SHARE))
}

/// Where a connection goes back to when its answer has ended.
pub(crate) struct Home {
    shared: Weak<Shared>,
    address: Arc<str>,
}

impl Home {
    pub(crate) fn keep(&self, connection: Connection) {
        if let Some(shared) = self.shared.upgrade() {
            shared.keep(&self.address, connection);
        }
    }
}
