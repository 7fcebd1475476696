//! Tests [`HttpKeyValue`] against the stand-in key-value service over HTTP.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_fakes::{FakeKeyValue, HttpServer, Knobs, loopback};
use nutmegsail_store::{
    HttpKeyValue, KeyValue, KeyValueError, LeaseId, PlatformSettings, Revision, Txn,
};

async fn store() -> (Arc<FakeKeyValue>, HttpServer, HttpKeyValue) {
    let fake = Arc::new(FakeKeyValue::default());
    let listener = loopback().await.expect("a free port");
    let server = fake.serve_http(listener).expect("a server");
    let settings = PlatformSettings::at(server.address.to_string());
    (fake, server, HttpKeyValue::new(settings))
}

#[tokio::test]
async fn a_written_item_can_be_read_watched_and_compared() {
    let (_fake, _server, store) = store().await;
    let key = "nutmegsail/a b&c";
    let first = store
        .commit(Txn::compare_and_swap(key, Revision::NONE, "é"))
        .await
        .unwrap();
    assert_eq!(store.get(key).await.unwrap().unwrap().value, "é");
    assert_eq!(store.get("nutmegsail/none").await, Ok(None));
    let page = store.range("nutmegsail/", None).await.unwrap();
    assert_eq!((page.items.len(), page.items[0].revision), (1, first));
    let wait = Duration::from_secs(30);
    let seen = store
        .watch("nutmegsail/", Revision::NONE, wait)
        .await
        .unwrap();
    assert_eq!(seen.changes.len(), 1);
    let stale = store
        .commit(Txn::compare_and_swap(key, Revision::NONE, "x"))
        .await;
    let Err(KeyValueError::Conflict { current }) = stale else {
        panic!("{stale:?}");
    };
    assert_eq!(current[0].revision, first);
}

#[tokio::test]
async fn a_lease_lives_until_it_is_ended() {
    let (_fake, _server, store) = store().await;
    let grant = store.grant_lease(Duration::from_secs(60)).await.unwrap();
    store.renew_lease(grant.lease).await.unwrap();
    store.revoke_lease(grant.lease).await.unwrap();
    assert_eq!(
        store.renew_lease(grant.lease).await,
        Err(KeyValueError::LeaseGone)
    );
    assert_ne!(grant.lease, LeaseId::default());
}

/// Guards against reporting a write as not executed when the store made it and only the answer
/// was lost.
#[tokio::test]
async fn a_write_that_lost_its_answer_is_ambiguous_and_takes_effect() {
    let (fake, _server, store) = store().await;
    fake.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let lost = store
        .commit(Txn::compare_and_swap("k", Revision::NONE, "v"))
        .await;
    assert_eq!(lost, Err(KeyValueError::Ambiguous));
    assert_eq!(store.get("k").await.unwrap().unwrap().value, "v");
    assert_eq!(fake.counts().txns, 1);
}

#[tokio::test]
async fn a_write_during_an_outage_is_not_executed() {
    let (fake, _server, store) = store().await;
    fake.set_knobs(Knobs {
        outage: true,
        ..Knobs::default()
    });
    let refused = store
        .commit(Txn::compare_and_swap("k", Revision::NONE, "v"))
        .await;
    assert_eq!(refused, Err(KeyValueError::Unavailable));
    fake.set_knobs(Knobs::default());
    assert_eq!(store.get("k").await, Ok(None));
}
