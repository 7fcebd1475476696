//! What the weight store's stand-in promises.

#![allow(clippy::unwrap_used, reason = "in a test file a panic is the verdict")]

use std::time::{Duration, Instant};

use nutmegsail_fakes::{FakeWeightStore, Knobs, WeightStoreSettings};

const LOAD: Duration = Duration::from_millis(300);

#[test]
fn one_load_goes_at_full_speed_and_two_share_it() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let store = FakeWeightStore::new(WeightStoreSettings::default(), start);
    let alone = store.begin(1.0, start).unwrap();
    assert!(!store.is_done(alone, at(299)));
    assert!(store.is_done(alone, start + LOAD));

    let first = store.begin(1.0, at(1000)).unwrap();
    let second = store.begin(1.0, at(1100)).unwrap();
    // Alone for 100 ms, then at half speed for the 200 ms of work that are left.
    assert!(!store.is_done(first, at(1499)));
    assert!(store.is_done(first, at(1501)));
    // The second had done 200 ms of its work then, and goes on alone.
    assert!(!store.is_done(second, at(1599)));
    assert!(store.is_done(second, at(1601)));
}

#[test]
fn loads_over_the_rate_are_refused() {
    let start = Instant::now();
    let store = FakeWeightStore::new(WeightStoreSettings::default(), start);
    let begun = (0..5).filter_map(|_| store.begin(1.0, start)).count();
    assert_eq!(begun, 3);
    let later = start + Duration::from_millis(340);
    assert!(store.begin(1.0, later).is_some());
    assert!(store.begin(1.0, later).is_none());

    store.set_knobs(Knobs {
        store_refuses: true,
        ..Knobs::default()
    });
    let much_later = start + Duration::from_secs(60);
    assert!(store.begin(1.0, much_later).is_none());
    assert_eq!((store.begun(), store.refused()), (4, 4));
}
