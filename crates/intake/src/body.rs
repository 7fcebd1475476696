//! Reads the body of a request within its limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::FutureExt;
use http_body::Body;
use http_body_util::BodyExt;
use nutmegsail_base::ResultCode;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::{Charge, ConnectionAccount};

/// The first buffer of a body that does not announce a shorter length.
const FIRST_BYTES: usize = 16 * 1024;

/// How much of a body is read to keep its connection, if it is there already.
const DISCARD_BYTES: usize = 64 * 1024;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The largest length.
    pub bytes: usize,
    /// How long it may take to arrive.
    pub whole: Duration,
    /// How long it may pause.
    pub gap: Duration,
}

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the limit is {limit_bytes} bytes")]
    TooLarge {
        /// The largest length, in bytes.
        limit_bytes: usize,
    },
    /// Its framing is malformed, or it broke off.
    #[error("the body: {_0}")]
    Malformed(String),
    /// It took too long.
    #[error("the body did not come in time")]
    Stalled,
    /// There is no room for it.
    #[error("there is no room for the body")]
    NoRoom,
}

impl BodyError {
    /// The numbered result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::TooLarge { .. } => ResultCode::BodyTooLarge,
            Self::Malformed(_) => ResultCode::MalformedBody,
            Self::Stalled => ResultCode::SenderStalled,
            Self::NoRoom => ResultCode::NoRoom,
        }
    }
}

/// Reads `body` into one buffer, which `account` accounts for until the last clone of the result is
/// dropped.
///
/// Each piece is copied as it arrives: a piece of a byte would otherwise keep the whole buffer into
/// which it was read.
///
/// # Errors
///
/// [`BodyError`]; nothing of the body is kept then, and it was not read to its end.
pub async fn collect_body<B>(
    body: &mut B,
    account: &Arc<ConnectionAccount>,
    limits: &BodyLimits,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let hint = body.size_hint();
    let limit_bytes = limits.bytes;
    if usize::try_from(hint.lower()).map_or(true, |least| least > limit_bytes) {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let expected = hint.exact().map(|exact| exact as usize);
    let mut buffer = BodyBuffer {
        bytes: Vec::new(),
        most: expected.unwrap_or(limit_bytes),
        charge: Charge::empty(account),
    };
    let until = Instant::now() + limits.whole;
    loop {
        let gap_until = until.min(Instant::now() + limits.gap);
        let next = tokio::select! {
            biased;
            () = account.evicted() => return Err(BodyError::NoRoom),
            next = timeout_at(gap_until, body.frame()) => next,
        };
        let frame = match next {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(BodyError::Malformed(error.to_string())),
            Ok(None) => break,
            Err(_) => return Err(BodyError::Stalled),
        };
        if let Ok(piece) = frame.into_data() {
            if buffer.bytes.len() + piece.len() > limit_bytes {
                return Err(BodyError::TooLarge { limit_bytes });
            }
            buffer.append(&piece).await?;
        }
    }
    Ok(buffer.finish())
}

/// The part of a body that has arrived.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// The largest length that it may reach.
    most: usize,
    charge: Charge,
}

impl BodyBuffer {
    async fn append(&mut self, piece: &[u8]) -> Result<(), BodyError> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let capacity = self.next_capacity(needed);
            let before = self.bytes.capacity();
            // Both buffers exist while the bytes move.
            if !self.charge.grow(capacity).await {
                return Err(BodyError::NoRoom);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
            self.charge.shrink(before);
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    fn next_capacity(&self, needed: usize) -> usize {
        let doubled = (self.bytes.capacity() * 2).max(FIRST_BYTES);
        doubled.min(self.most).max(needed)
    }

    fn finish(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        let unused = self.bytes.capacity() - self.bytes.len();
        self.bytes.shrink_to_fit();
        self.charge.shrink(unused);
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Drops what has arrived of a body that nobody wants. Returns whether that was all of it, so that its
/// connection can be used on.
pub fn discard_ready<B: Body + Unpin>(body: &mut B) -> bool {
    let mut left = DISCARD_BYTES;
    while !body.is_end_stream() {
        let frame = match body.frame().now_or_never() {
            Some(Some(Ok(frame))) => frame,
            Some(None) => return true,
            Some(Some(Err(_))) | None => return false,
        };
        let bytes = frame.into_data().map_or(0, |piece| piece.remaining());
        if bytes > left {
            return false;
        }
        left -= bytes;
    }
    true
}
