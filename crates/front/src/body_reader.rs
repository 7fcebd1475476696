//! Reads the body of a request, within its size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use nutmegsail_base::ResultCode;
use tokio::time::{Instant, timeout, timeout_at};

use crate::request_fault::RequestFault;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyReader {
    pub max_bytes: usize,
    pub gap: Duration,
    pub whole: Duration,
}

impl BodyReader {
    /// Reads all of `body`.
    ///
    /// A sender that stalls would hold its connection and the bytes so far for ever; it is refused
    /// after a gap, or when the whole body takes too long, which also ends one that sends a byte
    /// now and then.
    pub async fn read(
        &self,
        headers: &HeaderMap,
        mut body: Incoming,
    ) -> Result<Bytes, RequestFault> {
        if announced_bytes(headers).is_some_and(|bytes| bytes > self.max_bytes as u64) {
            return Err(self.too_large());
        }
        let whole_until = Instant::now() + self.whole;
        let mut taken = BytesMut::new();
        loop {
            let next = timeout(self.gap, body.frame());
            let frame = match timeout_at(whole_until, next).await {
                Ok(Ok(frame)) => frame,
                Ok(Err(_)) | Err(_) => return Err(stalled()),
            };
            let Some(frame) = frame else {
                return Ok(taken.freeze());
            };
            let frame = frame.map_err(|fault| {
                RequestFault::new(ResultCode::MalformedBody, format!("the body: {fault}"))
            })?;
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            if taken.len() + piece.len() > self.max_bytes {
                return Err(self.too_large());
            }
            taken.extend_from_slice(&piece);
        }
    }

    fn too_large(&self) -> RequestFault {
        let detail = format!("the limit is {} bytes", self.max_bytes);
        RequestFault::new(ResultCode::BodyTooLarge, detail)
    }
}

fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn stalled() -> RequestFault {
    RequestFault::new(ResultCode::SenderStalled, "the body did not come in time")
}
