//! Where the streams of the last minutes began.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{SoftwareVersion, StreamKey};

/// The most streams that are remembered; the oldest are dropped first.
const MAX_STREAMS: usize = 50_000;

/// The service and software version at which a stream began, and at which alone it may go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version of the upstream that began it.
    pub software: SoftwareVersion,
}

/// What is known of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownOrigin<'a> {
    /// Nothing.
    Unknown,
    /// Two streams of different origins have the same key, so that neither may go on.
    Ambiguous,
    /// Its origin.
    At(&'a StreamOrigin),
}

/// The origins of streams that began lately, at this node or at those that told this one.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{KnownOrigin, StreamKey, StreamOrigin, StreamOrigins};
/// let (now, lifetime) = (Instant::now(), Duration::from_secs(60));
/// let key = StreamKey::of(None, &"0caa45a4".into());
/// let origin = StreamOrigin { service: "scribe".into(), software: "v1.1".into() };
/// let mut origins = StreamOrigins::default();
/// assert_eq!(origins.get(&key, now), KnownOrigin::Unknown);
/// origins.record(key, origin.clone(), now, lifetime);
/// assert_eq!(origins.get(&key, now), KnownOrigin::At(&origin));
/// assert_eq!(origins.get(&key, now + lifetime), KnownOrigin::Unknown);
/// ```
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, Stream>,
    /// When each record may be dropped, in the order in which they were made.
    expiries: VecDeque<(Instant, StreamKey)>,
    /// Streams that began at this node and that no other node was told of, oldest first.
    untold: HashMap<ServiceName, VecDeque<StreamKey>>,
}

#[derive(Debug)]
struct Stream {
    /// `None` if two were recorded.
    origin: Option<StreamOrigin>,
    expires: Instant,
}

impl StreamOrigins {
    /// Records where a stream began, or went on. It is remembered for `lifetime`.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        now: Instant,
        lifetime: Duration,
    ) {
        self.drop_expired(now);
        let expires = now + lifetime;
        match self.streams.get_mut(&key) {
            Some(stream) => {
                if stream.origin.as_ref() != Some(&origin) {
                    stream.origin = None;
                }
                stream.expires = stream.expires.max(expires);
            }
            None => {
                let origin = Some(origin);
                self.streams.insert(key, Stream { origin, expires });
            }
        }
        self.expiries.push_back((expires, key));
    }

    /// Records a stream that began, or went on, at this node.
    pub fn record_own(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        now: Instant,
        lifetime: Duration,
    ) {
        let service = origin.service.clone();
        self.record(key, origin, now, lifetime);
        let streams = &self.streams;
        let untold = self.untold.entry(service).or_default();
        while untold.front().is_some_and(|key| !streams.contains_key(key)) {
            untold.pop_front();
        }
        untold.push_back(key);
    }

    /// What is known of a stream.
    pub fn get(&self, key: &StreamKey, now: Instant) -> KnownOrigin<'_> {
        let stream = self.streams.get(key);
        match stream.filter(|stream| now < stream.expires) {
            None => KnownOrigin::Unknown,
            Some(Stream { origin: None, .. }) => KnownOrigin::Ambiguous,
            Some(Stream {
                origin: Some(origin),
                ..
            }) => KnownOrigin::At(origin),
        }
    }

    /// The services with streams that no other node was told of.
    pub fn untold_services(&self) -> Vec<ServiceName> {
        self.untold.keys().cloned().collect()
    }

    /// Takes the streams of `service` that no other node was told of.
    pub fn take_untold(
        &mut self,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<(StreamKey, StreamOrigin)> {
        let keys = self.untold.remove(service).unwrap_or_default();
        let known = keys
            .into_iter()
            .filter_map(|key| match self.get(&key, now) {
                KnownOrigin::At(origin) => Some((key, origin.clone())),
                KnownOrigin::Unknown | KnownOrigin::Ambiguous => None,
            });
        known.collect()
    }

    /// The number of remembered streams.
    pub fn count(&self) -> usize {
        self.streams.len()
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((expires, key)) = self.expiries.front().copied() {
            if now < expires && self.expiries.len() < MAX_STREAMS {
                return;
            }
            self.expiries.pop_front();
            // A stream that went on has a later record.
            let stream = self.streams.get(&key);
            if stream.is_some_and(|stream| stream.expires <= expires) {
                self.streams.remove(&key);
            }
        }
    }
}
