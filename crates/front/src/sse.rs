//! An answer as server-sent events.

use std::convert::Infallible;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::stream::{BoxStream, Stream};
use hyper::body::Frame;
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_request::{AnswerHandle, PieceCount, Refusal};
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_upstream::{AnswerEnd, StreamEvent};
use slog::Logger;

use crate::{Answer, ErrorBody};

type Events = BoxStream<'static, Result<StreamEvent, Refusal>>;

/// An answer as server-sent events.
///
/// It takes an event from the answer only when the socket has room, so a slow reader holds up its
/// own engine stream and nothing piles up here. It ends in an `end` event only if every piece
/// passed through it in order and the engine's count agrees; in every other case it ends in an
/// `error` event.
pub(crate) struct SseStream {
    events: Option<Events>,
    pieces: PieceCount,
    handle: AnswerHandle,
    request: RequestId,
    log: Logger,
}

impl SseStream {
    /// Streams `answer` to a caller that has the pieces up to `after`.
    pub fn new(answer: Answer, request: RequestId, after: u64, log: Logger) -> Self {
        Self {
            events: Some(answer.events),
            pieces: PieceCount::after(after),
            handle: answer.handle,
            request,
            log,
        }
    }

    fn take(&mut self, event: Option<Result<StreamEvent, Refusal>>) -> Bytes {
        let checked = match event {
            Some(Ok(StreamEvent::Piece { id, json })) => self.piece(id, &json),
            Some(Ok(StreamEvent::End(end))) => self.end(&end),
            Some(Err(refusal)) => Err(refusal),
            None => Err(cut("the answer ended without an end event")),
        };
        checked.unwrap_or_else(|refusal| self.broken_off(&refusal))
    }

    fn piece(&mut self, id: u64, json: &[u8]) -> Result<Bytes, Refusal> {
        // A line break inside the data would start a field or an event of the engine's choosing.
        if json.iter().any(|byte| matches!(byte, b'\n' | b'\r')) {
            return Err(cut("a piece has a line break"));
        }
        self.pieces
            .observe(id)
            .map_err(|fault| Refusal::ran(fault.code(), fault.to_string()))?;
        let mut text = BytesMut::with_capacity(json.len() + 40);
        text.put_slice(format!("id: {id}\ndata: ").as_bytes());
        text.put_slice(json);
        text.put_slice(b"\n\n");
        Ok(text.freeze())
    }

    fn end(&mut self, end: &AnswerEnd) -> Result<Bytes, Refusal> {
        self.pieces
            .end(end.count)
            .map_err(|fault| Refusal::ran(fault.code(), fault.to_string()))?;
        let json = serde_json::to_string(end).map_err(|fault| cut(&fault.to_string()))?;
        self.events = None;
        let count = self.pieces.last_id();
        log_event!(self.log, Event::RequestEnded,
            "request" => self.request.as_str(), "pieces" => count);
        Ok(format!("event: end\ndata: {json}\n\ndata: [DONE]\n\n").into())
    }

    fn broken_off(&mut self, refusal: &Refusal) -> Bytes {
        self.events = None;
        let last_id = self.pieces.last_id();
        log_event!(self.log, Event::AnswerCut, "request" => self.request.as_str(),
            "last_id" => last_id, "cause" => refusal.to_string());
        let body = ErrorBody::new(refusal, &self.request).with_resume(&self.handle, last_id);
        format!("event: error\ndata: {}\n\n", body.to_json()).into()
    }
}

impl Stream for SseStream {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(events) = &mut self.events else {
            return Poll::Ready(None);
        };
        let polled = catch_unwind(AssertUnwindSafe(|| events.as_mut().poll_next(context)));
        let event = match polled {
            Ok(Poll::Pending) => return Poll::Pending,
            Ok(Poll::Ready(event)) => event,
            Err(_) => Some(Err(Refusal::ran(
                ResultCode::Internal,
                "the answer's source",
            ))),
        };
        let text = self.take(event);
        Poll::Ready(Some(Ok(Frame::data(text))))
    }
}

impl Drop for SseStream {
    fn drop(&mut self) {
        if self.events.is_some() {
            log_event!(self.log, Event::CallerGone, "request" => self.request.as_str(),
                "last_id" => self.pieces.last_id());
        }
    }
}

fn cut(detail: &str) -> Refusal {
    Refusal::ran(ResultCode::AnswerCut, detail)
}
