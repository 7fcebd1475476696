//! Revisions and leases of earlier eras after the store was restored from an older copy.

#![allow(clippy::unwrap_used, reason = "a failing stand-in must fail the test")]

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use std::time::Duration;

use nutmegsail_base::StoreEra;
use nutmegsail_store::{
    Condition, HttpKeyValue, KeyValue, KeyValueError, LeaseId, PlatformSettings, Put, Revision, Txn,
};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn, answer};

const ITEM: &str = r#"{"key":"k","value":"v","revision":7,"lease":0}"#;
const NO_CHANGES: &str = r#"{"changes":[],"revision":9}"#;
const COMMITTED: &str = r#"{"revision":9}"#;

fn in_era(era: u64, status: u16, body: &str) -> Turn {
    Turn::Answer(answer(status, &format!("store-era: {era}\r\n"), body))
}

/// A client that has seen era 1, and the server that answers with `turns` next.
async fn store(turns: impl IntoIterator<Item = Turn>) -> (HttpKeyValue, ScriptedServer) {
    let turns: Vec<Turn> = [in_era(1, 200, ITEM)].into_iter().chain(turns).collect();
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let item = store.get("k").await.unwrap().unwrap();
    assert_eq!(item.revision, Revision::in_era(StoreEra(1), 7));
    (store, server)
}

fn swap(expected: Revision, lease: LeaseId) -> Txn {
    Txn {
        expects: vec![Condition {
            key: "k".into(),
            revision: expected,
        }],
        puts: vec![Put {
            key: "k".into(),
            value: "w".into(),
            lease,
        }],
        ..Txn::default()
    }
}

fn revision(number: u64) -> Revision {
    Revision::in_era(StoreEra(1), number)
}

fn lease(number: u64) -> LeaseId {
    LeaseId::in_era(StoreEra(1), number)
}

// Guards against taking a revision for an older one because its number was set back by a restore.
#[tokio::test]
async fn revisions_of_a_later_era_compare_greater() {
    let (store, _server) = store([in_era(2, 200, &ITEM.replace('7', "3"))]).await;
    let item = store.get("k").await.unwrap().unwrap();
    assert_eq!(item.revision.number(), 3);
    assert!(item.revision > revision(7));
    assert_eq!(store.era(), Some(StoreEra(2)));
}

// Guards against continuing a watch at a revision of an earlier era, which the store would take
// for one of its current era.
#[tokio::test]
async fn a_watch_fails_in_another_era() {
    let (store, server) = store([in_era(2, 200, NO_CHANGES)]).await;
    let wait = Duration::from_millis(10);
    let watched = store.watch("", revision(7), wait).await;
    assert_eq!(watched, Err(KeyValueError::Compacted));
    let watched = store.watch("", revision(7), wait).await;
    assert_eq!(watched, Err(KeyValueError::Compacted));
    assert_eq!(
        server.seen().len(),
        2,
        "the second watch fails without a call"
    );
}

// Guards against renewing the lease of another holder that was granted the same number after a
// restore.
#[tokio::test]
async fn a_lease_ends_with_its_era() {
    let (store, server) = store([in_era(2, 200, "")]).await;
    let kept = store.renew_lease(lease(4)).await;
    assert_eq!(kept, Err(KeyValueError::LeaseGone));
    assert_eq!(store.revoke_lease(lease(4)).await, Ok(()));
    let put = store.commit(swap(Revision::NONE, lease(4))).await;
    assert_eq!(put, Err(KeyValueError::LeaseGone));
    assert_eq!(server.seen().len(), 2);
}

// Guards against overwriting another node's claim whose revision has the same number after a
// restore.
#[tokio::test]
async fn a_condition_of_another_era_does_not_hold() {
    let (store, server) = store([in_era(2, 200, ITEM)]).await;
    store.get("k").await.unwrap();
    let swapped = store.commit(swap(revision(7), LeaseId::NONE)).await;
    let current = Vec::new();
    assert_eq!(swapped, Err(KeyValueError::Conflict { current }));
    assert_eq!(server.seen().len(), 2, "no call is made");
}

// Guards against reporting a write as successful when the store checked its condition or lease
// against one of another era with the same number.
#[rstest]
#[case::condition(revision(7), LeaseId::NONE)]
#[case::lease(Revision::NONE, lease(4))]
#[tokio::test]
async fn a_write_executed_in_another_era_is_ambiguous(
    #[case] expected: Revision,
    #[case] lease: LeaseId,
) {
    let (store, _server) = store([in_era(2, 200, COMMITTED)]).await;
    let swapped = store.commit(swap(expected, lease)).await;
    assert_eq!(swapped, Err(KeyValueError::Ambiguous));
}

// Guards against using an answer that was sent before the store was restored: it describes state
// that was lost.
#[tokio::test]
async fn an_answer_of_an_earlier_era_is_rejected() {
    let (store, _server) = store([
        in_era(2, 200, ITEM),
        in_era(1, 200, ITEM),
        in_era(1, 200, COMMITTED),
    ])
    .await;
    store.get("k").await.unwrap();
    let read = store.get("k").await;
    assert_eq!(read.unwrap_err(), KeyValueError::Unavailable);
    let swapped = store.commit(swap(Revision::NONE, LeaseId::NONE)).await;
    assert_eq!(swapped, Err(KeyValueError::Ambiguous));
}

#[tokio::test]
async fn a_store_without_eras_uses_plain_revisions() {
    let turns = [answer(200, "", ITEM), answer(200, "", COMMITTED)].map(Turn::Answer);
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let item = store.get("k").await.unwrap().unwrap();
    assert_eq!(
        (item.revision, store.era()),
        (Revision::without_era(7), None)
    );
    let swapped = store.commit(swap(item.revision, LeaseId::NONE)).await;
    assert_eq!(swapped, Ok(Revision::without_era(9)));
}

/// Numbers that a store may assign: too large for truncation to fewer bits, and for a float to
/// represent exactly.
const NUMBERS: [u64; 4] = [1 << 41, (1 << 53) + 1, (1 << 63) + 7, u64::MAX];

fn answer_in_era(era: Option<u64>, body: &str) -> Turn {
    let header = era.map_or(String::new(), |era| format!("store-era: {era}\r\n"));
    Turn::Answer(answer(200, &header, body))
}

// Guards against renewing a lease under another number than the store assigned.
#[rstest]
#[tokio::test]
async fn lease_ids_are_sent_back_unchanged(
    #[values(None, Some(1), Some(5_000))] era: Option<u64>,
    #[values(0, 1, 2, 3)] number: usize,
) {
    let number = NUMBERS[number];
    let granted = format!(r#"{{"lease":{number},"ttl_ms":4000}}"#);
    let turns = [&granted, "", "", COMMITTED].map(|body| answer_in_era(era, body));
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let granted = store.grant_lease(Duration::from_secs(4)).await.unwrap();
    assert_eq!(store.renew_lease(granted.lease).await, Ok(()));
    assert_eq!(store.revoke_lease(granted.lease).await, Ok(()));
    let txn = swap(Revision::default(), granted.lease);
    assert!(store.commit(txn).await.is_ok());
    let seen = server.seen();
    let lease = format!("/v1/kv/lease/{number}");
    assert_eq!(seen[1].line(), format!("POST {lease}/keep"));
    assert_eq!(seen[2].line(), format!("DELETE {lease}"));
    assert!(seen[3].body.contains(&format!(r#""lease":{number}"#)));
}

// Guards against watches and conditions that send another revision than the store assigned.
#[rstest]
#[tokio::test]
async fn revisions_are_sent_back_unchanged(
    #[values(None, Some(1), Some(5_000))] era: Option<u64>,
    #[values(0, 1, 2, 3)] number: usize,
) {
    let number = NUMBERS[number];
    let item = ITEM.replace('7', &number.to_string());
    let turns = [&item, NO_CHANGES, COMMITTED].map(|body| answer_in_era(era, body));
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let item = store.get("k").await.unwrap().unwrap();
    let wait = Duration::from_millis(10);
    assert!(store.watch("", item.revision, wait).await.is_ok());
    let txn = swap(item.revision, LeaseId::default());
    assert!(store.commit(txn).await.is_ok());
    let seen = server.seen();
    let position = format!("after_revision={number}&");
    assert!(seen[1].line().contains(&position));
    assert!(seen[2].body.contains(&format!(r#""revision":{number}"#)));
}
