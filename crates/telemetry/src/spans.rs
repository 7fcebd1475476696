//! A span for each hop of a request.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::ResultCode;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, Status, TraceContextExt, Tracer};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracer;

const TRACEPARENT: &str = "traceparent";

/// A hop that a request takes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Hop {
    /// From the caller into the node, until the answer's end.
    CallerRequest,
    /// The wait in the node's queue.
    Queue,
    /// The choice of an upstream, a wait for an adapter among it.
    Dispatch,
    /// From the node to the upstream, until the answer's end.
    Upstream,
    /// From this node to another one.
    Forward,
}

impl Hop {
    fn kind(self) -> SpanKind {
        match self {
            Self::CallerRequest => SpanKind::Server,
            Self::Upstream | Self::Forward => SpanKind::Client,
            Self::Queue | Self::Dispatch => SpanKind::Internal,
        }
    }
}

/// Makes the spans of a node's requests.
///
/// ```
/// use nutmegsail_telemetry::{Hop, Spans};
///
/// let spans = Spans::discard();
/// let caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// let request = spans.begin(Hop::CallerRequest, Some(caller));
/// let upstream = request.child(Hop::Upstream);
/// assert_eq!(upstream.traceparent().as_deref(), Some(caller));
/// ```
#[derive(Clone, Debug)]
pub struct Spans {
    tracer: Option<Arc<SdkTracer>>,
}

impl Spans {
    /// Spans of `tracer`, or none at all.
    pub fn new(tracer: Option<SdkTracer>) -> Self {
        Self {
            tracer: tracer.map(Arc::new),
        }
    }

    /// Spans that go nowhere. A caller's `traceparent` is still passed on.
    pub fn discard() -> Self {
        Self::new(None)
    }

    /// Begins the first span of a request on this node, below the caller's if it sent a valid
    /// `traceparent`.
    pub fn begin(&self, hop: Hop, traceparent: Option<&str>) -> HopSpan {
        let parent = extract(traceparent);
        let Some(tracer) = &self.tracer else {
            return HopSpan {
                tracer: None,
                context: parent,
            };
        };
        start(tracer, hop, &parent)
    }
}

/// The span of one hop. It ends when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    tracer: Option<Arc<SdkTracer>>,
    context: Context,
}

impl HopSpan {
    /// Begins a span below this one.
    pub fn child(&self, hop: Hop) -> Self {
        match &self.tracer {
            Some(tracer) => start(tracer, hop, &self.context),
            None => Self {
                tracer: None,
                context: self.context.clone(),
            },
        }
    }

    /// Adds an attribute, such as the upstream.
    pub fn set(&self, key: &'static str, value: impl std::fmt::Display) {
        if self.tracer.is_some() {
            let attribute = KeyValue::new(key, value.to_string());
            self.context.span().set_attribute(attribute);
        }
    }

    /// Marks the hop as failed.
    pub fn fail(&self, code: ResultCode) {
        if self.tracer.is_some() {
            let span = self.context.span();
            span.set_attribute(KeyValue::new("nutmegsail.code", code.to_string()));
            span.set_status(Status::error(code.text()));
        }
    }

    /// The `traceparent` to send with this hop; none if there is no trace.
    pub fn traceparent(&self) -> Option<String> {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.remove(TRACEPARENT)
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        if self.tracer.is_some() {
            self.context.span().end();
        }
    }
}

fn start(tracer: &Arc<SdkTracer>, hop: Hop, parent: &Context) -> HopSpan {
    let builder = tracer.span_builder(hop.to_string()).with_kind(hop.kind());
    let span = tracer.build_with_context(builder, parent);
    HopSpan {
        tracer: Some(Arc::clone(tracer)),
        context: Context::new().with_span(span),
    }
}

/// The caller's context. A `traceparent` that is no valid one is ignored, as the standard asks.
fn extract(traceparent: Option<&str>) -> Context {
    let headers: HashMap<_, _> = traceparent
        .map(|value| (TRACEPARENT.to_owned(), value.to_owned()))
        .into_iter()
        .collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &headers)
}
