//! Origins of several streams, as one value in the store.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::stream_key::SHORT_KEY_BYTES;
use crate::{KnownOrigin, StreamKey, StreamOrigin};

/// The most streams in a batch, which bounds the size of a value in the store.
const MAX_STREAMS: usize = 4_000;

/// The most origins in a batch, as a stream refers to its origin by one byte.
const MAX_ORIGINS: usize = 256;

/// The origins of streams that one node writes to the store together. Each stream takes nine bytes.
///
/// ```
/// use nutmegsail_relay::{OriginBatch, StreamKey, StreamOrigin};
/// let key = StreamKey::of(None, &"0caa45a4".into());
/// let origin = StreamOrigin { service: "scribe".into(), software: "v1.1".into() };
/// let mut batch = OriginBatch::default();
/// assert!(batch.push(&key, &origin));
/// let read = OriginBatch::from_bytes(&batch.to_bytes())?;
/// assert_eq!(read.find(&key), Some(&origin));
/// assert!(OriginBatch::from_bytes(b"garbage").is_err());
/// # Ok::<(), nutmegsail_relay::OriginBatchFault>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginBatch {
    origins: Vec<StreamOrigin>,
    streams: Vec<BatchedStream>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BatchedStream {
    key: [u8; SHORT_KEY_BYTES],
    /// Index into the origins.
    origin: u8,
}

/// A value in the store is not a batch of origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OriginBatchFault {
    /// It cannot be decoded.
    #[error("the value is not a batch of stream origins")]
    Undecodable,
    /// A stream refers to an origin that the batch does not have.
    #[error("a stream refers to an origin that is not in its batch")]
    MissingOrigin,
}

impl OriginBatch {
    /// Adds a stream, and returns whether there was room for it.
    pub fn push(&mut self, key: &StreamKey, origin: &StreamOrigin) -> bool {
        if self.streams.len() >= MAX_STREAMS {
            return false;
        }
        let known = self.origins.iter().position(|known| known == origin);
        if known.is_none() && self.origins.len() >= MAX_ORIGINS {
            return false;
        }
        let index = known.unwrap_or(self.origins.len());
        let Ok(index) = u8::try_from(index) else {
            return false;
        };
        if known.is_none() {
            self.origins.push(origin.clone());
        }
        self.streams.push(BatchedStream {
            key: key.short(),
            origin: index,
        });
        true
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether it has no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// The value in the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a value of the store.
    ///
    /// # Errors
    ///
    /// If `bytes` is not exactly a batch.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, OriginBatchFault> {
        let (batch, rest): (Self, _) =
            postcard::take_from_bytes(bytes).map_err(|_| OriginBatchFault::Undecodable)?;
        if !rest.is_empty() {
            return Err(OriginBatchFault::Undecodable);
        }
        let has_origin = |stream: &BatchedStream| usize::from(stream.origin) < batch.origins.len();
        if !batch.streams.iter().all(has_origin) {
            return Err(OriginBatchFault::MissingOrigin);
        }
        Ok(batch)
    }

    /// The origin of a stream, or `None` if the batch has none or several. To look a stream up in more
    /// than one batch, use [`Self::find_all`].
    pub fn find(&self, key: &StreamKey) -> Option<&StreamOrigin> {
        match Self::find_all([self], key) {
            KnownOrigin::At(origin) => Some(origin),
            KnownOrigin::Unknown | KnownOrigin::Ambiguous => None,
        }
    }

    /// What all of `batches` together say of a stream.
    ///
    /// ```
    /// use nutmegsail_relay::{KnownOrigin, OriginBatch, StreamKey, StreamOrigin};
    /// let key = StreamKey::of(None, &"0caa45a4".into());
    /// let [first, second] = ["v1", "v2"].map(|version| {
    ///     let origin = StreamOrigin { service: "scribe".into(), software: version.into() };
    ///     let mut batch = OriginBatch::default();
    ///     batch.push(&key, &origin);
    ///     batch
    /// });
    /// assert_eq!(OriginBatch::find_all([&first, &second], &key), KnownOrigin::Ambiguous);
    /// ```
    pub fn find_all<'a>(
        batches: impl IntoIterator<Item = &'a Self>,
        key: &StreamKey,
    ) -> KnownOrigin<'a> {
        let mut found = KnownOrigin::Unknown;
        for origin in batches.into_iter().flat_map(|batch| batch.origins_of(key)) {
            found = match found {
                KnownOrigin::Unknown => KnownOrigin::At(origin),
                KnownOrigin::At(other) if other == origin => found,
                KnownOrigin::At(_) | KnownOrigin::Ambiguous => return KnownOrigin::Ambiguous,
            };
        }
        found
    }

    fn origins_of(&self, key: &StreamKey) -> impl Iterator<Item = &StreamOrigin> {
        let key = key.short();
        let streams = self.streams.iter().filter(move |stream| stream.key == key);
        streams.filter_map(|stream| self.origins.get(usize::from(stream.origin)))
    }
}
