//! Accepted means accepted, and "not accepted" means never.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ResultCode;
use nutmegsail_config::{
    Accepted, Generation, HEAD_KEY, Head, OperatorsText, PublishError, Publisher, TextStore,
    WriterId,
};
use nutmegsail_fakes::{FakeKeyValue, KeyValueLimits, Knobs, TokioClock};
use nutmegsail_store::{Change, KeyValue, Revision};
use proptest::prelude::*;

fn text(name: &str) -> OperatorsText {
    let example = include_str!("../../../examples/jm-west.toml");
    OperatorsText::new("jm-west.toml", example.replace("mahoe-8b", name))
}

fn new_store(seed: u64) -> Arc<FakeKeyValue> {
    let clock = Arc::new(TokioClock::default());
    Arc::new(FakeKeyValue::new(clock, KeyValueLimits::default(), seed))
}

async fn publish(
    store: &Arc<FakeKeyValue>,
    name: &str,
    base: Option<u64>,
) -> Result<Accepted, PublishError> {
    let publisher = Publisher::new(store.clone());
    publisher
        .publish(&text(name), base.map(Generation), WriterId::from(name))
        .await
}

#[tokio::test(start_paused = true)]
async fn an_accepted_text_is_read_back_as_it_was_written() {
    let store = new_store(1);
    let accepted = publish(&store, "a", None).await.expect("accepted");
    let fetched = TextStore::new(store.clone())
        .fetch()
        .await
        .expect("read")
        .expect("there");
    assert_eq!(accepted.generation, Generation(1));
    assert_eq!(fetched.text, text("a"));
    assert_eq!(fetched.in_force.digest, accepted.digest);
}

#[tokio::test(start_paused = true)]
async fn a_change_costs_one_read_and_one_write_and_leaves_no_old_piece() {
    let store = new_store(1);
    publish(&store, "a", None).await.expect("accepted");
    let before = store.counts();
    publish(&store, "b", Some(1)).await.expect("accepted");
    let after = store.counts();
    assert_eq!((after.gets - before.gets, after.txns - before.txns), (1, 1));
    let stored = TextStore::new(store.clone())
        .read_head()
        .await
        .expect("read")
        .expect("there");
    let page = store
        .range("nutmegsail/text/piece/", None)
        .await
        .expect("read");
    assert_eq!(page.items.len(), stored.head.pieces.len());
}

/// Two operators edit generation 1. Both apply. The second one must learn what the first one
/// changed, or it would undo that unseen.
#[tokio::test(start_paused = true)]
async fn the_stale_base_loses_and_sees_the_other_change() {
    let store = new_store(1);
    publish(&store, "first", None).await.expect("accepted");
    publish(&store, "theirs", Some(1)).await.expect("accepted");
    let error = publish(&store, "mine", Some(1)).await.expect_err("stale");
    assert_eq!(error.code(), ResultCode::TextConflict);
    insta::assert_snapshot!(error, @r#"
another operator published generation 2 meanwhile; compared with your text it differs so:
~ service spa-scribe
    ~ base_model = mine -> theirs
"#);
}

/// The store writes and its answer is lost; before the operator's command asks again, another
/// operator publishes on top. The head bears the other's name. Told "not accepted", the operator
/// would apply again and undo the other's change.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_in_the_history_though_another_writer_overtook() {
    let store = new_store(1);
    publish(&store, "first", None).await.expect("accepted");
    store.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let mine = tokio::spawn({
        let store = store.clone();
        async move { publish(&store, "mine", Some(1)).await }
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    store.set_knobs(Knobs::default());
    publish(&store, "theirs", Some(2)).await.expect("accepted");
    let mine = mine.await.expect("joins").expect("accepted");
    assert_eq!((mine.generation, mine.is_new), (Generation(2), true));
}

/// The store goes out just after a write was sent; the command gives up. Later the store comes back
/// and carries the write out. The operator was told that it may be accepted, and finds out.
#[tokio::test(start_paused = true)]
async fn a_write_whose_fate_is_unknown_is_never_called_not_accepted() {
    let store = new_store(1);
    store.set_knobs(Knobs {
        late_share: 1.0,
        late_ms: 60_000,
        ..Knobs::default()
    });
    let error = publish(&store, "mine", None)
        .await
        .expect_err("no answer ever came");
    assert!(matches!(error, PublishError::Undecided { .. }), "{error}");
    assert_eq!(error.code(), ResultCode::PlatformAmbiguous);
    tokio::time::sleep(Duration::from_secs(60)).await;
    store.set_knobs(Knobs::default());
    store.settle();
    let publisher = Publisher::new(store.clone());
    let mine = text("mine");
    let resumed = publisher.resume(&mine, None, Generation(0), WriterId::from("mine"));
    assert_eq!(resumed.await.expect("accepted").generation, Generation(1));
}

/// The platform restores the store from a copy that is two generations old while nodes run the
/// newer one. A change counted from the copy would bear a generation that nodes have already seen.
#[tokio::test(start_paused = true)]
async fn a_store_behind_the_base_takes_no_text_and_a_floor_lifts_the_generation() {
    let store = new_store(1);
    publish(&store, "a", None).await.expect("accepted");
    store.take_copy();
    publish(&store, "b", Some(1)).await.expect("accepted");
    store.restore_copy();
    let error = publish(&store, "c", Some(2))
        .await
        .expect_err("the store lags");
    let expected = PublishError::StoreBehind {
        base: Generation(2),
        stored: Generation(1),
    };
    assert_eq!(error, expected);
    let publisher = Publisher::new(store.clone());
    let (base, floor) = (Some(Generation(1)), Generation(2));
    let lifted = publisher
        .publish_above(&text("c"), base, floor, WriterId::from("c"))
        .await;
    assert_eq!(lifted.expect("accepted").generation, Generation(3));
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_out_takes_nothing_and_that_is_said() {
    let store = new_store(1);
    store.set_knobs(Knobs {
        outage: true,
        ..Knobs::default()
    });
    let error = publish(&store, "a", None)
        .await
        .expect_err("the store is out");
    assert!(matches!(error, PublishError::NotAccepted(_)));
    assert_eq!(error.code(), ResultCode::PlatformUnavailable);
}

/// Every head that the store ever held, by its writer.
async fn truth(store: &FakeKeyValue) -> BTreeMap<WriterId, Generation> {
    let wait = Duration::from_millis(1);
    let seen = store
        .watch(HEAD_KEY, Revision::NONE, wait)
        .await
        .expect("history is whole");
    let mut last = Generation(0);
    let mut heads = BTreeMap::new();
    for change in seen.changes {
        let Change::Put(item) = change else {
            panic!("the head was removed")
        };
        let head = Head::from_json(&item.value).expect("a head");
        assert_eq!(head.generation.0, last.0 + 1, "generations rise one by one");
        last = head.generation;
        assert!(
            heads.insert(head.writer, head.generation).is_none(),
            "one writer, one change"
        );
    }
    heads
}

#[derive(Default, Debug)]
struct Outcomes {
    accepted: usize,
    refused: usize,
    undecided: usize,
}

/// Four operators race, each for five changes, while answers get lost and writes take effect late.
async fn race(seed: u64, lost: f64, late: f64, late_ms: u64) -> Outcomes {
    let store = new_store(seed);
    let knobs = Knobs {
        lost_answer_share: lost,
        late_share: late,
        late_ms,
        delay_ms: 5,
        ..Knobs::default()
    };
    store.set_knobs(knobs);
    let operators = (0..4).map(|operator| tokio::spawn(operate(store.clone(), operator)));
    let mut results = Vec::new();
    for operator in operators.collect::<Vec<_>>() {
        results.extend(operator.await.expect("joins"));
    }
    store.set_knobs(Knobs::default());
    tokio::time::sleep(Duration::from_secs(120)).await;
    store.settle();
    let heads = truth(&store).await;
    let mut outcomes = Outcomes::default();
    for (writer, result) in results {
        match result {
            Ok(accepted) => {
                assert_eq!(
                    heads.get(&writer),
                    Some(&accepted.generation),
                    "told accepted"
                );
                outcomes.accepted += 1;
            }
            Err(PublishError::Undecided { .. }) => outcomes.undecided += 1,
            Err(error) => {
                assert_eq!(heads.get(&writer), None, "{writer} was told: {error}");
                outcomes.refused += 1;
            }
        }
    }
    outcomes
}

async fn operate(
    store: Arc<FakeKeyValue>,
    operator: u32,
) -> Vec<(WriterId, Result<Accepted, PublishError>)> {
    let texts = TextStore::new(store.clone());
    let publisher = Publisher::new(store);
    let mut results = Vec::new();
    for change in 0..5 {
        let name = format!("model-{operator}-{change}");
        let base = match texts.read_head().await {
            Ok(stored) => stored.map(|stored| stored.head.generation),
            Err(error) => panic!("reads never fail here: {error}"),
        };
        let writer = WriterId::from(name.as_str());
        let result = publisher.publish(&text(&name), base, writer.clone()).await;
        results.push((writer, result));
    }
    results
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn racing_operators_are_told_the_truth(
        seed in 0u64..1_000_000,
        lost in 0.0f64..0.6,
        late in 0.0f64..0.6,
        late_ms in 0u64..4_000,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("builds");
        let outcomes = runtime.block_on(race(seed, lost, late, late_ms));
        prop_assert!(outcomes.accepted >= 3, "{outcomes:?}");
        prop_assert!(outcomes.undecided <= 4, "{outcomes:?}");
    }
}
