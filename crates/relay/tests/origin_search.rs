//! What a node concludes from its own records, keepers' answers and the store.

use std::net::SocketAddr;

use nutmegsail_relay::{
    KeeperAnswer, OriginRecord, OriginSearch, OriginVerdict, SoftwareVersion, StoreAnswer,
    StreamOrigin,
};
use proptest::prelude::*;
use rstest::rstest;

fn keeper(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn at(software: &str) -> OriginRecord {
    OriginRecord::At(StreamOrigin {
        service: "scribe".into(),
        software: software.into(),
    })
}

fn answer(record: OriginRecord, sole: Option<&str>) -> KeeperAnswer {
    KeeperAnswer {
        record,
        sole: sole.map(SoftwareVersion::from),
    }
}

fn read(sole: Option<&str>, record: OriginRecord) -> StoreAnswer {
    StoreAnswer::Read {
        sole: sole.map(SoftwareVersion::from),
        record,
    }
}

const UNKNOWN: OriginVerdict = OriginVerdict::Unknown {
    may_be_known: false,
};
const MAY_BE_KNOWN: OriginVerdict = OriginVerdict::Unknown { may_be_known: true };

// Guards against a stream that goes on at a version which only some of the sources name, and against a refusal although one knows it.
#[rstest]
#[case::one_keeper_knows(None, vec![answer(at("v1"), None)], None, OriginVerdict::At("v1".into()))]
#[case::keepers_disagree(None, vec![answer(at("v1"), None), answer(at("v2"), None)], None, UNKNOWN)]
#[case::the_store_knows(None, vec![KeeperAnswer::default(); 2], Some(read(None, at("v2"))), OriginVerdict::At("v2".into()))]
#[case::the_store_has_two(None, vec![KeeperAnswer::default(); 2], Some(read(None, OriginRecord::Ambiguous)), UNKNOWN)]
#[case::nobody_knows(None, vec![KeeperAnswer::default(); 2], Some(read(None, OriginRecord::Unknown)), UNKNOWN)]
#[case::a_keeper_is_silent(None, vec![KeeperAnswer::default()], Some(read(None, OriginRecord::Unknown)), MAY_BE_KNOWN)]
#[case::the_list_names_one(Some("v1"), vec![], Some(read(Some("v1"), OriginRecord::Unknown)), OriginVerdict::At("v1".into()))]
#[case::the_list_names_another_by_now(Some("v1"), vec![], Some(read(Some("v2"), OriginRecord::Unknown)), OriginVerdict::At("v2".into()))]
#[case::the_list_has_grown(Some("v1"), vec![answer(OriginRecord::Unknown, Some("v1")); 2], Some(read(None, OriginRecord::Unknown)), UNKNOWN)]
#[case::no_store_and_copies_agree(Some("v1"), vec![answer(OriginRecord::Unknown, Some("v1"))], Some(StoreAnswer::Unavailable), OriginVerdict::At("v1".into()))]
#[case::no_store_and_copies_differ(Some("v1"), vec![answer(OriginRecord::Unknown, None)], Some(StoreAnswer::Unavailable), MAY_BE_KNOWN)]
#[case::no_store_and_no_keeper(Some("v1"), vec![], Some(StoreAnswer::Unavailable), MAY_BE_KNOWN)]
#[case::no_store_and_two_versions(None, vec![KeeperAnswer::default(); 2], Some(StoreAnswer::Unavailable), MAY_BE_KNOWN)]
#[case::no_answer_at_all(None, vec![], None, OriginVerdict::Pending)]
fn a_verdict_follows_from_all_answers(
    #[case] own_sole: Option<&str>,
    #[case] answers: Vec<KeeperAnswer>,
    #[case] store: Option<StoreAnswer>,
    #[case] expected: OriginVerdict,
) {
    let own_sole = own_sole.map(SoftwareVersion::from);
    let mut search = OriginSearch::new("scribe".into(), own_sole, [keeper(1), keeper(2)]);
    for (number, answer) in (1..).zip(answers) {
        search.record_keeper(keeper(number), answer);
    }
    if let Some(store) = store {
        search.record_store(store);
    }
    assert_eq!(search.verdict(true), expected);
}

// Guards against a stream of one service that another one goes on with.
#[test]
fn a_stream_of_another_service_does_not_go_on() {
    let mut search = OriginSearch::new("drafts".into(), Some("v1".into()), []);
    search.record_own(at("v1"));
    assert_eq!(search.verdict(false), OriginVerdict::OtherService);
}

// Guards against a keeper that counts for two, so that the other one's answer is not awaited.
#[test]
fn a_keeper_that_answers_twice_counts_once() {
    let mut search = OriginSearch::new("scribe".into(), None, [keeper(1), keeper(2)]);
    search.record_keeper(keeper(1), KeeperAnswer::default());
    search.record_keeper(keeper(1), KeeperAnswer::default());
    assert!(!search.needs_store(false));
    search.record_store(read(None, OriginRecord::Unknown));
    assert_eq!(search.verdict(false), OriginVerdict::Pending);
    search.record_keeper(keeper(2), answer(at("v2"), None));
    assert_eq!(search.verdict(false), OriginVerdict::At("v2".into()));
}

fn record() -> impl Strategy<Value = OriginRecord> {
    prop_oneof![
        3 => Just(OriginRecord::Unknown),
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
            let mut search = OriginSearch::new("scribe".into(), None, keepers);
            for (number, record) in (0..).zip(records) {
                search.record_keeper(keeper(number), answer(record, None));
            }
            search.record_store(read(None, last.clone()));
            search.verdict(true)
        };
        let forward = verdict(&mut records.clone().into_iter());
        prop_assert_eq!(forward, verdict(&mut records.into_iter().rev()));
    }
}
