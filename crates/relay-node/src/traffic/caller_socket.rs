//! A caller's socket.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use nutmegsail_http_pool::set_reset_on_close;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's socket. If it is closed early during an answer that ends with the connection, the
/// connection is reset, also when the process is killed: closed in order, the answer would look
/// whole.
pub(super) struct CallerSocket {
    stream: TcpStream,
    ends_answer: Rc<Cell<bool>>,
    is_reset_on_close: bool,
}

impl CallerSocket {
    /// `ends_answer` says whether an answer has begun whose end is that of the connection.
    pub(super) fn new(stream: TcpStream, ends_answer: Rc<Cell<bool>>) -> Self {
        Self {
            stream,
            ends_answer,
            is_reset_on_close: false,
        }
    }

    /// Before the first byte of such an answer is written, lets the connection be reset when it is
    /// closed.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.ends_answer.get() && !self.is_reset_on_close {
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
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the answer. The kernel sends what is left of it after the socket is closed.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if std::mem::take(&mut self.is_reset_on_close) {
            self.ends_answer.set(false);
            set_reset_on_close(&self.stream, false)?;
        }
        Poll::Ready(Ok(()))
    }
}
