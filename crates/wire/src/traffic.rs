//! How many bytes and messages went over the link.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::MessageKind;

const KINDS: usize = MessageKind::ALL.len();

/// Counters of a link. They only rise.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: [Counter; KINDS],
    received: [Counter; KINDS],
    dropped_sending: AtomicU64,
    dropped_receiving: AtomicU64,
    undecodable: AtomicU64,
}

#[derive(Debug, Default)]
struct Counter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Messages and bytes of one kind and direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// How many messages.
    pub messages: u64,
    /// Their bytes, without the headers of nng, TCP and IP.
    pub bytes: u64,
}

impl Counter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn read(&self) -> TrafficCount {
        TrafficCount {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

impl Traffic {
    /// What was handed to the network.
    ///
    /// ```
    /// use nutmegsail_wire::{MessageKind, Traffic};
    /// assert_eq!(Traffic::default().sent(MessageKind::Heartbeat).bytes, 0);
    /// ```
    pub fn sent(&self, kind: MessageKind) -> TrafficCount {
        self.sent[kind.index()].read()
    }

    /// What came in and could be decoded.
    pub fn received(&self, kind: MessageKind) -> TrafficCount {
        self.received[kind.index()].read()
    }

    /// Messages that were dropped because a peer's queue was full.
    pub fn dropped_sending(&self) -> u64 {
        self.dropped_sending.load(Ordering::Relaxed)
    }

    /// Messages that were dropped because the node did not read them fast enough.
    pub fn dropped_receiving(&self) -> u64 {
        self.dropped_receiving.load(Ordering::Relaxed)
    }

    /// Messages that could not be decoded.
    pub fn undecodable(&self) -> u64 {
        self.undecodable.load(Ordering::Relaxed)
    }

    pub(crate) fn add_sent(&self, kind: MessageKind, bytes: usize) {
        self.sent[kind.index()].add(bytes);
    }

    pub(crate) fn add_received(&self, kind: MessageKind, bytes: usize) {
        self.received[kind.index()].add(bytes);
    }

    pub(crate) fn add_dropped_sending(&self) {
        self.dropped_sending.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_dropped_receiving(&self) {
        self.dropped_receiving.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_undecodable(&self) {
        self.undecodable.fetch_add(1, Ordering::Relaxed);
    }
}
