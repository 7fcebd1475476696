//! A caller's socket.

use std::cell::Cell;
use std::future::Future as _;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use nutmegsail_http_pool::set_reset_on_close;
use nutmegsail_intake::ConnectionUse;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The answer that a connection carries.
#[derive(Debug, Default)]
pub(super) struct AnswerInProgress {
    /// Whether its end is that of the connection.
    pub(super) ends_connection: Cell<bool>,
    /// When its write fails if the caller does not read it.
    pub(super) deadline: Cell<Option<Instant>>,
}

/// A caller's socket. If it is closed early during an answer that ends with the connection, the
/// connection is reset, also when the process is killed: closed in order, the answer would look
/// whole.
///
/// A flush fails once the caller has closed the connection. hyper does not read while a request is in
/// progress and it holds bytes of the next one, so that it would not see the close.
///
/// A write that waits for the caller fails at the answer's deadline. A body is not read on while a
/// write waits, so a caller that reads nothing would keep the upstream's connection open without end.
///
/// A head that does not arrive in time fails a read. No further request is read while a write waits,
/// as a caller could have answers to many requests buffered otherwise.
pub(super) struct CallerSocket {
    stream: TcpStream,
    answer: Rc<AnswerInProgress>,
    connection: Arc<ConnectionUse>,
    /// How long a head may take to arrive.
    head_timeout: Duration,
    /// Fires when the head that arrives has taken too long.
    head_timer: Option<Pin<Box<Sleep>>>,
    is_write_blocked: bool,
    /// Whether a read waits for a write.
    has_deferred_read: bool,
    is_reset_on_close: bool,
    /// Fires at the deadline of the answer whose write waits.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerSocket {
    pub(super) fn new(
        stream: TcpStream,
        answer: Rc<AnswerInProgress>,
        connection: Arc<ConnectionUse>,
        head_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            answer,
            connection,
            head_timeout,
            head_timer: None,
            is_write_blocked: false,
            has_deferred_read: false,
            is_reset_on_close: false,
            write_timer: None,
        }
    }

    /// The socket itself, to be closed.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Fails a read that waits if the head has taken too long.
    fn poll_head_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.connection.is_in_head() {
            return Poll::Pending;
        }
        let timeout = self.head_timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(ErrorKind::TimedOut.into()))
    }

    fn record_written(&mut self, cx: &Context<'_>, is_blocked: bool) {
        if std::mem::replace(&mut self.is_write_blocked, is_blocked) != is_blocked {
            self.connection.set_write_blocked(is_blocked);
        }
        if !is_blocked && std::mem::take(&mut self.has_deferred_read) {
            cx.waker().wake_by_ref();
        }
    }

    /// Fails a write that waits if the answer's deadline has passed.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.record_written(cx, written.is_pending());
        let deadline = self.answer.deadline.get();
        let (Poll::Pending, Some(deadline)) = (&written, deadline) else {
            return written;
        };
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        timer
            .as_mut()
            .poll(cx)
            .map(|()| Err(ErrorKind::TimedOut.into()))
    }

    /// Whether the caller has closed the connection, unless bytes that were not read come before.
    fn is_closed(&self, cx: &mut Context<'_>) -> bool {
        let mut byte = [0];
        match self.stream.poll_peek(cx, &mut ReadBuf::new(&mut byte)) {
            Poll::Ready(Ok(0)) => true,
            Poll::Ready(Ok(_)) => {
                self.connection.record_early_bytes();
                false
            }
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Before the first byte of such an answer is written, lets the connection be reset when it is
    /// closed.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.answer.ends_connection.get() && !self.is_reset_on_close {
            set_reset_on_close(&self.stream, true)?;
            self.is_reset_on_close = true;
        }
        Ok(())
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_write_blocked && self.connection.is_before_request() {
            self.has_deferred_read = true;
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            return self.poll_head_timer(cx);
        }
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            if !self.connection.is_in_head() {
                self.head_timer = None;
            }
            self.connection.record_read(bytes);
        }
        read
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.limit_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.limit_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_closed(cx) {
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the answer. The kernel sends what is left of it after the socket is closed.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if std::mem::take(&mut self.is_reset_on_close) {
            self.answer.ends_connection.set(false);
            set_reset_on_close(&self.stream, false)?;
        }
        Poll::Ready(Ok(()))
    }
}
