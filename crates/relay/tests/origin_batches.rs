//! Where streams began, as nodes write it to the store in batches.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use nutmegsail_relay::{
    KnownOrigin, OriginBatch, OriginBatches, StreamKey, StreamOrigin, origin_write_interval,
};
use proptest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(500);

const LIFETIME: Duration = Duration::from_secs(20);

fn key(stream: u32) -> StreamKey {
    StreamKey::of(None, &format!("s{stream}").as_str().into())
}

fn origin(number: u32) -> StreamOrigin {
    StreamOrigin {
        service: "scribe".into(),
        software: format!("v{number}").as_str().into(),
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Push(u32, u32),
    Wait(u64),
    Take,
    Written,
    Failed,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..200_u32, 0..3_u32).prop_map(|(stream, number)| Step::Push(stream, number)),
        3 => prop_oneof![0..1_000_u64, Just(25_000)].prop_map(Step::Wait),
        3 => Just(Step::Take),
        2 => Just(Step::Written),
        2 => Just(Step::Failed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    // Guards against a node that crashes on, or goes by, a value that is no batch.
    #[test]
    fn a_damaged_value_is_an_error_or_another_batch(
        streams in prop::collection::vec((any::<u32>(), 0..5_u32), 0..40),
        (at, byte) in any::<(prop::sample::Index, u8)>(),
        kept in any::<prop::sample::Index>(),
        tail in prop::collection::vec(any::<u8>(), 1..20),
        garbage in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut batch = OriginBatch::default();
        for (stream, number) in &streams {
            prop_assert!(batch.push(&key(*stream), &origin(*number)));
        }
        let bytes = batch.to_bytes();
        prop_assert_eq!(OriginBatch::from_bytes(&bytes), Ok(batch));

        prop_assert!(OriginBatch::from_bytes(&bytes[..kept.index(bytes.len())]).is_err());
        prop_assert!(OriginBatch::from_bytes(&[bytes.clone(), tail].concat()).is_err());
        let mut changed = bytes;
        let at = at.index(changed.len());
        changed[at] = byte;
        for bytes in [changed, garbage] {
            if let Ok(read) = OriginBatch::from_bytes(&bytes) {
                OriginBatch::find_all([&read], &key(0));
            }
        }
    }

    // Guards against a stream that goes on at one of two versions that batches name for its key.
    #[test]
    fn batches_name_an_origin_only_if_all_agree(
        batches in prop::collection::vec(prop::collection::vec((0..6_u32, 0..3_u32), 0..6), 0..6),
    ) {
        let written: Vec<OriginBatch> = batches
            .iter()
            .map(|streams| {
                let mut batch = OriginBatch::default();
                for (stream, number) in streams {
                    batch.push(&key(*stream), &origin(*number));
                }
                batch
            })
            .collect();
        for stream in 0..6 {
            let named = batches.iter().flatten().filter(|(of, _)| *of == stream);
            let named: BTreeSet<u32> = named.map(|(_, number)| *number).collect();
            match OriginBatch::find_all(&written, &key(stream)) {
                KnownOrigin::Unknown => prop_assert!(named.is_empty()),
                KnownOrigin::Ambiguous => prop_assert!(named.len() > 1),
                KnownOrigin::At(found) => {
                    prop_assert_eq!(named.len(), 1);
                    prop_assert_eq!(found, &origin(*named.first().unwrap()));
                }
            }
        }
    }

    // Guards against origins that are lost when a write fails, and against a write for each stream.
    #[test]
    fn each_stream_is_written_once_the_store_takes_a_batch(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut batches = OriginBatches::new(INTERVAL, LIFETIME);
        let mut now = Instant::now();
        let mut last_taken: Option<Instant> = None;
        let mut taken: Option<OriginBatch> = None;
        let mut stored: Vec<OriginBatch> = Vec::new();
        let mut pushed: Vec<(u32, u32, Instant)> = Vec::new();
        let finish = [Step::Wait(500), Step::Written, Step::Take, Step::Written];
        for step in steps.into_iter().chain(finish) {
            match step {
                Step::Push(stream, number) => {
                    batches.push(key(stream), origin(number), now);
                    pushed.push((stream, number, now));
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Take if batches.is_due(now) => {
                    taken = batches.take_batch(now);
                    if taken.is_some() {
                        prop_assert!(last_taken.is_none_or(|last| now >= last + INTERVAL));
                        last_taken = Some(now);
                    }
                }
                Step::Take => {}
                Step::Written => {
                    batches.written();
                    stored.extend(taken.take());
                }
                Step::Failed => {
                    batches.put_back();
                    taken = None;
                }
            }
        }
        prop_assert_eq!(batches.count(), 0);
        for (stream, number, _) in pushed.iter().filter(|(.., at)| now < *at + LIFETIME) {
            let mut found = stored.iter().map(|batch| OriginBatch::find_all([batch], &key(*stream)));
            let is_stored = found.any(|found| match found {
                KnownOrigin::At(found) => *found == origin(*number),
                KnownOrigin::Ambiguous => true,
                KnownOrigin::Unknown => false,
            });
            prop_assert!(is_stored, "stream {stream} at {number}");
        }
    }
}

#[test]
fn a_batch_is_due_at_once_after_an_idle_time_else_after_the_interval() {
    let mut batches = OriginBatches::new(INTERVAL, LIFETIME);
    let now = Instant::now();
    assert!(!batches.is_due(now));
    batches.push(key(1), origin(1), now);
    assert!(batches.is_due(now));
    batches.take_batch(now);
    batches.written();

    let soon = now + Duration::from_millis(1);
    batches.push(key(2), origin(1), soon);
    assert!(!batches.is_due(soon));
    assert!(batches.is_due(now + INTERVAL));
}

// Guards against a large fleet whose registrars use up the writes of the store.
#[test]
fn registrars_of_a_fleet_share_a_number_of_writes() {
    for nodes in [1, 6, 72, 360, 720, 3_600] {
        let interval = origin_write_interval(nodes);
        assert!(interval >= Duration::from_millis(250), "{nodes}");
        let registrars = nodes as f64 / 3.0;
        assert!(registrars / interval.as_secs_f64() < 241.0, "{nodes}");
    }
}

// Guards against two writes at a time, of which a failed one puts back what the other has written.
#[test]
fn no_batch_is_taken_while_one_is_being_written() {
    let mut batches = OriginBatches::new(INTERVAL, LIFETIME);
    let now = Instant::now();
    batches.push(key(1), origin(1), now);
    assert_eq!(batches.take_batch(now).map(|batch| batch.len()), Some(1));

    batches.push(key(2), origin(1), now);
    let later = now + 2 * INTERVAL;
    assert!(!batches.is_due(later));
    assert_eq!(batches.take_batch(later), None);
    batches.put_back();
    assert!(batches.is_due(later));
    assert_eq!(batches.take_batch(later).map(|batch| batch.len()), Some(2));
}

// Guards against a node that fills up, or sends the store values of any size, after the store was away.
#[test]
fn what_waits_and_what_is_written_at_once_are_bounded() {
    let mut batches = OriginBatches::new(INTERVAL, LIFETIME);
    let now = Instant::now();
    for stream in 0..25_000 {
        batches.push(key(stream), origin(stream % 2), now);
    }
    assert_eq!(batches.count(), 20_000);
    let taken = batches.take_batch(now).unwrap();
    assert_eq!(taken.len(), 4_000);
    assert!(taken.to_bytes().len() < 40_000);
    assert_eq!(taken.find(&key(4_999)), None);
    assert_eq!(taken.find(&key(5_000)), Some(&origin(0)));
    assert_eq!(taken.find(&key(9_000)), None);
    batches.put_back();
    assert_eq!(batches.count(), 20_000);

    batches.push(key(30_000), origin(1), now + LIFETIME);
    let recent = batches.take_batch(now + LIFETIME).unwrap();
    assert_eq!(recent.len(), 1);
    assert!(recent.find(&key(30_000)).is_some());
}

// Guards against more origins in a batch than one byte can tell apart.
#[test]
fn a_batch_holds_as_many_origins_as_a_byte_can_number() {
    let mut batch = OriginBatch::default();
    for number in 0..256 {
        assert!(batch.push(&key(number), &origin(number)));
    }
    assert!(!batch.push(&key(256), &origin(256)));
    assert!(batch.push(&key(257), &origin(255)));
    assert_eq!(batch.find(&key(257)), Some(&origin(255)));
    assert_eq!(batch.find(&key(255)), Some(&origin(255)));
}
