//! Which changes a reader serves, and when it refuses to.

use std::time::Duration;

use bytes::Bytes;
use nutmegsail_store::{Change, Changes, Item, LeaseId, Revision};
use rstest::rstest;

use super::{ChangeLog, MAX_ANSWER_AGE, MAX_CHANGES, ReadAt, ReaderError};
use crate::clock::boot_time;

fn put(revision: u64) -> Change {
    Change::Put(Item {
        key: "key".into(),
        value: Bytes::from_static(b"value"),
        revision: Revision::without_era(revision),
        lease: LeaseId::NONE,
    })
}

fn changes(revisions: std::ops::RangeInclusive<u64>) -> Changes {
    Changes {
        revision: Revision::without_era(*revisions.end()),
        changes: revisions.map(put).collect(),
    }
}

fn read_now() -> ReadAt {
    ReadAt::since(boot_time())
}

fn log() -> ChangeLog {
    let log = ChangeLog::default();
    log.restart(Revision::without_era(10), read_now());
    log.push(&changes(11..=20), read_now());
    log
}

#[rstest]
#[case::all(10, 10)]
#[case::some(17, 3)]
#[case::none(20, 0)]
fn a_reader_serves_the_changes_after_a_revision(#[case] after: u64, #[case] count: usize) {
    let read = log()
        .after(Revision::without_era(after), boot_time())
        .expect("it is fresh");
    assert_eq!(
        (read.changes.len(), read.revision),
        (count, Revision::without_era(20))
    );
}

// A node may have read the store before its reader did, or the reader may have dropped old changes.
// If the reader served only what it has, the node would miss the changes in between, for instance
// that an upstream is leaving.
#[test]
fn a_reader_never_skips_changes() {
    assert_eq!(
        log().after(Revision::without_era(9), boot_time()),
        Err(ReaderError::Dropped)
    );
    let log = log();
    log.push(&changes(21..=21 + MAX_CHANGES as u64), read_now());
    assert_eq!(
        log.after(Revision::without_era(20), boot_time()),
        Err(ReaderError::Dropped)
    );
}

// If the reader is cut off from the store but not from its nodes, they must not go on with its old
// state.
#[test]
fn a_reader_cut_off_from_the_store_serves_nothing() {
    let lost = log();
    lost.mark_lost();
    assert_eq!(
        lost.after(Revision::without_era(20), boot_time()),
        Err(ReaderError::Behind)
    );

    let behind = ChangeLog::default();
    let long_ago = boot_time().saturating_sub(MAX_ANSWER_AGE + Duration::from_millis(1));
    let read_at = ReadAt {
        asked: long_ago,
        answered: long_ago,
    };
    behind.restart(Revision::without_era(10), read_at);
    assert_eq!(
        behind.after(Revision::without_era(10), boot_time()),
        Err(ReaderError::Behind)
    );
}
