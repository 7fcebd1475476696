//! What a store that comes back from an older copy makes of numbers of before.

#![allow(clippy::unwrap_used, reason = "a stand-in that fails fails its test")]

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use std::time::Duration;

use nutmegsail_base::StoreEra;
use nutmegsail_store::{
    Expect, HttpKeyValue, KeyValue, KeyValueError, LeaseId, PlatformSettings, Put, Revision, Txn,
};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn, answer};

const ITEM: &str = r#"{"key":"k","value":"v","revision":7,"lease":0}"#;
const NO_CHANGES: &str = r#"{"changes":[],"revision":9}"#;
const COMMITTED: &str = r#"{"revision":9}"#;

fn in_era(era: u64, status: u16, body: &str) -> Turn {
    Turn::Answer(answer(status, &format!("store-era: {era}\r\n"), body))
}

/// A store that answers in era 1 first.
async fn store(turns: impl IntoIterator<Item = Turn>) -> (HttpKeyValue, ScriptedServer) {
    let turns: Vec<Turn> = [in_era(1, 200, ITEM)].into_iter().chain(turns).collect();
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let item = store.get("k").await.unwrap().unwrap();
    assert_eq!(item.revision, Revision::of(StoreEra(1), 7));
    (store, server)
}

fn swap(expected: Revision, lease: LeaseId) -> Txn {
    Txn {
        expects: vec![Expect {
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
    Revision::of(StoreEra(1), number)
}

fn lease(number: u64) -> LeaseId {
    LeaseId::of(StoreEra(1), number)
}

// Guards against a later revision of the store that is taken for an earlier one, as its number is lower.
#[tokio::test]
async fn revisions_of_a_later_era_come_later() {
    let (store, _server) = store([in_era(2, 200, &ITEM.replace('7', "3"))]).await;
    let item = store.get("k").await.unwrap().unwrap();
    assert_eq!(item.revision.number(), 3);
    assert!(item.revision > revision(7));
    assert_eq!(store.era(), Some(StoreEra(2)));
}

// Guards against a position that is taken for one of the store's new history.
#[tokio::test]
async fn a_watch_does_not_go_on_in_another_era() {
    let (store, server) = store([in_era(2, 200, NO_CHANGES)]).await;
    let wait = Duration::from_millis(10);
    let watched = store.watch("", revision(7), wait).await;
    assert_eq!(watched, Err(KeyValueError::Compacted));
    let watched = store.watch("", revision(7), wait).await;
    assert_eq!(watched, Err(KeyValueError::Compacted));
    assert_eq!(
        server.seen().len(),
        2,
        "the second is known to be over without a call"
    );
}

// Guards against a lease that is kept for another holder, to whom its number was given out again.
#[tokio::test]
async fn a_lease_ends_with_its_era() {
    let (store, server) = store([in_era(2, 200, "")]).await;
    let kept = store.keep_lease(lease(4)).await;
    assert_eq!(kept, Err(KeyValueError::LeaseGone));
    assert_eq!(store.end_lease(lease(4)).await, Ok(()));
    let put = store.commit(swap(Revision::NONE, lease(4))).await;
    assert_eq!(put, Err(KeyValueError::LeaseGone));
    assert_eq!(server.seen().len(), 2);
}

// Guards against a claim over a revision that was given out again to another node's claim.
#[tokio::test]
async fn a_condition_of_another_era_does_not_hold() {
    let (store, server) = store([in_era(2, 200, ITEM)]).await;
    store.get("k").await.unwrap();
    let swapped = store.commit(swap(revision(7), LeaseId::NONE)).await;
    let current = Vec::new();
    assert_eq!(swapped, Err(KeyValueError::Conflict { current }));
    assert_eq!(server.seen().len(), 2, "the store is not asked");
}

// Guards against a write that counts as a success under a condition that the store took for another one.
#[rstest]
#[case::condition(revision(7), LeaseId::NONE)]
#[case::lease(Revision::NONE, lease(4))]
#[tokio::test]
async fn a_write_that_met_another_era_may_have_been_made(
    #[case] expected: Revision,
    #[case] lease: LeaseId,
) {
    let (store, _server) = store([in_era(2, 200, COMMITTED)]).await;
    let swapped = store.commit(swap(expected, lease)).await;
    assert_eq!(swapped, Err(KeyValueError::Ambiguous));
}

// Guards against an answer that was on its way while the store came back, and tells what is gone.
#[tokio::test]
async fn an_answer_of_an_earlier_era_tells_nothing() {
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
async fn a_store_that_tells_no_era_keeps_its_own_numbers() {
    let turns = [answer(200, "", ITEM), answer(200, "", COMMITTED)].map(Turn::Answer);
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let item = store.get("k").await.unwrap().unwrap();
    assert_eq!((item.revision, store.era()), (Revision::plain(7), None));
    let swapped = store.commit(swap(item.revision, LeaseId::NONE)).await;
    assert_eq!(swapped, Ok(Revision::plain(9)));
}

/// Numbers that a store may give out: past what a cut to fewer bits keeps, and past what a float keeps exact.
const NUMBERS: [u64; 4] = [1 << 41, (1 << 53) + 1, (1 << 63) + 7, u64::MAX];

fn told(era: Option<u64>, body: &str) -> Turn {
    let header = era.map_or(String::new(), |era| format!("store-era: {era}\r\n"));
    Turn::Answer(answer(200, &header, body))
}

// Guards against a lease that is renewed under another number than the store gave it.
#[rstest]
#[tokio::test]
async fn a_lease_is_called_what_the_store_calls_it(
    #[values(None, Some(1), Some(5_000))] era: Option<u64>,
    #[values(0, 1, 2, 3)] number: usize,
) {
    let number = NUMBERS[number];
    let granted = format!(r#"{{"lease":{number},"ttl_ms":4000}}"#);
    let turns = [&granted, "", "", COMMITTED].map(|body| told(era, body));
    let server = ScriptedServer::start(turns).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    let granted = store.grant_lease(Duration::from_secs(4)).await.unwrap();
    assert_eq!(store.keep_lease(granted.lease).await, Ok(()));
    assert_eq!(store.end_lease(granted.lease).await, Ok(()));
    let txn = swap(Revision::default(), granted.lease);
    assert!(store.commit(txn).await.is_ok());
    let seen = server.seen();
    let lease = format!("/v1/kv/lease/{number}");
    assert_eq!(seen[1].line(), format!("POST {lease}/keep"));
    assert_eq!(seen[2].line(), format!("DELETE {lease}"));
    assert!(seen[3].body.contains(&format!(r#""lease":{number}"#)));
}

// Guards against a position or condition that names another revision than the store told.
#[rstest]
#[tokio::test]
async fn a_revision_is_called_what_the_store_calls_it(
    #[values(None, Some(1), Some(5_000))] era: Option<u64>,
    #[values(0, 1, 2, 3)] number: usize,
) {
    let number = NUMBERS[number];
    let item = ITEM.replace('7', &number.to_string());
    let turns = [&item, NO_CHANGES, COMMITTED].map(|body| told(era, body));
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
