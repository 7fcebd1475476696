//! An engine's answer as a stream of events that are pulled.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use nutmegsail_http_pool::PooledBody;

use crate::answer_body::{discard, next_chunk};
use crate::{EventParser, StreamEvent, UpstreamError};

/// Reads an answer. It holds one read of the connection and one unfinished event, no more.
struct EventReader {
    body: PooledBody,
    parser: EventParser,
    silence_timeout: Duration,
}

/// The events of `body`, which goes on after the event `last_id`.
pub(crate) fn engine_events(
    body: PooledBody,
    last_id: u64,
    silence_timeout: Duration,
) -> BoxStream<'static, Result<StreamEvent, UpstreamError>> {
    let reader = EventReader {
        body,
        parser: EventParser::after(last_id),
        silence_timeout,
    };
    stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        match reader.next().await {
            Ok(Some(event)) => Some((Ok(event), Some(reader))),
            Ok(None) => {
                discard(reader.body).await;
                None
            }
            // The reader is dropped, and its connection with it: what follows cannot be trusted.
            Err(error) => Some((Err(error), None)),
        }
    })
    .boxed()
}

impl EventReader {
    /// The next event, or `None` after the end.
    ///
    /// A body that ends before the end event is an answer cut short, also if the engine closed it
    /// in good order.
    async fn next(&mut self) -> Result<Option<StreamEvent>, UpstreamError> {
        loop {
            if let Some(event) = self.parser.next_event()? {
                return Ok(Some(event));
            }
            if self.parser.has_ended() {
                return Ok(None);
            }
            let chunk = next_chunk(&mut self.body, self.silence_timeout).await?;
            self.parser.push(&chunk.ok_or(UpstreamError::Broken)?);
        }
    }
}
