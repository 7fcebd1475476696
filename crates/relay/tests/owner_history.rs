//! Until when another node may have owned an engine, by what was read of its owner keys.

use std::time::Duration;

use nutmegsail_base::StoreNumber;
use nutmegsail_relay::{OtherOwner, OwnerChange, OwnerHistory};
use proptest::prelude::*;
use rstest::rstest;

const OWN: &str = "node-1";
const OTHER: &str = "node-2";
const ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 1], 80);

fn revision(number: u64) -> StoreNumber {
    StoreNumber::without_era(number)
}

fn at(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn change(engine: &str, number: u64, owner: Option<&str>) -> OwnerChange {
    OwnerChange {
        engine: engine.into(),
        revision: revision(number),
        owner: owner.map(Into::into),
        address: Some(ADDRESS.into()),
    }
}

/// A history since second 10, at revision 10.
fn history() -> OwnerHistory {
    let mut history = OwnerHistory::new(OWN.into());
    history.restart([], revision(10), Some(at(10)), |_, _| false);
    history
}

fn other(history: &OwnerHistory, engine: &str) -> OtherOwner {
    history.other_owner(&engine.into(), Some(ADDRESS.into()))
}

fn until(number: u64) -> OtherOwner {
    OtherOwner::Until(at(number))
}

// Guards against concluding from an empty history that an engine had no owner.
#[test]
fn any_node_may_own_an_engine_before_the_first_read() {
    let history = OwnerHistory::new(OWN.into());
    assert_eq!(other(&history, "engine-1"), OtherOwner::Now);
}

// Guards against waiting for owners at the first start of the whole system, when there was none.
#[test]
fn no_other_node_owned_an_engine_before_the_first_start() {
    let mut history = OwnerHistory::new(OWN.into());
    history.restart([], revision(10), None, |_, _| false);
    assert_eq!(other(&history, "engine-1"), OtherOwner::Never);
}

// Guards against missing another owner of the same engine, under an earlier id or at the same address.
#[rstest]
#[case::of_the_process("engine-1@5", ADDRESS)]
#[case::of_an_earlier_process("engine-1@4", ([10, 0, 0, 9], 80))]
#[case::at_the_address("engine-9@5", ADDRESS)]
fn the_end_of_another_owner_counts(#[case] engine: &str, #[case] address: ([u8; 4], u16)) {
    let mut history = history();
    let begun = OwnerChange {
        address: Some(address.into()),
        ..change(engine, 11, Some(OTHER))
    };
    history.record(begun, at(20));
    assert_eq!(other(&history, "engine-1@5"), OtherOwner::Now);
    history.record(change(engine, 12, None), at(30));
    history.record(change("engine-1@5", 13, Some(OWN)), at(31));
    history.record(change("engine-1@5", 14, None), at(32));
    assert_eq!(other(&history, "engine-1@5"), until(30));
}

// Guards against an engine that becomes listed after its owner key and is not recognized at its address.
#[test]
fn an_engine_listed_later_is_recognized_at_its_address() {
    let mut history = history();
    let begun = OwnerChange {
        address: None,
        ..change("engine-9", 11, Some(OTHER))
    };
    history.record(begun, at(20));
    history.record(change("engine-9", 12, None), at(21));
    assert_eq!(other(&history, "engine-1"), until(10));
    history.record_address(&"engine-9".into(), ADDRESS.into());
    assert_eq!(other(&history, "engine-1"), until(21));
    assert_eq!(history.last_owner(ADDRESS.into()), Some(&OTHER.into()));
}

// Guards against a change that arrives again, through the watch, and looks newer than it is.
#[test]
fn a_recorded_change_is_ignored_when_it_arrives_again() {
    let mut history = history();
    let changes = [
        change("engine-1", 11, Some(OTHER)),
        change("engine-1", 12, None),
    ];
    for now in [20, 25] {
        for change in &changes {
            history.record(change.clone(), at(now));
        }
        history.advance(revision(12));
    }
    assert_eq!(other(&history, "engine-1"), until(20));
}

// Guards against relying, after a gap, on what was recorded before it.
#[rstest]
#[case::its_claim_lasts(true, until(10))]
#[case::its_claim_was_replaced(false, until(40))]
fn after_a_gap_only_an_unbroken_claim_keeps_its_history(
    #[case] is_own_claim: bool,
    #[case] expected: OtherOwner,
) {
    let mut history = history();
    let own = change("engine-1", 11, Some(OWN));
    history.record(own.clone(), at(20));
    history.restart([own], revision(30), Some(at(40)), |_, _| is_own_claim);
    history.record(change("engine-1", 31, None), at(41));
    assert_eq!(other(&history, "engine-1"), expected);
    assert_eq!(other(&history, "engine-2"), until(40));
}

// Guards against a history that grows without bound, and against pruning an owner that still counts.
#[test]
fn engines_without_an_owner_are_dropped_after_a_while() {
    let mut history = history();
    history.record(change("engine-1", 11, Some(OTHER)), at(20));
    history.prune(at(20), at(100));
    assert_eq!(other(&history, "engine-1"), OtherOwner::Now);
    history.record(change("engine-1", 12, None), at(101));
    history.prune(at(20), at(120));
    assert_eq!(other(&history, "engine-1"), until(101));
    history.prune(at(20), at(121));
    assert_eq!(other(&history, "engine-1"), until(10));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Own,
    Other,
    Remove,
    /// All changes so far are read.
    Read,
    /// All changes so far are lost, and the keys are read again.
    Gap,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Own),
        Just(Step::Other),
        Just(Step::Remove),
        Just(Step::Read),
        Just(Step::Gap),
    ]
}

proptest! {
    // Guards against any order of owners, reads and gaps after which another owner is taken for one that ended earlier.
    #[test]
    fn another_owner_never_seems_to_have_ended_earlier(steps in prop::collection::vec(step(), 1..40)) {
        let mut history = history();
        let (mut owner, mut unread, mut other_until) = (None, Vec::new(), 0);
        for (index, step) in steps.iter().enumerate() {
            let now = 11 + index as u64;
            let before = owner;
            match step {
                Step::Own => owner = Some(OWN),
                Step::Other => owner = Some(OTHER),
                Step::Remove => owner = None,
                Step::Read => {
                    for change in unread.drain(..) {
                        history.record(change, at(now));
                    }
                    history.advance(revision(now));
                }
                Step::Gap => {
                    unread.clear();
                    let listed = owner.map(|owner| change("engine-1", now, Some(owner)));
                    history.restart(listed, revision(now), Some(at(now)), |_, _| false);
                }
            }
            if before == Some(OTHER) {
                other_until = now;
            }
            match step {
                Step::Read | Step::Gap => {
                    let known = other(&history, "engine-1");
                    prop_assert!(known >= until(other_until), "{known:?} at {now}");
                }
                _ => unread.push(change("engine-1", now, owner)),
            }
        }
    }
}
