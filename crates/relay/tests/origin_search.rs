//! What a node concludes from its own records, keepers' answers and the store.

use std::net::SocketAddr;

use nutmegsail_relay::{OriginRecord, OriginSearch, OriginVerdict, StoreAnswer, StreamOrigin};
use proptest::prelude::*;
use rstest::rstest;

fn keeper(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "scribe".into(),
        software: software.into(),
    }
}

fn at(software: &str) -> OriginRecord {
    OriginRecord::At(origin(software))
}

fn goes_on_at(software: &str) -> OriginVerdict {
    OriginVerdict::At(origin(software))
}

const NOTHING: OriginRecord = OriginRecord::Unknown;
const UNKNOWN: OriginVerdict = OriginVerdict::Unknown {
    may_be_known: false,
};
const MAY_BE_KNOWN: OriginVerdict = OriginVerdict::Unknown { may_be_known: true };

// Guards against a stream that goes on at a version which only some of the sources name, and against a refusal although one
// knows it. The first verdict is that before keepers time out.
#[rstest]
#[case::one_keeper_knows(vec![at("v1")], None, goes_on_at("v1"), goes_on_at("v1"))]
#[case::keepers_disagree(vec![at("v1"), at("v2")], None, UNKNOWN, UNKNOWN)]
#[case::the_store_knows(vec![NOTHING; 2], Some(StoreAnswer::Read(at("v2"))), goes_on_at("v2"), goes_on_at("v2"))]
#[case::the_store_knows_first(vec![], Some(StoreAnswer::Read(at("v2"))), goes_on_at("v2"), goes_on_at("v2"))]
#[case::the_store_has_two(vec![NOTHING; 2], Some(StoreAnswer::Read(OriginRecord::Ambiguous)), UNKNOWN, UNKNOWN)]
#[case::nobody_knows(vec![NOTHING; 2], Some(StoreAnswer::Read(NOTHING)), UNKNOWN, UNKNOWN)]
#[case::a_keeper_is_silent(vec![NOTHING], Some(StoreAnswer::Read(NOTHING)), OriginVerdict::Pending, MAY_BE_KNOWN)]
#[case::the_store_is_away(vec![NOTHING; 2], Some(StoreAnswer::Unavailable), MAY_BE_KNOWN, MAY_BE_KNOWN)]
#[case::the_store_is_away_first(vec![], Some(StoreAnswer::Unavailable), OriginVerdict::Pending, MAY_BE_KNOWN)]
#[case::a_keeper_knows_while_the_store_is_away(vec![at("v1")], Some(StoreAnswer::Unavailable), goes_on_at("v1"), goes_on_at("v1"))]
#[case::no_answer_at_all(vec![], None, OriginVerdict::Pending, OriginVerdict::Pending)]
fn a_verdict_follows_from_all_answers(
    #[case] answers: Vec<OriginRecord>,
    #[case] store: Option<StoreAnswer>,
    #[case] before_timeout: OriginVerdict,
    #[case] after_timeout: OriginVerdict,
) {
    let mut search = OriginSearch::new(["scribe".into()], [keeper(1), keeper(2)]);
    for (number, answer) in (1..).zip(answers) {
        search.record_keeper(keeper(number), answer);
    }
    if let Some(store) = store {
        search.record_store(store);
    }
    assert_eq!(search.verdict(false), before_timeout);
    assert_eq!(search.verdict(true), after_timeout);
}

// Guards against a stream of one service that another one goes on with.
#[rstest]
#[case::elsewhere(&["drafts"], OriginVerdict::OtherService)]
#[case::split(&["drafts", "scribe"], goes_on_at("v1"))]
fn a_stream_goes_on_at_a_service_of_its_route(
    #[case] services: &[&str],
    #[case] expected: OriginVerdict,
) {
    let services = services.iter().map(|service| (*service).into());
    let mut search = OriginSearch::new(services, []);
    search.record_own(at("v1"));
    assert_eq!(search.verdict(false), expected);
}

// Guards against a keeper that counts for two, so that the other one's answer is not awaited.
#[test]
fn a_keeper_that_answers_twice_counts_once() {
    let mut search = OriginSearch::new(["scribe".into()], [keeper(1), keeper(2)]);
    search.record_keeper(keeper(1), NOTHING);
    search.record_keeper(keeper(1), NOTHING);
    assert!(!search.has_heard_keepers(false));
    search.record_store(StoreAnswer::Read(NOTHING));
    assert_eq!(search.verdict(false), OriginVerdict::Pending);
    search.record_keeper(keeper(2), at("v2"));
    assert_eq!(search.verdict(false), goes_on_at("v2"));
}

fn record() -> impl Strategy<Value = OriginRecord> {
    prop_oneof![
        3 => Just(NOTHING),
        2 => Just(at("v1")),
        1 => Just(at("v2")),
        1 => Just(OriginRecord::Ambiguous),
    ]
}

proptest! {
    // Guards against a verdict that depends on the order in which the same answers arrive.
    #[test]
    fn the_order_of_answers_does_not_matter(records in prop::collection::vec(record(), 1..6), last in record()) {
        let verdict = |records: &mut dyn Iterator<Item = OriginRecord>| {
            let keepers = (0..10).map(keeper);
            let mut search = OriginSearch::new(["scribe".into()], keepers);
            for (number, record) in (0..).zip(records) {
                search.record_keeper(keeper(number), record);
            }
            search.record_store(StoreAnswer::Read(last.clone()));
            search.verdict(true)
        };
        let forward = verdict(&mut records.clone().into_iter());
        prop_assert_eq!(forward, verdict(&mut records.into_iter().rev()));
    }
}
