//! One connection with the task that drives it.

use std::collections::VecDeque;
use std::error::Error as _;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::answer_stream::AnswerStream;
use crate::{AnswerId, ConnectionId, MalformedAnswer, OpenError, Remote, prepare_socket};

/// The largest read from a connection, in bytes, and with it all that is buffered of an answer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// How long a kept connection may take to note that its last answer has ended.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(5);

/// How many informational answers may come before the answer. A server sends a few, and one every
/// some seconds while it works; one that sends them without end would be read until the deadline.
const MAX_INFORMATIONAL: usize = 64;

/// How many requests of a connection are remembered. An answer that comes twice comes the second
/// time where the answer to the next request is expected, or a few requests later.
const REMEMBERED_REQUESTS: usize = 16;

/// A request that was given to a connection and came to nothing.
pub(crate) enum Failed {
    /// No byte of it was written; here it is again.
    Unsent(Box<Request<Full<Bytes>>>),
    /// Bytes may have been written.
    MaybeSent,
    /// Its answer is malformed.
    Malformed(MalformedAnswer),
}

/// An open connection. Dropping it closes the socket at once, also in the midst of an answer.
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// Set before each request; see [`AnswerStream`].
    expects_answer: Arc<AtomicBool>,
    /// When the last answer on it ended.
    pub(crate) idle_since: Instant,
    /// How long it may be kept without use, as the other end last said; none if it did not say.
    pub(crate) keep_for: Option<Duration>,
    /// What the answers to the last requests echo.
    carried: VecDeque<AnswerId>,
    _permit: OwnedSemaphorePermit,
}

fn open_error(kind: ErrorKind) -> OpenError {
    match kind {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => OpenError::Refused,
        _ => OpenError::Silent,
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    pub(crate) async fn open(
        address: &str,
        id: ConnectionId,
        connect_timeout: Duration,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, OpenError> {
        let expects_answer = Arc::new(AtomicBool::default());
        let open = async {
            let stream = TcpStream::connect(address).await;
            let stream = stream.map_err(|error| open_error(error.kind()))?;
            prepare_socket(&stream, Remote::Server);
            http1::Builder::new()
                .max_buf_size(READ_BUFFER_BYTES)
                .handshake(TokioIo::new(AnswerStream::new(
                    stream,
                    Arc::clone(&expects_answer),
                )))
                .await
                .map_err(|_| OpenError::Silent)
        };
        let opened = timeout(connect_timeout, open).await;
        let (sender, driver) = opened.unwrap_or(Err(OpenError::Silent))?;
        Ok(Self {
            id,
            sender,
            driver: tokio::spawn(async move {
                // A failure reaches whoever waits for the answer; nobody else needs it.
                let _ = driver.await;
            }),
            expects_answer,
            idle_since: Instant::now(),
            keep_for: None,
            carried: VecDeque::new(),
            _permit: permit,
        })
    }

    /// Whether the other end has closed, as far as is known.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether an answer to an earlier request could pass for one that echoes `id`.
    pub(crate) fn has_carried(&self, id: AnswerId) -> bool {
        self.carried.contains(&id)
    }

    /// Records a request whose answer echoes `id`.
    pub(crate) fn record_carried(&mut self, id: AnswerId) {
        if self.carried.len() == REMEMBERED_REQUESTS {
            self.carried.pop_front();
        }
        self.carried.push_back(id);
    }

    /// Whether a kept connection can carry the next request.
    ///
    /// Its driver may still be about to note that the last answer has ended; that takes one turn of
    /// the scheduler, so it is waited for, within bounds.
    pub(crate) async fn is_usable(&mut self) -> bool {
        matches!(
            timeout(SETTLE_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Sends `request` once.
    ///
    /// A kept connection may have been closed by the other end without our knowing. It shows as an
    /// error on the next request, and a client that then sends again by itself runs a booking
    /// twice when only the answer was lost. hyper hands the request back only if it never left the
    /// queue in front of the connection, so not a byte of it was written; that alone is reported
    /// as [`Failed::Unsent`].
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failed> {
        let too_many = limit_informational(&mut request);
        self.expects_answer.store(true, Ordering::Relaxed);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = too_many.notified() => return Err(Failed::MaybeSent),
        };
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => Failed::Unsent(Box::new(request)),
            None => malformed_by(error.error()).map_or(Failed::MaybeSent, Failed::Malformed),
        })
    }
}

/// What makes the answer malformed, if that is why hyper has none.
fn malformed_by(error: &hyper::Error) -> Option<MalformedAnswer> {
    if error.is_parse() {
        return Some(MalformedAnswer::Head);
    }
    let error = error.source()?.downcast_ref::<io::Error>()?;
    error.get_ref()?.downcast_ref().copied()
}

/// Returns what is notified once more than [`MAX_INFORMATIONAL`] informational answers to `request`
/// have arrived.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notified, count) = (Arc::clone(&too_many), AtomicUsize::new(0));
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notified.notify_one();
        }
    });
    too_many
}
