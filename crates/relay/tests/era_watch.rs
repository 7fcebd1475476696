//! How a starting node handles the store's era.

use std::time::Duration;

use nutmegsail_base::StoreEra;
use nutmegsail_relay::{EraUpdate, EraWatch, TextVersion};
use rstest::rstest;

const SETTLING: Duration = Duration::from_secs(7);

/// When the node first reads the store.
const START: Duration = Duration::from_secs(100);

const ERA: StoreEra = StoreEra(2);

fn ms(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

fn text(configuration: u64, versions: u128) -> TextVersion {
    TextVersion {
        configuration,
        versions,
    }
}

fn starting_node() -> EraWatch {
    let mut watch = EraWatch::new(SETTLING, false);
    assert_eq!(watch.observe(Some(ERA), START), None);
    watch
}

fn told(age_ms: u32, text: TextVersion) -> EraUpdate {
    EraUpdate {
        era: ERA,
        age_ms,
        text,
    }
}

// Guards against a starting node that applies an older configuration, or an older model version,
// than other nodes do.
#[rstest]
#[case::configuration(text(4, 9))]
#[case::version(text(5, 8))]
fn text_older_than_other_nodes_have_is_held_back(#[case] older: TextVersion) {
    let mut watch = starting_node();
    assert!(!watch.may_apply(older, ms(0)));
    watch.apply_update(told(0, text(5, 9)), ms(100));
    assert!(!watch.may_apply(older, ms(60_000)));
    assert!(watch.is_behind(older));
    assert_eq!(watch.update(older, ms(60_000)), None);
    assert!(watch.may_apply(text(5, 9), ms(60_100)));
    assert!(
        watch.may_apply(older, ms(60_200)),
        "applied text stays applied"
    );
}

// Guards against relying on the first update when a later one names more recent text.
#[test]
fn updates_from_further_nodes_are_awaited() {
    let mut watch = starting_node();
    watch.apply_update(told(0, text(4, 0)), ms(100));
    assert!(!watch.may_apply(text(4, 0), ms(150)));
    watch.apply_update(told(0, text(5, 0)), ms(200));
    assert!(!watch.may_apply(text(4, 0), ms(1_000)));
}

#[test]
fn a_node_without_updates_applies_the_text_in_the_store() {
    let mut watch = starting_node();
    assert!(!watch.may_apply(text(1, 0), ms(2_999)));
    assert!(watch.may_apply(text(1, 0), ms(3_000)));
}

#[rstest]
#[case::no_era(None, false, None)]
#[case::marked(Some(ERA), false, Some(ERA))]
#[case::first_start(Some(ERA), true, None)]
fn no_update_is_needed(
    #[case] era: Option<StoreEra>,
    #[case] is_first_start: bool,
    #[case] mark: Option<StoreEra>,
) {
    let mut watch = EraWatch::new(SETTLING, is_first_start);
    watch.observe(era, START);
    if let Some(mark) = mark {
        watch.record_settled_era(mark);
    }
    assert!(watch.is_settled(START) && !watch.awaits_update(START));
    assert!(watch.may_apply(text(1, 0), START));
}

// Guards against trusting a mark of an earlier era that came with the older copy.
#[test]
fn a_mark_of_an_earlier_era_is_ignored() {
    let mut watch = starting_node();
    watch.record_settled_era(StoreEra(1));
    assert!(!watch.is_settled(ms(0)) && !watch.may_apply(text(1, 0), ms(0)));
}

#[test]
fn an_update_settles_an_era_that_is_long_in_force() {
    let mut watch = starting_node();
    assert!(watch.awaits_update(ms(0)) && !watch.is_settled(ms(0)));
    watch.apply_update(told(7_100, text(1, 0)), ms(100));
    assert!(!watch.awaits_update(ms(100)) && watch.is_settled(ms(100)));
}

#[test]
fn a_later_era_known_to_another_node_causes_a_read_of_the_store() {
    let mut watch = starting_node();
    let later = EraUpdate {
        era: StoreEra(3),
        ..told(9_000, text(1, 0))
    };
    assert!(watch.apply_update(later, ms(100)));
    assert!(!watch.is_settled(ms(100)), "its age is that of another era");
    assert_eq!(
        watch.era(),
        Some(ERA),
        "the store itself has not reported it"
    );
}

// Guards against a mark that lets starting nodes apply operators' text that still has to be written
// again.
#[test]
fn the_mark_waits_for_earlier_claims_and_for_the_text() {
    let mut watch = starting_node();
    assert!(watch.may_apply(text(1, 0), ms(3_000)));
    assert!(watch.observe(Some(StoreEra(3)), ms(4_000)).is_some());
    assert_eq!(watch.era_to_settle(false, ms(10_999)), None);
    assert_eq!(watch.era_to_settle(true, ms(11_000)), None);
    assert_eq!(watch.era_to_settle(false, ms(11_000)), Some(StoreEra(3)));
    watch.record_settled_era(StoreEra(3));
    assert_eq!(watch.era_to_settle(false, ms(11_000)), None);
}
