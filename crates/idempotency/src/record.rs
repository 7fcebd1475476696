//! A stored record: a group of claims of bounded size.

use bytes::Bytes;
use nutmegsail_base::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ClaimEntry, ClaimState, Claimant, IdempotencyKey, RecordedAnswer, RecordedHeader, RequestDigest,
};

/// One record of a chain. A sealed record takes no new keys; its entries may still change state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The entries, oldest first, one for each key.
    pub entries: Vec<ClaimEntry>,
    /// Whether the record is sealed, so that new keys go into the next record.
    pub is_sealed: bool,
}

/// A stored value could not be decoded as a claim record. Such a value is never overwritten.
#[derive(Debug, Error)]
#[error("the stored claims cannot be read: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl ClaimRecord {
    /// The entry for `key`.
    pub fn find(&self, key: &IdempotencyKey) -> Option<&ClaimEntry> {
        self.entries.iter().find(|entry| entry.key == *key)
    }

    /// Replaces the entry for the same key, or appends `entry`.
    pub fn put(&mut self, entry: ClaimEntry) {
        match self.entries.iter_mut().find(|old| old.key == entry.key) {
            Some(old) => *old = entry,
            None => self.entries.push(entry),
        }
    }

    /// Encodes the record as JSON, so that the store can keep it as text.
    ///
    /// ```
    /// use nutmegsail_idempotency::ClaimRecord;
    ///
    /// let record = ClaimRecord::default();
    /// assert_eq!(ClaimRecord::decode(&record.encode()).unwrap(), record);
    /// ```
    pub fn encode(&self) -> Bytes {
        let stored = StoredClaims {
            sealed: self.is_sealed,
            claims: self.entries.iter().map(StoredClaim::from).collect(),
        };
        serde_json::to_vec(&stored)
            .expect("strings and numbers always encode")
            .into()
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    /// The value is not a claim record in this layout.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        let stored: StoredClaims = serde_json::from_slice(value)?;
        Ok(Self {
            entries: stored.claims.into_iter().map(ClaimEntry::from).collect(),
            is_sealed: stored.sealed,
        })
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredClaims {
    sealed: bool,
    claims: Vec<StoredClaim>,
}

/// A claim as stored. The field names are short because each commit rewrites all claims of the
/// record.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredClaim {
    k: IdempotencyKey,
    d: RequestDigest,
    n: NodeId,
    i: Incarnation,
    c: u64,
    s: StoredState,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
enum StoredState {
    Claimed,
    Unknown,
    Released,
    Answered {
        status: u16,
        kept: bool,
        headers: Vec<RecordedHeader>,
        body: StoredBody,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StoredBody {
    Text(String),
    Hex(String),
}

impl From<&ClaimEntry> for StoredClaim {
    fn from(entry: &ClaimEntry) -> Self {
        Self {
            k: entry.key.clone(),
            d: entry.digest,
            n: entry.claimant.node.clone(),
            i: entry.claimant.incarnation,
            c: entry.claimant.number,
            s: StoredState::from(&entry.state),
        }
    }
}

impl From<StoredClaim> for ClaimEntry {
    fn from(stored: StoredClaim) -> Self {
        Self {
            key: stored.k,
            digest: stored.d,
            claimant: Claimant {
                node: stored.n,
                incarnation: stored.i,
                number: stored.c,
            },
            state: stored.s.into(),
        }
    }
}

impl From<&ClaimState> for StoredState {
    fn from(state: &ClaimState) -> Self {
        match state {
            ClaimState::Claimed => Self::Claimed,
            ClaimState::Unknown => Self::Unknown,
            ClaimState::Released => Self::Released,
            ClaimState::Answered(answer) => Self::Answered {
                status: answer.status,
                kept: answer.is_kept,
                headers: answer.headers.clone(),
                body: StoredBody::from(&answer.body),
            },
        }
    }
}

impl From<StoredState> for ClaimState {
    fn from(stored: StoredState) -> Self {
        match stored {
            StoredState::Claimed => Self::Claimed,
            StoredState::Unknown => Self::Unknown,
            StoredState::Released => Self::Released,
            StoredState::Answered {
                status,
                kept,
                headers,
                body,
            } => Self::Answered(body.into_answer(status, kept, headers)),
        }
    }
}

impl From<&Bytes> for StoredBody {
    fn from(body: &Bytes) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(hex::encode(body)),
        }
    }
}

impl StoredBody {
    fn into_answer(
        self,
        status: u16,
        is_kept: bool,
        headers: Vec<RecordedHeader>,
    ) -> RecordedAnswer {
        let body = match self {
            Self::Text(text) => Some(Bytes::from(text)),
            Self::Hex(text) => hex::decode(text).ok().map(Bytes::from),
        };
        RecordedAnswer {
            status,
            headers,
            is_kept: is_kept && body.is_some(),
            body: body.unwrap_or_default(),
        }
    }
}
