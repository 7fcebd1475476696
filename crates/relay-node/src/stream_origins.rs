//! Where streams began: what this node records of it, and which nodes it notifies.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, NodeId, ServiceName};
use nutmegsail_relay::{
    KeeperCounts, OriginBatches, OriginRecord, Peer, SoftwareVersion, StreamKey, StreamOrigin,
    StreamOrigins, is_stream_keeper, origin_write_interval, stream_keepers,
};

use crate::shared::Shared;
use crate::traffic_message::{KeptStream, StreamMessage};

/// How old the node's copy of the store may be for a list with one version to be relied on where
/// streams begin. The streams of later ones are sent to keepers.
const MAX_COPY_AGE: Duration = Duration::from_secs(3);

/// Streams per datagram, at some 40 bytes each.
const STREAMS_PER_DATAGRAM: usize = 30;

/// How many of a stream's keepers write it to the store. With one, more streams would be lost if all
/// nodes end at once.
const WRITERS: usize = KeeperCounts::NOTIFIED.own_domain;

/// How long a stream may wait to be written. Callers have given it up by then.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(30);

/// How long after its begin a stream is sent to nodes that become its keepers. Callers wait less for
/// a stream in all.
const MAX_STREAM_AGE: Duration = Duration::from_secs(30);

/// The software versions at which streams of a service may begin, by the list in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamSoftware {
    /// The listed versions.
    pub(crate) versions: Arc<[SoftwareVersion]>,
    /// The only version at which streams began that can still be resumed.
    pub(crate) sole: Option<SoftwareVersion>,
    /// How long after its begin a stream can be resumed.
    pub(crate) lifetime: Duration,
}

/// The streams that this node knows, and those that it has to write to the store.
#[derive(Debug)]
pub(crate) struct KnownStreams {
    pub(crate) origins: StreamOrigins,
    pub(crate) batches: OriginBatches,
    /// Streams that began here and were sent to keepers, and when, oldest first.
    sent: VecDeque<(KeptStream, Instant)>,
    /// The nodes among which these keepers were chosen.
    keeper_candidates: Arc<[Peer]>,
}

impl Default for KnownStreams {
    fn default() -> Self {
        Self {
            origins: StreamOrigins::default(),
            batches: OriginBatches::new(origin_write_interval(1), MAX_WRITE_DELAY),
            sent: VecDeque::new(),
            keeper_candidates: Arc::default(),
        }
    }
}

/// This node, as its peers know it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnNode<'a> {
    pub(crate) node: &'a NodeId,
    pub(crate) failure_domain: &'a FailureDomain,
}

impl Shared {
    /// The streams that this node knows.
    pub(crate) fn streams(&self) -> MutexGuard<'_, KnownStreams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether keepers are sent a stream of this origin: a node that resumes it could not determine by
    /// the list in the store where it began.
    fn is_kept(&self, origin: &StreamOrigin) -> bool {
        !self.is_sole(origin) || self.is_store_lost()
    }

    /// Whether the store cannot be read, so that the node's copy of it may be outdated.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.is_store_failing() || self.data_age() > MAX_COPY_AGE
    }

    /// How many nodes are notified of a stream.
    fn notified(&self) -> KeeperCounts {
        match self.is_store_lost() {
            true => KeeperCounts::NOTIFIED_WITHOUT_STORE,
            false => KeeperCounts::NOTIFIED,
        }
    }

    /// Whether the list in the store, as this node last read it, names this origin alone.
    fn is_sole(&self, origin: &StreamOrigin) -> bool {
        let view = self.view.load();
        let software = view.software.get(&origin.service);
        software.is_some_and(|software| software.sole.as_ref() == Some(&origin.software))
    }

    /// Records a stream that began, or went on, at this node. Returns what to send to its keepers.
    pub(crate) fn record_own_stream(
        &self,
        own: OwnNode<'_>,
        key: StreamKey,
        origin: &StreamOrigin,
    ) -> Vec<(StreamMessage, SocketAddr)> {
        let now = Instant::now();
        let lifetime = self.stream_lifetime(&origin.service);
        if !self.is_kept(origin) {
            self.streams()
                .origins
                .record_own(key, origin.clone(), now, lifetime);
            return Vec::new();
        }
        self.streams()
            .origins
            .record(key, origin.clone(), now, lifetime);
        self.messages_to_keepers(own, vec![(key, origin.clone())])
    }

    /// What to send to the keepers of streams that began here while none were kept.
    pub(crate) fn untold_streams(&self, own: OwnNode<'_>) -> Vec<(StreamMessage, SocketAddr)> {
        let services = self.streams().origins.untold_services();
        let untold = services.into_iter().flat_map(|service| {
            let is_sole_kept = self.is_store_lost();
            let view = self.view.load();
            let software = view.software.get(&service);
            let has_sole = software.is_some_and(|software| software.sole.is_some());
            match has_sole && !is_sole_kept {
                true => Vec::new(),
                false => self.streams().origins.take_untold(&service, Instant::now()),
            }
        });
        let streams = untold.collect();
        self.messages_to_keepers(own, streams)
    }

    /// What to send to nodes that have become keepers of streams that began here a while ago, as they
    /// have started since or as others have gone.
    pub(crate) fn streams_for_new_keepers(
        &self,
        own: OwnNode<'_>,
    ) -> Vec<(StreamMessage, SocketAddr)> {
        let view = self.view.load();
        let mut streams = self.streams();
        let before = Arc::clone(&streams.keeper_candidates);
        if before == view.peers {
            return Vec::new();
        }
        streams.keeper_candidates = Arc::clone(&view.peers);
        let own = (own.node, own.failure_domain);
        let mut by_keeper = StreamsByKeeper::default();
        for (stream, _) in &streams.sent {
            let known = stream_keepers(&stream.key, own, &before, KeeperCounts::NOTIFIED);
            for keeper in stream_keepers(&stream.key, own, &view.peers, KeeperCounts::NOTIFIED) {
                if !known.contains(&keeper) {
                    by_keeper.add(keeper, stream);
                }
            }
        }
        by_keeper.into_messages()
    }

    /// Records streams that another node sent to this one as their keeper.
    pub(crate) fn record_kept_streams(&self, own: OwnNode<'_>, streams: &[KeptStream]) {
        let now = Instant::now();
        for stream in streams {
            let lifetime = self.stream_lifetime(&stream.origin.service);
            self.streams()
                .origins
                .record(stream.key, stream.origin.clone(), now, lifetime);
            if stream.is_written {
                self.batch_if_writer(own, stream);
            }
        }
    }

    /// What this node knows of a stream.
    pub(crate) fn origin_record(&self, key: &StreamKey) -> OriginRecord {
        let streams = self.streams();
        streams.origins.get(key, Instant::now()).into()
    }

    fn stream_lifetime(&self, service: &ServiceName) -> Duration {
        /// Where the configuration leads no resumable route to the service any more.
        const DEFAULT_LIFETIME: Duration = Duration::from_secs(60);
        let view = self.view.load();
        let software = view.software.get(service);
        software.map_or(DEFAULT_LIFETIME, |software| software.lifetime)
    }

    fn messages_to_keepers(
        &self,
        own: OwnNode<'_>,
        streams: Vec<(StreamKey, StreamOrigin)>,
    ) -> Vec<(StreamMessage, SocketAddr)> {
        let view = self.view.load();
        let own_place = (own.node, own.failure_domain);
        let counts = self.notified();
        let mut by_keeper = StreamsByKeeper::default();
        for (key, origin) in streams {
            let stream = KeptStream {
                is_written: !self.is_sole(&origin),
                key,
                origin,
            };
            for keeper in stream_keepers(&key, own_place, &view.peers, counts) {
                by_keeper.add(keeper, &stream);
            }
            if stream.is_written {
                self.batch_if_writer(own, &stream);
            }
            self.streams().record_sent(stream);
        }
        by_keeper.into_messages()
    }

    /// Has the stream written to the store if that is this node's part.
    fn batch_if_writer(&self, own: OwnNode<'_>, stream: &KeptStream) {
        let view = self.view.load();
        let own = (own.node, own.failure_domain);
        if is_stream_keeper(&stream.key, own, &view.peers, WRITERS) {
            let mut streams = self.streams();
            let batches = &mut streams.batches;
            batches.set_interval(origin_write_interval(view.nodes));
            batches.push(stream.key, stream.origin.clone(), Instant::now());
            self.streams_to_write.notify_one();
        }
    }
}

impl KnownStreams {
    /// Records a stream that was sent to its keepers, and drops those that have ended.
    fn record_sent(&mut self, stream: KeptStream) {
        let is_old = |(_, since): &(KeptStream, Instant)| since.elapsed() > MAX_STREAM_AGE;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((stream, Instant::now()));
    }
}

/// Streams to send, by their keepers' addresses.
#[derive(Debug, Default)]
struct StreamsByKeeper(HashMap<SocketAddr, Vec<KeptStream>>);

impl StreamsByKeeper {
    fn add(&mut self, keeper: &Peer, stream: &KeptStream) {
        let streams = self.0.entry(keeper.address).or_default();
        streams.push(stream.clone());
    }

    fn into_messages(self) -> Vec<(StreamMessage, SocketAddr)> {
        let messages = self.0.into_iter().flat_map(|(address, streams)| {
            let parts = streams.chunks(STREAMS_PER_DATAGRAM);
            let messages = parts.map(|part| (StreamMessage::Began(part.to_vec()), address));
            messages.collect::<Vec<_>>()
        });
        messages.collect()
    }
}
