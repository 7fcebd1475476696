//! A caller's socket, watched for stalls.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use nutmegsail_base::ResultCode;
use nutmegsail_http_pool::set_reset_on_close;
use nutmegsail_intake::ConnectionUse;
use nutmegsail_request::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::ErrorBody;
use crate::activity::Activity;
use crate::head_scan::HeadScan;
use crate::request_fault::RequestFault;
use crate::request_head::{REQUEST_ID, new_request_id};

/// How long each side of a connection may do nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketTimeouts {
    pub header: Duration,
    pub idle: Duration,
    pub write: Duration,
}

/// A caller's socket.
///
/// It ends a connection that stays silent: before a request (idle), inside the head of one
/// (stalled sender) or while it has an answer to read (stalled reader). It also puts the numbered
/// error in place of the bare `400` and `431` that the HTTP library writes by itself for a head
/// that it cannot parse.
pub(crate) struct WatchedIo {
    stream: TcpStream,
    activity: Activity,
    connection_use: Arc<ConnectionUse>,
    timeouts: SocketTimeouts,
    requests_seen: usize,
    read_state: ReadState,
    read_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    replacement: Option<Replacement>,
    head_scan: HeadScan,
    max_header_bytes: usize,
    was_silent: bool,
    is_reset_on_close: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Idle,
    InHead,
    InRequest,
}

/// A numbered error that is written in place of `replaced_bytes` of the library's own.
struct Replacement {
    left: Bytes,
    replaced_bytes: usize,
}

impl WatchedIo {
    pub fn new(
        stream: TcpStream,
        activity: Activity,
        connection_use: Arc<ConnectionUse>,
        timeouts: SocketTimeouts,
        max_header_bytes: usize,
    ) -> Self {
        Self {
            stream,
            activity,
            connection_use,
            timeouts,
            requests_seen: 0,
            read_state: ReadState::Idle,
            read_timer: None,
            write_timer: None,
            replacement: None,
            head_scan: HeadScan::default(),
            max_header_bytes,
            was_silent: false,
            is_reset_on_close: false,
        }
    }

    /// Whether the connection was ended because its sender was silent.
    pub fn was_silent(&self) -> bool {
        self.was_silent
    }

    /// The socket itself, to be closed.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn enter(&mut self, state: ReadState) {
        if self.read_state != state {
            self.read_state = state;
            self.read_timer = None;
            self.head_scan.reset();
            self.activity.set_in_head(state == ReadState::InHead);
        }
    }

    /// Learns which requests have begun and ended since the last read. A short one does both.
    fn follow_requests(&mut self) {
        let begun = self.activity.begun();
        if begun != self.requests_seen {
            self.requests_seen = begun;
            self.enter(ReadState::InRequest);
        }
        if self.read_state == ReadState::InRequest && !self.activity.has_request() {
            self.enter(ReadState::Idle);
        }
    }

    /// Ends a silent connection once its time is over.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let timeout = match self.read_state {
            ReadState::InHead => self.timeouts.header,
            ReadState::Idle => self.timeouts.idle,
            ReadState::InRequest => return Poll::Pending,
        };
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        ready!(timer.as_mut().poll(context));
        self.was_silent = true;
        if self.read_state == ReadState::InHead {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        // An end of input on an idle connection is how the HTTP library closes it in good order.
        Poll::Ready(Ok(()))
    }

    fn poll_stalled_reader(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let timeout = self.timeouts.write;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }

    fn poll_write_stream(
        &mut self,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.connection_use.set_write_blocked(written.is_pending());
        match written {
            Poll::Ready(written) => {
                self.write_timer = None;
                Poll::Ready(written)
            }
            Poll::Pending => self.poll_stalled_reader(context).map(Err),
        }
    }

    fn poll_replacement(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while let Some(mut replacement) = self.replacement.take() {
            if replacement.left.is_empty() {
                return Poll::Ready(Ok(replacement.replaced_bytes));
            }
            match self.poll_write_stream(context, &replacement.left) {
                Poll::Ready(Ok(written)) => replacement.left.advance(written),
                Poll::Ready(Err(fault)) => return Poll::Ready(Err(fault)),
                Poll::Pending => {
                    self.replacement = Some(replacement);
                    return Poll::Pending;
                }
            }
            self.replacement = Some(replacement);
        }
        Poll::Ready(Ok(0))
    }
}

impl AsyncRead for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.follow_requests();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            return self.poll_silence(context);
        }
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.connection_use.record_read(bytes);
        }
        let is_head = self.read_state != ReadState::InRequest;
        if is_head && bytes > 0 {
            self.enter(ReadState::InHead);
            let max_bytes = self.max_header_bytes;
            if self.head_scan.take(&buffer.filled()[before..], max_bytes) {
                self.activity.report_two_framings();
            }
        }
        polled
    }
}

impl AsyncWrite for WatchedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement.is_none() && is_bare_error(bytes) {
            self.replacement = Some(Replacement {
                left: numbered_error(bytes),
                replaced_bytes: bytes.len(),
            });
        }
        if self.replacement.is_some() {
            return self.poll_replacement(context);
        }
        if self.activity.ends_answer() && !self.is_reset_on_close {
            // Closed early in order, or by the kernel of a killed process, the answer would look whole.
            set_reset_on_close(&self.stream, true)?;
            self.is_reset_on_close = true;
        }
        self.poll_write_stream(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        if std::mem::take(&mut self.is_reset_on_close) {
            self.activity.set_ends_answer(false);
            set_reset_on_close(&self.stream, false)?;
        }
        Poll::Ready(Ok(()))
    }
}

/// Whether these are the head of an error that the HTTP library made by itself. Every response of
/// the front names its request.
fn is_bare_error(bytes: &[u8]) -> bool {
    let is_error = bytes.starts_with(b"HTTP/1.1 4") || bytes.starts_with(b"HTTP/1.0 4");
    if !is_error || !bytes.ends_with(b"\r\n\r\n") {
        return false;
    }
    let mut windows = bytes.windows(REQUEST_ID.len());
    !windows.any(|window| window.eq_ignore_ascii_case(REQUEST_ID.as_bytes()))
}

fn numbered_error(bare: &[u8]) -> Bytes {
    const STATUS_AT: std::ops::Range<usize> = 9..12;
    let (code, detail) = match bare.get(STATUS_AT) {
        Some(b"431") => (ResultCode::HeadersTooLarge, "the head is too large"),
        Some(b"414") => (ResultCode::HeadersTooLarge, "the path is too long"),
        _ => (ResultCode::BadHeader, "the head is not HTTP/1.1"),
    };
    closing_error(RequestFault::new(code, detail))
}

/// The bytes of a numbered error for a request whose head never became one.
pub(crate) fn closing_error(fault: RequestFault) -> Bytes {
    let request = Request::accept(new_request_id(&http::HeaderMap::new()));
    let id = request.id().clone();
    let status = fault.code.http_status();
    let phrase = http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Error");
    let json = ErrorBody::new(&fault.refuse(request), &id).to_json();
    let length = json.len();
    format!(
        "HTTP/1.1 {status} {phrase}\r\ncontent-type: application/json\r\n{REQUEST_ID}: {id}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{json}"
    )
    .into()
}
