//! What the key-value stand-in promises, in memory and over HTTP.

#![allow(clippy::unwrap_used, reason = "in a test file a panic is the verdict")]

mod http_client;

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use http_client::call;
use nutmegsail_base::ManualClock;
use nutmegsail_fakes::{FakeKeyValue, KeyValueLimits, Knobs, TokioClock, loopback};
use nutmegsail_store::{Change, KeyValue, KeyValueError, LeaseId, Put, Revision, Txn};
use rstest::rstest;

fn store() -> (Arc<ManualClock>, Arc<FakeKeyValue>) {
    let clock = Arc::new(ManualClock::default());
    let store = FakeKeyValue::new(Arc::clone(&clock) as _, KeyValueLimits::default(), 7);
    (clock, Arc::new(store))
}

async fn value_of(store: &FakeKeyValue, key: &str) -> Option<String> {
    let item = store.get(key).await.unwrap()?;
    Some(String::from_utf8(item.value.to_vec()).unwrap())
}

fn leased(key: &str, lease: LeaseId) -> Txn {
    let put = Put {
        key: key.into(),
        value: "leased".into(),
        lease,
    };
    Txn {
        puts: vec![put],
        ..Txn::default()
    }
}

#[tokio::test]
async fn a_swap_on_an_old_revision_changes_nothing_and_shows_the_present_item() {
    let (_, store) = store();
    let first = store
        .commit(Txn::compare_and_swap("head", Revision::NONE, "1"))
        .await;
    let first = first.unwrap();
    store
        .commit(Txn::compare_and_swap("head", first, "2"))
        .await
        .unwrap();

    let refused = store
        .commit(Txn::compare_and_swap("head", first, "3"))
        .await;

    let Err(KeyValueError::Conflict { current }) = refused else {
        panic!("not a conflict: {refused:?}");
    };
    assert_eq!(current[0].value, "2");
    assert_eq!(value_of(&store, "head").await.as_deref(), Some("2"));
}

#[rstest]
#[case::value(Txn::compare_and_swap("k", Revision::NONE, vec![b'v'; 1_000_001]))]
#[case::key(Txn::compare_and_swap("k".repeat(201), Revision::NONE, "v"))]
#[case::entries(Txn { removes: (0..33).map(|n| n.to_string().into()).collect(), ..Txn::default() })]
#[tokio::test]
async fn what_is_over_a_limit_is_refused_whole(#[case] txn: Txn) {
    let (_, store) = store();
    assert_eq!(store.commit(txn).await, Err(KeyValueError::TooLarge));
    assert_eq!(store.range("", None).await.unwrap().items, []);
}

#[tokio::test]
async fn a_lease_lives_while_it_is_kept_and_takes_its_keys_along() {
    let (clock, store) = store();
    let ttl = Duration::from_secs(3);
    let lease = store.grant_lease(ttl).await.unwrap().lease;
    store.commit(leased("node/a", lease)).await.unwrap();

    clock.advance(Duration::from_secs(2));
    store.renew_lease(lease).await.unwrap();
    clock.advance(Duration::from_secs(2));
    assert!(value_of(&store, "node/a").await.is_some());

    clock.advance(Duration::from_secs(1));
    assert_eq!(value_of(&store, "node/a").await, None);
    assert_eq!(
        store.renew_lease(lease).await,
        Err(KeyValueError::LeaseGone)
    );
    let late = store.commit(leased("node/a", lease)).await;
    assert_eq!(late, Err(KeyValueError::LeaseGone));
}

#[tokio::test(start_paused = true)]
async fn a_waiting_watch_sees_a_put_and_the_end_of_a_lease_and_counts_once() {
    let limits = KeyValueLimits::default();
    let store = Arc::new(FakeKeyValue::new(Arc::<TokioClock>::default(), limits, 7));
    let ttl = Duration::from_secs(3);
    let lease = store.grant_lease(ttl).await.unwrap().lease;
    let watching = Arc::clone(&store);
    let hour = Duration::from_secs(3600);
    let watch = tokio::spawn(async move { watching.watch("node/", Revision::NONE, hour).await });
    tokio::task::yield_now().await;
    store
        .commit(leased("other/b", LeaseId::NONE))
        .await
        .unwrap();
    store.commit(leased("node/a", lease)).await.unwrap();

    let seen = watch.await.unwrap().unwrap();
    assert!(matches!(&seen.changes[..], [Change::Put(item)] if &*item.key == "node/a"));
    let seen = store.watch("node/", seen.revision, hour).await.unwrap();
    assert!(matches!(&seen.changes[..], [Change::Removed { key, .. }] if &**key == "node/a"));
    assert_eq!(store.counts().watches, 2);
}

#[tokio::test]
async fn a_watch_from_forgotten_history_is_told_so() {
    let (_, store) = store();
    store
        .commit(Txn::compare_and_swap("a", Revision::NONE, "1"))
        .await
        .unwrap();
    store.forget_history();
    let watch = store.watch("", Revision::NONE, Duration::ZERO).await;
    assert_eq!(watch, Err(KeyValueError::Compacted));
    let watch = store
        .watch("", Revision::without_era(1), Duration::ZERO)
        .await;
    assert_eq!(watch.unwrap().changes, []);
}

/// An operator applies a text and gets no answer. The write took effect all the same: the answer
/// was lost on the way back. Applying it again must find the first write.
#[tokio::test]
async fn a_write_whose_answer_is_lost_took_effect() {
    let (_, store) = store();
    store.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let lost = store
        .commit(Txn::compare_and_swap("head", Revision::NONE, "1"))
        .await;
    assert_eq!(lost, Err(KeyValueError::Ambiguous));
    assert_eq!(value_of(&store, "head").await.as_deref(), Some("1"));
}

/// A writer gets no answer, reads back and sees nothing; its write arrives afterwards. It takes
/// effect only if nobody has written in between.
#[rstest]
#[case::nobody_wrote(false, "late")]
#[case::another_wrote(true, "another")]
#[tokio::test]
async fn a_late_write_takes_effect_only_if_its_condition_still_holds(
    #[case] another_writes: bool,
    #[case] expected: &str,
) {
    let (clock, store) = store();
    store.set_knobs(Knobs {
        late_share: 1.0,
        late_ms: 500,
        ..Knobs::default()
    });
    let lost = store
        .commit(Txn::compare_and_swap("head", Revision::NONE, "late"))
        .await;
    assert_eq!(lost, Err(KeyValueError::Ambiguous));
    assert_eq!(value_of(&store, "head").await, None);
    store.set_knobs(Knobs::default());
    if another_writes {
        let another = Txn::compare_and_swap("head", Revision::NONE, "another");
        store.commit(another).await.unwrap();
    }
    clock.advance(Duration::from_millis(500));
    assert_eq!(value_of(&store, "head").await.as_deref(), Some(expected));
}

#[tokio::test]
async fn calls_over_the_rate_are_refused_until_the_clock_moves_on() {
    let clock = Arc::new(ManualClock::default());
    let limits = KeyValueLimits {
        writes_per_s: 2.0,
        reads_per_s: 1.0,
        ..KeyValueLimits::default()
    };
    let store = FakeKeyValue::new(Arc::clone(&clock) as _, limits, 7);
    let write = |key: &'static str| store.commit(Txn::compare_and_swap(key, Revision::NONE, "v"));
    write("a").await.unwrap();
    write("b").await.unwrap();
    assert_eq!(write("c").await, Err(KeyValueError::Refused));
    assert_eq!(store.get("c").await, Ok(None));
    assert_eq!(store.get("c").await, Err(KeyValueError::Refused));
    clock.advance(Duration::from_millis(500));
    write("c").await.unwrap();
    assert_eq!(store.counts().total(), 6);
}

#[tokio::test]
async fn an_outage_does_nothing_and_stale_reads_and_a_restore_show_the_copy() {
    let (_, store) = store();
    let first = store
        .commit(Txn::compare_and_swap("head", Revision::NONE, "1"))
        .await;
    store.take_copy();
    let swap = Txn::compare_and_swap("head", first.unwrap(), "2");
    store.set_knobs(Knobs {
        outage: true,
        ..Knobs::default()
    });
    let refused = store.commit(swap.clone()).await;
    assert_eq!(refused, Err(KeyValueError::Unavailable));
    store.set_knobs(Knobs {
        stale_read_share: 1.0,
        ..Knobs::default()
    });
    store.commit(swap).await.unwrap();
    assert_eq!(value_of(&store, "head").await.as_deref(), Some("1"));
    store.set_knobs(Knobs::default());
    assert_eq!(value_of(&store, "head").await.as_deref(), Some("2"));

    store.restore_copy();
    assert_eq!(value_of(&store, "head").await.as_deref(), Some("1"));
    let watch = store
        .watch("", Revision::without_era(2), Duration::ZERO)
        .await;
    assert_eq!(watch, Err(KeyValueError::Compacted));
}

#[tokio::test(start_paused = true)]
async fn a_silent_service_answers_nothing_for_a_while() {
    let (_, store) = store();
    store.set_knobs(Knobs {
        silent: true,
        ..Knobs::default()
    });
    assert_eq!(store.get("a").now_or_never(), None);
    assert_eq!(store.get("a").await, Err(KeyValueError::Ambiguous));
}

#[tokio::test]
async fn over_http_each_call_answers_as_the_readme_says() {
    let (clock, store) = store();
    let server = store.serve_http(loopback().await.unwrap()).unwrap();
    let swap = r#"{"expects":[{"key":"a/1","revision":0}],"puts":[{"key":"a/1","value":"{}"}]}"#;
    let on_lease = r#"{"puts":[{"key":"a/2","value":"x","lease":9007199254740993}]}"#;
    let calls = [
        ("POST", "/v1/kv/txn", swap),
        ("POST", "/v1/kv/txn", swap),
        ("POST", "/v1/kv/lease", r#"{"ttl_ms":1000}"#),
        ("POST", "/v1/kv/txn", on_lease),
        ("POST", "/v1/kv/lease/9007199254740993/keep", ""),
        ("GET", "/v1/kv/item?key=a%2F1", ""),
        ("GET", "/v1/kv/item?key=none", ""),
        ("GET", "/v1/kv/range?prefix=a/&after=a/1", ""),
        ("DELETE", "/v1/kv/lease/9007199254740993", ""),
        ("POST", "/v1/kv/lease/9007199254740993/keep", ""),
        ("POST", "/v1/kv/txn", on_lease),
        (
            "GET",
            "/v1/kv/watch?prefix=a/&after_revision=1&wait_ms=0",
            "",
        ),
    ];
    let mut lines = Vec::new();
    for (method, path, body) in calls {
        let reply = call(server.address, method, path, &[], body).await;
        lines.push(format!("{method} {path}: {}", reply.line()));
    }
    store.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let lost = call(server.address, "POST", "/v1/kv/txn", &[], on_lease).await;
    lines.push(format!("lost answer: {}", lost.line()));
    clock.advance(Duration::from_secs(1));
    store.set_knobs(Knobs {
        outage: true,
        ..Knobs::default()
    });
    let out = call(server.address, "GET", "/v1/kv/item?key=a", &[], "").await;
    lines.push(format!("outage: {}", out.line()));
    insta::assert_snapshot!(lines.join("\n"));
}
