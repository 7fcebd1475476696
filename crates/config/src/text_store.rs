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

/// How often a read begins anew because another text was accepted in the middle of it.
const READS_MAX: usize = 4;
/// From so many pieces on, one read of the range costs less than a read for each.
const RANGE_FROM: usize = 3;

/// A head as the store holds it.
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
    /// The text as it takes effect.
    pub in_force: InForce,
}

/// Why no text could be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FetchError {
    /// The store did not answer the call.
    #[error(transparent)]
    Store(#[from] KeyValueError),
    /// The head cannot be read.
    #[error("the head of the text in the store cannot be read: {0}")]
    MalformedHead(String),
    /// The pieces do not make the text that the head names.
    #[error(transparent)]
    Join(#[from] JoinError),
    /// The text in the store has faults, such as keys of a newer release.
    #[error("the text in the store has faults:\n{0}")]
    Invalid(Faults),
}

impl FetchError {
    /// The numbered result for operators.
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

    /// Reads the head: one call.
    ///
    /// # Errors
    /// The store did not answer, or what it holds is not a head.
    pub async fn read_head(&self) -> Result<Option<StoredHead>, FetchError> {
        let item = self.store.get(HEAD_KEY).await?;
        item.as_ref().map(stored_head).transpose()
    }

    /// Waits up to `wait` for a head written after `after`: one call. No head means that none came;
    /// watch on from the returned revision.
    ///
    /// # Errors
    /// As for [`TextStore::read_head`]. [`KeyValueError::Compacted`] also if the head was removed or
    /// the store's revision fell, as after it was restored from a copy: read the head anew then.
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
        let head = puts.map(stored_head).next().transpose()?;
        Ok((head, seen.revision))
    }

    /// Reads pieces: one call for each, or one for all of them if they are many. Those that the store
    /// no longer holds are left out.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_pieces(&self, digests: &[Digest]) -> Result<Vec<Piece>, FetchError> {
        let wanted: BTreeSet<&Digest> = digests.iter().collect();
        let mut pieces = Vec::new();
        if wanted.len() < RANGE_FROM {
            for digest in wanted {
                let item = self.store.get(&piece_key(digest)).await?;
                pieces.extend(item.as_ref().and_then(piece_of));
            }
            return Ok(pieces);
        }
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self.store.range(PIECE_PREFIX, after.as_deref()).await?;
            let found = page.items.iter().filter_map(piece_of);
            pieces.extend(found.filter(|piece| wanted.contains(&piece.digest)));
            after = page.items.last().map(|item| Arc::clone(&item.key));
            if !page.has_more || after.is_none() {
                return Ok(pieces);
            }
        }
    }

    /// Reads the accepted text and checks its digests.
    ///
    /// # Errors
    /// The store did not answer, or what it holds is not a valid text.
    pub async fn fetch(&self) -> Result<Option<Fetched>, FetchError> {
        let mut last = None;
        for _ in 0..READS_MAX {
            let Some(stored) = self.read_head().await? else {
                return Ok(None);
            };
            match self.fetch_text(&stored.head).await {
                // The next text was accepted between the two reads and its pieces took the place of
                // these: begin anew.
                Err(error @ FetchError::Join(JoinError::Missing(_))) => last = Some(error),
                Err(error) => return Err(error),
                Ok(text) => return fetched(stored, text).map(Some),
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

    /// Writes `head` with its pieces in place of `found`, if the store still holds that: one call.
    ///
    /// # Errors
    /// [`KeyValueError::Conflict`] if another head was written meanwhile; otherwise as the store says.
    pub async fn put_head(
        &self,
        found: Option<&StoredHead>,
        head: &Head,
        pieces: &[Piece],
    ) -> Result<Revision, KeyValueError> {
        self.store.commit(head_txn(found, head, pieces)).await
    }
}

/// One transaction writes the head and the missing pieces and removes those that the head before
/// used alone. So the store holds the pieces of the accepted text and no others, and no publisher
/// can remove a piece that another one has just counted on: whoever loses the head writes nothing.
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

fn piece_of(item: &Item) -> Option<Piece> {
    let text = std::str::from_utf8(&item.value).ok()?;
    Some(Piece::new(text))
}

pub(crate) fn stored_head(item: &Item) -> Result<StoredHead, FetchError> {
    let head = Head::from_json(&item.value);
    let head = head.map_err(|error| FetchError::MalformedHead(error.to_string()))?;
    Ok(StoredHead {
        head,
        revision: item.revision,
    })
}

fn fetched(stored: StoredHead, text: OperatorsText) -> Result<Fetched, FetchError> {
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
