//! A caller's request, from its arrival to the answer's end, as it is measured.

use std::sync::Arc;
use std::task::Poll;
use std::time::Instant;

use futures_util::stream::{self, StreamExt};
use nutmegsail_base::{Class, Clock, ResultCode, ServiceName};
use nutmegsail_front::{Answer, PlainAnswer};
use nutmegsail_telemetry::{Hop, HopSpan};
use nutmegsail_upstream::StreamEvent;

use crate::Measures;

/// A caller's request, from its arrival to the answer's end, as it is measured.
///
/// One that is dropped before it ended belongs to a caller that has gone; its span ends and no
/// result is counted.
pub(crate) struct RequestTrace {
    measures: Measures,
    clock: Arc<dyn Clock>,
    span: HopSpan,
    service: ServiceName,
    class: Class,
    began: Instant,
    has_begun: bool,
    is_ended: bool,
}

impl RequestTrace {
    /// A request has arrived.
    pub(crate) fn begin(
        measures: &Measures,
        clock: &Arc<dyn Clock>,
        service: &ServiceName,
        class: Class,
        traceparent: Option<&str>,
    ) -> Self {
        let span = measures.spans.begin(Hop::CallerRequest, traceparent);
        span.set("nutmegsail.service", service);
        Self {
            measures: measures.clone(),
            clock: Arc::clone(clock),
            span,
            service: service.clone(),
            class,
            began: clock.now(),
            has_begun: false,
            is_ended: false,
        }
    }

    /// What later hops name as their parent.
    pub(crate) fn traceparent(&self) -> Option<String> {
        self.span.traceparent()
    }

    /// The caller has its whole answer, or was told `code`. Only the first end counts.
    pub(crate) fn ended(&mut self, code: Option<ResultCode>) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        if let Some(code) = code {
            self.span.fail(code);
        }
        let metrics = &self.measures.metrics;
        metrics.request_ended(&self.service, self.class, code);
    }

    /// Measures an answer as the caller takes it.
    pub(crate) fn follow(mut self, mut answer: Answer) -> Answer {
        let events = answer.events.inspect(move |event| match event {
            Ok(StreamEvent::Piece { .. }) => self.first_token(),
            Ok(StreamEvent::End(_)) => self.ended(None),
            Err(refusal) => self.ended(Some(refusal.code)),
        });
        answer.events = events.boxed();
        answer
    }

    /// Measures a plain service's answer as the caller takes it.
    pub(crate) fn follow_plain(mut self, mut answer: PlainAnswer) -> PlainAnswer {
        let mut body = answer.body;
        let body = stream::poll_fn(move |context| {
            let polled = body.poll_next_unpin(context);
            match &polled {
                Poll::Ready(None) => self.ended(None),
                Poll::Ready(Some(Err(error))) => self.ended(Some(error.code())),
                _ => {}
            }
            polled
        });
        answer.body = body.boxed();
        answer
    }

    fn first_token(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            let after = self.clock.now().saturating_duration_since(self.began);
            self.measures.metrics.first_token(self.class, after);
        }
    }
}
