//! Whose orders may be in flight to an engine, by the claims that the store shows.

use std::time::Duration;

use nutmegsail_base::StoreNumber;
use nutmegsail_relay::{EngineClaim, OwnerHistory, OwnershipRules, Predecessor};
use proptest::prelude::*;
use rstest::rstest;

const OWN: &str = "node-1";
const OTHER: &str = "node-2";
const ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 1], 80);
const LIFETIME: Duration = Duration::from_secs(20);
const RULES: OwnershipRules = OwnershipRules {
    hand_over: Duration::from_secs(3),
    confirmation: Duration::from_secs(4),
};

fn revision(number: u64) -> StoreNumber {
    StoreNumber::without_era(number)
}

fn at(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn claim(engine: &str, number: u64, node: &str) -> EngineClaim {
    EngineClaim {
        engine: engine.into(),
        address: Some(ADDRESS.into()),
        node: node.into(),
        revision: revision(number),
        predecessor: Predecessor::None,
    }
}

fn history() -> OwnerHistory {
    OwnerHistory::new(OWN.into(), RULES)
}

fn predecessor(history: &OwnerHistory, now: u64) -> Predecessor {
    history.predecessor(&"engine-1@5".into(), Some(ADDRESS.into()), at(now))
}

/// The predecessor of a claim on an engine that another node owned until second `number`.
fn earlier_until(number: u64) -> Predecessor {
    Predecessor::Earlier {
        orders_end: at(number) + RULES.wait(),
    }
}

// Guards against a needless wait at an engine that nobody has claimed, whenever it was first listed.
#[test]
fn an_engine_without_a_claim_had_no_owner() {
    let mut history = history();
    history.record_all_read(|_| false, at(10));
    assert_eq!(predecessor(&history, 10), Predecessor::None);
}

// Guards against missing another owner of the same engine, under an earlier id or at the same address.
#[rstest]
#[case::of_the_process("engine-1@5", ADDRESS)]
#[case::of_an_earlier_process("engine-1@4", ([10, 0, 0, 9], 80))]
#[case::at_the_address("engine-9@5", ADDRESS)]
fn the_end_of_another_owner_counts(#[case] engine: &str, #[case] address: ([u8; 4], u16)) {
    let mut history = history();
    let begun = EngineClaim {
        address: Some(address.into()),
        ..claim(engine, 11, OTHER)
    };
    history.record_claim(begun, at(20));
    assert_eq!(predecessor(&history, 25), Predecessor::Another);
    history.record_end(&engine.into(), at(30));
    assert_eq!(predecessor(&history, 31), earlier_until(30));
    history.record_end(&engine.into(), at(35));
    assert_eq!(predecessor(&history, 36), earlier_until(30));
    assert_eq!(predecessor(&history, 38), Predecessor::None);
}

// Guards against an owner that is missed because its owner key was gone when all keys were read.
#[test]
fn a_claim_without_an_owner_key_ended_when_it_was_read() {
    let mut history = history();
    history.record_claim(claim("engine-1@5", 11, OTHER), at(20));
    history.record_stored("engine-1", revision(11));
    history.record_all_read(|_| false, at(20));
    assert_eq!(predecessor(&history, 21), earlier_until(20));
}

// Guards against an owner that ended but is taken for one that owns the engine, as the record of its claim arrives later.
#[test]
fn a_claim_that_arrives_again_does_not_begin_anew() {
    let mut history = history();
    history.record_claim(claim("engine-1@5", 11, OTHER), at(20));
    history.record_end(&"engine-1@5".into(), at(21));
    history.record_claim(claim("engine-1@5", 11, OTHER), at(22));
    assert_eq!(predecessor(&history, 23), earlier_until(21));
}

// Guards against orders that overlap with those of the owner before the last, which this node itself was waiting for.
#[test]
fn an_own_claim_leaves_what_it_waited_for() {
    let mut history = history();
    let waiting = EngineClaim {
        predecessor: earlier_until(20),
        ..claim("engine-1@5", 11, OWN)
    };
    history.record_claim(waiting, at(21));
    assert_eq!(predecessor(&history, 22), earlier_until(20));
    history.record_end(&"engine-1@5".into(), at(23));
    assert_eq!(predecessor(&history, 24), earlier_until(20));
    assert_eq!(predecessor(&history, 28), Predecessor::None);
}

// Guards against an engine of which the next process waits for an owner for ever, as a key of the process before remains.
#[test]
fn a_claim_on_the_next_process_replaces_that_on_the_one_before() {
    let mut history = history();
    history.record_claim(claim("engine-1@4", 11, OTHER), at(20));
    history.record_claim(claim("engine-1@5", 12, OWN), at(21));
    history.record_end(&"engine-1@4".into(), at(22));
    assert_eq!(predecessor(&history, 22), Predecessor::None);
    assert_eq!(history.last_owner(ADDRESS.into()), Some(&OWN.into()));
}

// Guards against owners of an earlier release, which come and go without a record of their claims.
#[rstest]
#[case::all_claims_are_stored(true, Predecessor::None)]
#[case::one_is_not(false, earlier_until(20))]
fn a_claim_that_is_not_stored_may_not_be_the_only_one(
    #[case] is_stored: bool,
    #[case] expected: Predecessor,
) {
    let mut history = history();
    let elsewhere = EngineClaim {
        address: None,
        ..claim("engine-9", 11, OTHER)
    };
    history.record_claim(elsewhere, at(20));
    if is_stored {
        history.record_stored("engine-9", revision(11));
    }
    history.record_all_read(|_| true, at(20));
    assert_eq!(predecessor(&history, 21), expected);
    assert_eq!(predecessor(&history, 28), Predecessor::None);
}

// Guards against waits at all engines after a gap, because a claim whose record was removed is taken for one of an earlier release.
#[test]
fn no_engine_waits_for_a_claim_whose_record_was_removed() {
    let mut history = history();
    let elsewhere = EngineClaim {
        address: None,
        ..claim("engine-9", 11, OTHER)
    };
    history.record_claim(elsewhere, at(20));
    history.record_stored("engine-9", revision(11));
    history.record_unstored("engine-9");
    history.record_all_read(|_| false, at(50));
    assert_eq!(predecessor(&history, 51), Predecessor::None);
}

// Guards against records that accumulate in the store or in memory, and against removing one that still counts.
#[rstest]
#[case::ended_lately(OTHER, Some(21), false, false)]
#[case::ended(OTHER, Some(20), false, true)]
#[case::ended_and_listed(OTHER, Some(20), true, true)]
#[case::of_another_owner(OTHER, None, false, false)]
#[case::of_this_node(OWN, None, false, true)]
#[case::of_this_node_and_listed(OWN, None, true, false)]
fn claims_are_dropped_once_nobody_needs_them(
    #[case] node: &str,
    #[case] ended: Option<u64>,
    #[case] is_listed: bool,
    #[case] expected: bool,
) {
    let mut history = history();
    history.record_claim(claim("engine-1@5", 11, node), at(10));
    history.record_stored("engine-1", revision(11));
    if let Some(ended) = ended {
        history.record_end(&"engine-1@5".into(), at(ended));
    }
    let unused = history.take_unused(|_| is_listed, LIFETIME, at(40));
    let is_unused = unused.iter().any(|unused| {
        *unused.name == *"engine-1"
            && unused.revision == revision(11)
            && unused.is_owned == ended.is_none()
    });
    assert_eq!(is_unused, expected, "{unused:?}");
    history.record_unstored("engine-1");
    history.take_unused(|_| is_listed, LIFETIME, at(40));
    let is_dropped = history.last_owner(ADDRESS.into()).is_none();
    assert_eq!(is_dropped, expected);
}

// Guards against a stored record that cannot be decoded and remains for ever.
#[test]
fn a_stored_claim_that_could_not_be_read_is_unused() {
    let mut history = history();
    history.record_stored("engine-1", revision(11));
    let unused = history.take_unused(|_| true, LIFETIME, at(40));
    assert_eq!(unused[0].claim, None);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// This node claims the engine, if it has none and the record of the last claim is the one that it read.
    ClaimOwn,
    /// Another node claims it, if it has no owner.
    ClaimOther,
    /// The owner key is removed.
    End,
    /// The changes so far are read, one by one.
    ReadChanges,
    /// The changes so far are lost, and all keys are read again.
    ReadAll,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::ClaimOwn),
        Just(Step::ClaimOther),
        Just(Step::End),
        Just(Step::ReadChanges),
        Just(Step::ReadAll),
    ]
}

/// The keys of one engine in the store, and the changes that the node has not read.
#[derive(Debug, Default)]
struct Stored {
    owner: Option<EngineClaim>,
    last: Option<EngineClaim>,
    unread: Vec<Option<EngineClaim>>,
}

impl Stored {
    fn claim(&mut self, claim: EngineClaim) {
        self.unread.push(Some(claim.clone()));
        (self.owner, self.last) = (Some(claim.clone()), Some(claim));
    }

    fn read_changes(&mut self, history: &mut OwnerHistory, now: Duration) {
        for change in self.unread.drain(..) {
            match change {
                Some(claim) => {
                    history.record_stored("engine-1", claim.revision);
                    history.record_claim(claim, now);
                }
                None => history.record_end(&"engine-1@5".into(), now),
            }
        }
    }

    fn read_all(&mut self, history: &mut OwnerHistory, now: Duration) {
        self.unread.clear();
        if let Some(last) = &self.last {
            history.record_stored("engine-1", last.revision);
            history.record_claim(last.clone(), now);
        }
        history.record_all_read(|_| self.owner.is_some(), now);
    }
}

proptest! {
    // Guards against any order of owners, reads and gaps after which a claim is written without a wait for another owner.
    #[test]
    fn no_claim_is_written_that_misses_another_owner(steps in prop::collection::vec(step(), 1..60)) {
        let mut history = history();
        let (mut stored, mut other_until) = (Stored::default(), None);
        for (index, step) in steps.iter().enumerate() {
            let now = 11 + index as u64;
            let owner = stored.owner.as_ref().map(|claim| claim.node.clone());
            if owner == Some(OTHER.into()) {
                other_until = Some(now);
            }
            let last = stored.last.as_ref().map(|claim| claim.revision);
            match step {
                Step::ClaimOwn => {
                    let may_claim = owner.is_none() && history.stored_revision("engine-1") == last;
                    if may_claim {
                        let found = predecessor(&history, now);
                        let ends = other_until.map_or(Predecessor::None, earlier_until);
                        prop_assert!(found >= ends.unless_arrived(at(now)), "{found:?} at {now}");
                        let waits = match found {
                            Predecessor::Another => earlier_until(now),
                            _ => found,
                        };
                        let own = EngineClaim { predecessor: waits, ..claim("engine-1@5", now, OWN) };
                        stored.claim(own.clone());
                        history.record_stored("engine-1", own.revision);
                        history.record_claim(own, at(now));
                    }
                }
                Step::ClaimOther if owner.is_none() => stored.claim(claim("engine-1@5", now, OTHER)),
                Step::ClaimOther => {}
                Step::End => {
                    stored.owner = None;
                    stored.unread.push(None);
                }
                Step::ReadChanges => stored.read_changes(&mut history, at(now)),
                Step::ReadAll => stored.read_all(&mut history, at(now)),
            }
        }
    }
}
