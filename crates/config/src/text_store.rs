//! Reads and writes texts in the platform's key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ResultCode;
use nutmegsail_store::{
    Change, Condition, Item, KeyValue, KeyValueError, LeaseId, Put, Revision, Txn,
};
use thiserror::Error;

use crate::{
    Deployment, Digest, Faults, HEAD_KEY, Head, InForce, JoinError, OperatorsText, PIECE_PREFIX,
    Piece, join,
};

/// The maximum number of attempts to read a text. An attempt fails if another text is accepted
/// during it.
const MAX_READS: usize = 4;
/// From this number of pieces on, one range read is cheaper than reading each piece by itself.
const RANGE_READ_THRESHOLD: usize = 3;

/// A head in the store, with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The head.
    pub head: Head,
    /// The revision that wrote it.
    pub revision: Revision,
}

/// A text as read from the store, with its head.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The head.
    pub stored: StoredHead,
    /// The text.
    pub text: OperatorsText,
    /// The parsed text with its generation and digest.
    pub in_force: InForce,
}

/// Why no text could be fetched from the store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FetchError {
    /// The store did not answer the call.
    #[error(transparent)]
    Store(#[from] KeyValueError),
    /// The head record cannot be decoded.
    #[error("the head of the text in the store cannot be read: {0}")]
    MalformedHead(String),
    /// The pieces don't add up to the text that the head names.
    #[error(transparent)]
    Join(#[from] JoinError),
    /// The text in the store has faults, such as keys of a newer release.
    #[error("the text in the store has faults:\n{0}")]
    Invalid(Faults),
}

impl FetchError {
    /// The result code shown to operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Store(error) => error.code(),
            Self::MalformedHead(_) | Self::Join(_) => ResultCode::PlatformUnavailable,
            Self::Invalid(faults) => faults.code(),
        }
    }
}

/// The texts in the platform's key-value service.
#[derive(Clone, Debug)]
pub struct TextStore {
    store: Arc<dyn KeyValue>,
}

impl TextStore {
    /// Reads and writes through `store`.
    pub fn new(store: Arc<dyn KeyValue>) -> Self {
        Self { store }
    }

    /// Reads the head, in one call to the store.
    ///
    /// # Errors
    /// The store did not answer, or what it holds is not a head.
    pub async fn read_head(&self) -> Result<Option<StoredHead>, FetchError> {
        let item = self.store.get(HEAD_KEY).await?;
        item.as_ref().map(decode_head).transpose()
    }

    /// Waits up to `wait` for a head written after the revision `after`, in one call to the store.
    /// Returns no head if none was written; the next watch starts from the returned revision.
    ///
    /// # Errors
    /// As for [`TextStore::read_head`]. Also [`KeyValueError::Compacted`] if the head was removed or
    /// the store's revision fell, as when the store is restored from an older copy; the caller then
    /// reads the head again.
    pub async fn watch_head(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<(Option<StoredHead>, Revision), FetchError> {
        let seen = self.store.watch(HEAD_KEY, after, wait).await?;
        let is_removed =
            |change: &Change| matches!(change, Change::Removed { key, .. } if &**key == HEAD_KEY);
        if seen.revision < after || seen.changes.last().is_some_and(is_removed) {
            return Err(KeyValueError::Compacted.into());
        }
        let puts = seen.changes.iter().rev().filter_map(|change| match change {
            Change::Put(item) if &*item.key == HEAD_KEY => Some(item),
            _ => None,
        });
        let head = puts.map(decode_head).next().transpose()?;
        Ok((head, seen.revision))
    }

    /// Reads pieces, in one call per piece or, if there are many, in range reads of all pieces.
    /// Pieces that the store no longer holds are left out.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_pieces(&self, digests: &[Digest]) -> Result<Vec<Piece>, FetchError> {
        let wanted: BTreeSet<&Digest> = digests.iter().collect();
        let mut pieces = Vec::new();
        if wanted.len() < RANGE_READ_THRESHOLD {
            for digest in wanted {
                let item = self.store.get(&piece_key(digest)).await?;
                pieces.extend(item.as_ref().and_then(decode_piece));
            }
            return Ok(pieces);
        }
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self.store.range(PIECE_PREFIX, after.as_deref()).await?;
            let found = page.items.iter().filter_map(decode_piece);
            pieces.extend(found.filter(|piece| wanted.contains(&piece.digest)));
            after = page.items.last().map(|item| Arc::clone(&item.key));
            if !page.has_more || after.is_none() {
                return Ok(pieces);
            }
        }
    }

    /// Reads and parses the accepted text and checks its digest.
    ///
    /// # Errors
    /// The store did not answer, or what it holds is not a valid text.
    pub async fn fetch(&self) -> Result<Option<Fetched>, FetchError> {
        let mut last = None;
        for _ in 0..MAX_READS {
            let Some(stored) = self.read_head().await? else {
                return Ok(None);
            };
            match self.fetch_text(&stored.head).await {
                // Another text was accepted between the two reads and its pieces replaced these:
                // read again.
                Err(error @ FetchError::Join(JoinError::Missing(_))) => last = Some(error),
                Err(error) => return Err(error),
                Ok(text) => return parse_fetched(stored, text).map(Some),
            }
        }
        Err(last.unwrap_or(FetchError::Store(KeyValueError::Unavailable)))
    }

    async fn fetch_text(&self, head: &Head) -> Result<OperatorsText, FetchError> {
        let pieces = self.read_pieces(&head.pieces).await?;
        let pieces: BTreeMap<Digest, Arc<str>> = pieces
            .into_iter()
            .map(|piece| (piece.digest, piece.text))
            .collect();
        Ok(join(head, &pieces)?)
    }

    /// Replaces the head `found` by `head` and its pieces, if the store still holds `found`, in one
    /// call.
    ///
    /// # Errors
    /// [`KeyValueError::Conflict`] if another head was written meanwhile; otherwise the store's
    /// error.
    pub async fn put_head(
        &self,
        found: Option<&StoredHead>,
        head: &Head,
        pieces: &[Piece],
    ) -> Result<Revision, KeyValueError> {
        self.store.commit(head_txn(found, head, pieces)).await
    }
}

/// Builds the transaction that writes the head and its new pieces, and removes the pieces that only
/// the previous head used. It is conditional on the previous head, so the store always holds
/// exactly the pieces of the accepted text, and a publisher that loses a race removes no piece of
/// the winner.
fn head_txn(found: Option<&StoredHead>, head: &Head, pieces: &[Piece]) -> Txn {
    let held: BTreeSet<&Digest> = found.iter().flat_map(|found| &found.head.pieces).collect();
    let kept: BTreeSet<&Digest> = head.pieces.iter().collect();
    let missing: BTreeMap<&Digest, &Piece> = pieces
        .iter()
        .filter(|piece| !held.contains(&piece.digest))
        .map(|piece| (&piece.digest, piece))
        .collect();
    let mut puts = vec![put(HEAD_KEY.into(), head.to_json())];
    for (digest, piece) in missing {
        puts.push(put(piece_key(digest), piece.text.to_string()));
    }
    let dropped = held.iter().filter(|digest| !kept.contains(*digest));
    Txn {
        expects: vec![Condition {
            key: HEAD_KEY.into(),
            revision: found.map_or(Revision::NONE, |found| found.revision),
        }],
        puts,
        removes: dropped.map(|digest| piece_key(digest).into()).collect(),
    }
}

fn put(key: String, value: String) -> Put {
    Put {
        key: key.into(),
        value: value.into(),
        lease: LeaseId::default(),
    }
}

fn piece_key(digest: &Digest) -> String {
    format!("{PIECE_PREFIX}{digest}")
}

fn decode_piece(item: &Item) -> Option<Piece> {
    let text = std::str::from_utf8(&item.value).ok()?;
    Some(Piece::new(text))
}

pub(crate) fn decode_head(item: &Item) -> Result<StoredHead, FetchError> {
    let head = Head::from_json(&item.value);
    let head = head.map_err(|error| FetchError::MalformedHead(error.to_string()))?;
    Ok(StoredHead {
        head,
        revision: item.revision,
    })
}

fn parse_fetched(stored: StoredHead, text: OperatorsText) -> Result<Fetched, FetchError> {
    let deployment = Deployment::parse_text(&text).map_err(FetchError::Invalid)?;
    let in_force = InForce {
        generation: stored.head.generation,
        digest: stored.head.digest.clone(),
        deployment: Arc::new(deployment),
    };
    Ok(Fetched {
        stored,
        text,
        in_force,
    })
}
