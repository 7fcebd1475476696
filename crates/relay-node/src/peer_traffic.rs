//! Counts what this node sends to other nodes.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// The instruments for messages to other nodes.
#[derive(Clone, Debug)]
pub(crate) struct PeerTraffic {
    messages: Counter<u64>,
    bytes: Counter<u64>,
}

impl PeerTraffic {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            messages: counter(
                "nutmegsail.relay.peer_messages",
                "Messages to other nodes, by kind.",
            ),
            bytes: counter(
                "nutmegsail.relay.peer_bytes",
                "Bytes of messages to other nodes without headers, by kind.",
            ),
        }
    }

    /// Counts a message of `bytes` bytes.
    pub(crate) fn record_sent(&self, kind: &'static str, bytes: usize) {
        let kind = [KeyValue::new("kind", kind)];
        self.messages.add(1, &kind);
        self.bytes.add(bytes as u64, &kind);
    }
}
