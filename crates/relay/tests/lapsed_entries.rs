//! Which upstreams are kept after their entries are gone from the list.

use std::time::Duration;

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::LapsedEntries;
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id() -> UpstreamId {
    "plain-1".into()
}

/// The store failed last at `failed_ms`, and the first read after that, at `read_ms`, lacks an entry.
fn lapsed(failed_ms: u64, read_ms: u64) -> LapsedEntries {
    let mut entries = LapsedEntries::default();
    entries.record_failure(ms(failed_ms));
    assert!(entries.may_have_lapsed(&id(), ms(read_ms)));
    entries.record_read(ms(read_ms));
    entries
}

// Guards against keeping an upstream whose entry was written after an outage and then removed.
#[test]
fn an_entry_that_was_written_after_an_outage_is_gone_when_it_is_removed() {
    let mut entries = LapsedEntries::default();
    assert!(
        !entries.may_have_lapsed(&id(), ms(500)),
        "before any outage"
    );
    entries.record_failure(ms(1_000));
    entries.record_read(ms(1_100));
    assert!(entries.awaits_write(&id(), ms(1_200)));
    entries.record_written(&id(), ms(1_200));
    assert!(!entries.awaits_write(&id(), ms(1_200)));
    assert!(!entries.may_have_lapsed(&id(), ms(1_200)));
    let mut entries = lapsed(1_000, 1_100);
    entries.record_listed(&id());
    entries.record_written(&id(), ms(1_200));
    assert!(!entries.may_have_lapsed(&id(), ms(1_200)));
}

// Guards against dropping an upstream whose entry the store removes for its silence just after its return.
#[test]
fn an_entry_that_expires_just_after_the_return_is_kept() {
    let mut entries = LapsedEntries::default();
    entries.record_failure(ms(10_000));
    entries.record_written(&id(), ms(10_100));
    entries.record_read(ms(10_100));
    assert!(entries.may_have_lapsed(&id(), ms(10_700)));
    assert_eq!(entries.take_expired(ms(12_399)), []);
    assert_eq!(entries.take_expired(ms(12_400)), [id()]);
    assert!(!entries.may_have_lapsed(&id(), ms(12_400)));
}

// Guards against dropping upstreams at once whose entries expired during an outage, and against keeping them for
// longer than a node may that has reached the store again for 3 s. The time is counted from the return.
#[rstest]
#[case::refused_calls(10_000, 10_300, 12_600)]
#[case::long_pauses_between_calls(10_000, 11_500, 12_900)]
#[case::a_read_that_hung(10_000, 12_800, 13_800)]
fn a_lapsed_entry_is_kept_for_a_while(
    #[case] failed_ms: u64,
    #[case] read_ms: u64,
    #[case] kept_until_ms: u64,
) {
    let mut entries = lapsed(failed_ms, read_ms);
    let just_before = ms(kept_until_ms - 1);
    assert!(entries.may_have_lapsed(&id(), just_before), "again");
    assert_eq!(entries.take_expired(just_before), []);
    assert!(entries.is_kept(&id()));
    assert_eq!(entries.take_expired(ms(kept_until_ms)), [id()]);
    assert!(!entries.is_kept(&id()));
}

// Guards against dropping upstreams during a second outage, in which no entry can return.
#[test]
fn a_second_outage_extends_the_time() {
    let mut entries = lapsed(10_000, 10_100);
    entries.record_failure(ms(11_000));
    assert_eq!(entries.time_left(ms(19_000)), None);
    assert_eq!(entries.take_expired(ms(19_000)), []);
    entries.record_read(ms(19_000));
    assert_eq!(entries.take_expired(ms(19_900)), []);
    assert_eq!(entries.take_expired(ms(20_000)), [id()]);
}
