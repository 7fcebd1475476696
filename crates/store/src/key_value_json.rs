//! JSON request and answer bodies of [`OwnEncoding`](crate::OwnEncoding).

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Change, Changes, Item, LeaseId, Page, Revision, Txn};

#[derive(Deserialize)]
pub(crate) struct ItemJson {
    key: Arc<str>,
    value: String,
    revision: u64,
    #[serde(default)]
    lease: u64,
}

impl From<ItemJson> for Item {
    fn from(json: ItemJson) -> Self {
        Self {
            key: json.key,
            value: Bytes::from(json.value),
            revision: Revision::without_era(json.revision),
            lease: LeaseId::without_era(json.lease),
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct PageJson {
    items: Vec<ItemJson>,
    has_more: bool,
    revision: u64,
}

impl From<PageJson> for Page {
    fn from(json: PageJson) -> Self {
        Self {
            items: json.items.into_iter().map(Item::from).collect(),
            has_more: json.has_more,
            revision: Revision::without_era(json.revision),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ChangeJson {
    Put(ItemJson),
    Removed { key: Arc<str>, revision: u64 },
}

impl From<ChangeJson> for Change {
    fn from(json: ChangeJson) -> Self {
        match json {
            ChangeJson::Put(item) => Self::Put(item.into()),
            ChangeJson::Removed { key, revision } => Self::Removed {
                key,
                revision: Revision::without_era(revision),
            },
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct ChangesJson {
    changes: Vec<ChangeJson>,
    revision: u64,
}

impl From<ChangesJson> for Changes {
    fn from(json: ChangesJson) -> Self {
        Self {
            changes: json.changes.into_iter().map(Change::from).collect(),
            revision: Revision::without_era(json.revision),
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct ConflictJson {
    pub(crate) current: Vec<ItemJson>,
}

#[derive(Deserialize)]
pub(crate) struct CommittedJson {
    pub(crate) revision: u64,
}

#[derive(Serialize)]
pub(crate) struct GrantJson {
    pub(crate) ttl_ms: u64,
}

#[derive(Deserialize)]
pub(crate) struct GrantedJson {
    pub(crate) lease: u64,
    pub(crate) ttl_ms: u64,
}

#[derive(Serialize)]
struct ExpectJson<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Serialize)]
struct PutJson<'a> {
    key: &'a str,
    value: &'a str,
    lease: u64,
}

#[derive(Serialize)]
pub(crate) struct TxnJson<'a> {
    expects: Vec<ExpectJson<'a>>,
    puts: Vec<PutJson<'a>>,
    removes: &'a [Arc<str>],
}

impl<'a> TxnJson<'a> {
    /// Fails if a value is not UTF-8: values are JSON strings.
    pub(crate) fn new(txn: &'a Txn) -> Result<Self, std::str::Utf8Error> {
        let expects = txn.expects.iter().map(|expect| ExpectJson {
            key: &expect.key,
            revision: expect.revision.number(),
        });
        let puts = txn.puts.iter().map(|put| {
            Ok(PutJson {
                key: &put.key,
                value: std::str::from_utf8(&put.value)?,
                lease: put.lease.number(),
            })
        });
        Ok(Self {
            expects: expects.collect(),
            puts: puts.collect::<Result<_, _>>()?,
            removes: &txn.removes,
        })
    }
}
