//! Reading the bodies of answers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use nutmegsail_http_pool::PooledBody;
use tokio::time::timeout;

use crate::UpstreamError;

/// How long the rest of a body that nobody reads may take, so that its connection can be kept.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// How much of a body that nobody reads is worth reading, in bytes.
const DISCARD_LIMIT_BYTES: usize = 16 * 1024;

/// The next bytes of `body`, or `None` at its end.
///
/// A frozen upstream keeps its connection open and sends nothing; only the timeout shows it.
pub(crate) async fn next_chunk(
    body: &mut PooledBody,
    silence_timeout: Duration,
) -> Result<Option<Bytes>, UpstreamError> {
    loop {
        let frame = timeout(silence_timeout, body.frame())
            .await
            .map_err(|_| UpstreamError::Broken)?;
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(UpstreamError::Broken),
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    return Ok(Some(chunk));
                }
            }
        }
    }
}

/// Reads what is left of `body`, if it is short, so that its connection can be kept.
pub(crate) async fn discard(body: PooledBody) {
    let rest = Limited::new(body, DISCARD_LIMIT_BYTES).collect();
    // Past the limits the body is dropped, which closes the connection; that is all it costs.
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}
