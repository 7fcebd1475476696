//! A socket whose answers are checked as they are read.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::head_lines::HeadLines;

/// A socket that fails to read a head whose lines end in different ways.
pub(crate) struct AnswerStream {
    stream: TcpStream,
    lines: HeadLines,
    expects_answer: Arc<AtomicBool>,
}

impl AnswerStream {
    /// Wraps `stream`. `expects_answer` is set before each request; the next bytes are then a head.
    pub(crate) fn new(stream: TcpStream, expects_answer: Arc<AtomicBool>) -> Self {
        Self {
            stream,
            lines: HeadLines::default(),
            expects_answer,
        }
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if self.expects_answer.swap(false, Ordering::Relaxed) {
            self.lines.begin();
        }
        let scanned = self.lines.scan(&buffer.filled()[before..]);
        Poll::Ready(scanned.map_err(|why| Error::new(ErrorKind::InvalidData, why)))
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
