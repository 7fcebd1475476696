//! A change reported as accepted was written to the store, and one reported as not accepted never
//! is.

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

/// Two operators edit generation 1 and both publish. The second one must be shown what the first
/// one changed, or it would undo that change without noticing.
#[tokio::test(start_paused = true)]
async fn publishing_from_a_stale_base_is_a_conflict_that_shows_the_other_change() {
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

/// The store executes a write, but its answer is lost, and another operator publishes before the
/// retry. The head then names the other writer. If the first operator were told "not accepted",
/// publishing again would undo the other's change.
#[tokio::test(start_paused = true)]
async fn a_write_whose_answer_was_lost_is_found_in_the_history_after_another_change() {
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

/// The store fails just after a write was sent, and the command gives up. Later the store executes
/// the write. The operator must have been told that the outcome is unknown, and can find it out.
#[tokio::test(start_paused = true)]
async fn a_write_with_unknown_outcome_is_never_reported_as_not_accepted() {
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

/// The store is restored from an older copy while nodes run a newer generation. A change counted on
/// from the copy would get a generation that nodes have already seen, and they would ignore it.
#[tokio::test(start_paused = true)]
async fn a_store_behind_the_base_accepts_no_text_and_a_floor_raises_the_generation() {
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
async fn a_change_during_a_store_outage_is_reported_as_not_accepted() {
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

/// The generation of every head that the store ever held, by writer.
async fn head_history(store: &FakeKeyValue) -> BTreeMap<WriterId, Generation> {
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

/// Four operators publish five changes each at the same time, while answers are lost and writes
/// take effect late.
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
    let heads = head_history(&store).await;
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
    fn concurrent_operators_are_told_the_true_outcome(
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
