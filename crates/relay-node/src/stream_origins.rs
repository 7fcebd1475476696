//! Where streams began: what this node records of it, and which nodes it tells.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, NodeId, ServiceName};
use nutmegsail_relay::{
    KeeperAnswer, KeeperCounts, OriginBatches, Peer, SoftwareVersion, StreamKey, StreamOrigin,
    StreamOrigins, is_stream_keeper, origin_write_interval, stream_keepers,
};

use crate::shared::Shared;
use crate::traffic_message::StreamMessage;

/// How old the node's copy of the store may be for a list with one version to be relied on where
/// streams begin. The streams of later ones are sent to keepers.
pub(crate) const MAX_COPY_AGE: Duration = Duration::from_secs(3);

/// Streams per datagram, at some 40 bytes each.
const STREAMS_PER_DATAGRAM: usize = 30;

/// How many of a stream's keepers write it to the store. With one, more streams would be lost if all
/// nodes end at once.
const WRITERS: usize = KeeperCounts::TOLD.own_domain;

/// How long a stream may wait to be written. Callers have given it up by then.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(30);

/// How long after its begin a stream is sent to nodes that become its keepers.
const MAX_STREAM_AGE: Duration = Duration::from_secs(20);

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
    /// Streams that began here and were sent to keepers, oldest first.
    kept: VecDeque<KeptStream>,
    /// The nodes among which these keepers were chosen.
    keeper_candidates: Arc<[Peer]>,
}

#[derive(Debug)]
struct KeptStream {
    key: StreamKey,
    origin: StreamOrigin,
    since: Instant,
}

impl Default for KnownStreams {
    fn default() -> Self {
        Self {
            origins: StreamOrigins::default(),
            batches: OriginBatches::new(origin_write_interval(1), MAX_WRITE_DELAY),
            kept: VecDeque::new(),
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

    /// Whether keepers are sent the streams of `service`: a node that resumes one could not tell by
    /// the list in the store where it began.
    fn are_streams_kept(&self, service: &ServiceName) -> bool {
        let view = self.view.load();
        let software = view.software.get(service);
        let has_sole = software.is_some_and(|software| software.sole.is_some());
        !has_sole || self.data_age() > MAX_COPY_AGE
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
        if !self.are_streams_kept(&origin.service) {
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
        let kept = services
            .into_iter()
            .filter(|service| self.are_streams_kept(service));
        let streams =
            kept.flat_map(|service| self.streams().origins.take_untold(&service, Instant::now()));
        let streams = streams.collect();
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
        for stream in streams.current() {
            let known = stream_keepers(&stream.key, own, &before, KeeperCounts::TOLD);
            for keeper in stream_keepers(&stream.key, own, &view.peers, KeeperCounts::TOLD) {
                if !known.contains(&keeper) {
                    by_keeper.add(keeper, stream.key, &stream.origin);
                }
            }
        }
        by_keeper.into_messages()
    }

    /// Records streams that another node sent to this one as their keeper.
    pub(crate) fn record_kept_streams(
        &self,
        own: OwnNode<'_>,
        streams: &[(StreamKey, StreamOrigin)],
    ) {
        let now = Instant::now();
        for (key, origin) in streams {
            let lifetime = self.stream_lifetime(&origin.service);
            self.streams()
                .origins
                .record(*key, origin.clone(), now, lifetime);
            self.batch_if_writer(own, *key, origin);
        }
    }

    /// What this node knows of a stream, as a keeper of it.
    pub(crate) fn keeper_answer(&self, key: &StreamKey, service: &ServiceName) -> KeeperAnswer {
        let streams = self.streams();
        let record = streams.origins.get(key, Instant::now()).into();
        drop(streams);
        let view = self.view.load();
        let software = view.software.get(service);
        KeeperAnswer {
            record,
            sole: software.and_then(|software| software.sole.clone()),
        }
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
        let mut by_keeper = StreamsByKeeper::default();
        for (key, origin) in streams {
            for keeper in stream_keepers(&key, own_place, &view.peers, KeeperCounts::TOLD) {
                by_keeper.add(keeper, key, &origin);
            }
            self.batch_if_writer(own, key, &origin);
            self.streams().record_kept(key, origin);
        }
        by_keeper.into_messages()
    }

    /// Has the stream written to the store if that is this node's part, and if the store's list does
    /// not say where it began.
    fn batch_if_writer(&self, own: OwnNode<'_>, key: StreamKey, origin: &StreamOrigin) {
        let view = self.view.load();
        let software = view.software.get(&origin.service);
        if software.is_some_and(|software| software.sole.is_some()) {
            return;
        }
        if is_stream_keeper(&key, (own.node, own.failure_domain), &view.peers, WRITERS) {
            let mut streams = self.streams();
            let batches = &mut streams.batches;
            batches.set_interval(origin_write_interval(view.nodes));
            batches.push(key, origin.clone(), Instant::now());
            self.streams_to_write.notify_one();
        }
    }
}

impl KnownStreams {
    fn record_kept(&mut self, key: StreamKey, origin: StreamOrigin) {
        self.kept.push_back(KeptStream {
            key,
            origin,
            since: Instant::now(),
        });
    }

    /// The kept streams that may still be under way.
    fn current(&mut self) -> impl Iterator<Item = &KeptStream> {
        let is_old = |stream: &KeptStream| stream.since.elapsed() > MAX_STREAM_AGE;
        while self.kept.front().is_some_and(is_old) {
            self.kept.pop_front();
        }
        self.kept.iter()
    }
}

/// Streams to send, by their keepers' addresses.
#[derive(Debug, Default)]
struct StreamsByKeeper(HashMap<SocketAddr, Vec<(StreamKey, StreamOrigin)>>);

impl StreamsByKeeper {
    fn add(&mut self, keeper: &Peer, key: StreamKey, origin: &StreamOrigin) {
        let streams = self.0.entry(keeper.address).or_default();
        streams.push((key, origin.clone()));
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
