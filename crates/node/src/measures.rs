//! Where a node's measurements and spans go.

use std::time::{Duration, Instant};

use nutmegsail_base::{Class, ServiceName};
use nutmegsail_telemetry::{Hop, HopSpan, Metrics, Spans};

/// Where a node's measurements and spans go; nowhere by default.
#[derive(Clone, Debug)]
pub struct Measures {
    /// Counters and histograms.
    pub metrics: Metrics,
    /// A span for each hop.
    pub spans: Spans,
}

impl Default for Measures {
    fn default() -> Self {
        Self {
            metrics: Metrics::discard(),
            spans: Spans::discard(),
        }
    }
}

/// What the hops of one request have in common.
#[derive(Clone, Debug)]
pub(crate) struct Hops {
    /// Where they are written.
    pub(crate) measures: Measures,
    /// The node's first span of the request, or the caller's.
    pub(crate) traceparent: Option<String>,
    /// The service.
    pub(crate) service: ServiceName,
    /// The class.
    pub(crate) class: Class,
}

impl Hops {
    /// Begins a span below the request's.
    pub(crate) fn span(&self, hop: Hop) -> HopSpan {
        let spans = &self.measures.spans;
        spans.begin(hop, self.traceparent.as_deref())
    }

    /// Begins a wait in the router's queue.
    pub(crate) fn wait(&self, began: Instant) -> QueueWait {
        QueueWait {
            began,
            _span: self.span(Hop::Queue),
        }
    }
}

/// A wait in the router's queue. Its span ends when it is dropped.
#[derive(Debug)]
pub(crate) struct QueueWait {
    began: Instant,
    _span: HopSpan,
}

impl QueueWait {
    /// How long it has been.
    pub(crate) fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }
}
