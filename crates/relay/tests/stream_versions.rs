//! Where streams began, as nodes know it from the store and from each other.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use nutmegsail_base::StoreEra;
use nutmegsail_relay::{
    EraView, KeeperCounts, KnownOrigin, Peer, ServedVersions, ServedVersionsWatch, SoftwareVersion,
    StreamKey, StreamOrigin, StreamOrigins, stream_keepers,
};
use proptest::prelude::*;
use proptest::sample::Index;
use rstest::rstest;

/// How long after its begin a stream can be resumed.
const LIFETIME: Duration = Duration::from_secs(60);

/// How old the list may be at a node that begins streams.
const MAX_VIEW_AGE: Duration = Duration::from_secs(15 * 60);

/// What the store holds.
#[derive(Clone, Default)]
struct Store {
    era: StoreEra,
    /// The versions of listed upstreams.
    listed: BTreeSet<SoftwareVersion>,
    served: Option<ServedVersions>,
    /// Changes with each write of `served`.
    revision: u64,
}

/// A node, with the store as it last saw it.
#[derive(Default)]
struct Node {
    view: Store,
    seen_at: Duration,
    era_since: Duration,
    was_restored: bool,
    watch: ServedVersionsWatch,
}

impl Node {
    fn see(&mut self, store: &Store, now: Duration) {
        if store.era > self.view.era {
            (self.era_since, self.was_restored) = (now, true);
        }
        (self.view, self.seen_at) = (store.clone(), now);
    }

    /// Writes the list if it should change and nobody else has written it since.
    fn write(&mut self, store: &mut Store, now: Duration) {
        let era = EraView {
            era: self.view.era,
            known_for: now - self.era_since,
            was_restored: self.was_restored,
        };
        let (listed, served) = (&self.view.listed, self.view.served.as_ref());
        let service = "scribe".into();
        let update = (self.watch).update(&service, listed, served, era, LIFETIME, now);
        let is_current = store.era == self.view.era && store.revision == self.view.revision;
        if let Some(update) = update.filter(|_| is_current) {
            store.served = Some(update);
            store.revision += 1;
        }
    }

    fn may_begin(&self, version: &SoftwareVersion, now: Duration) -> bool {
        let mut served = self.view.served.iter();
        self.view.listed.contains(version)
            && served.any(|served| served.versions.contains(version))
            && now - self.seen_at < MAX_VIEW_AGE
    }
}

#[derive(Clone, Debug)]
enum Step {
    List(u8),
    Unlist(u8),
    See(usize),
    Write(usize),
    Begin(usize, u8),
    Resume,
    Copy,
    Restore,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let (node, version) = (0..2_usize, 0..2_u8);
    prop_oneof![
        2 => version.clone().prop_map(Step::List),
        2 => version.clone().prop_map(Step::Unlist),
        6 => node.clone().prop_map(Step::See),
        6 => node.clone().prop_map(Step::Write),
        6 => (node, version).prop_map(|(node, version)| Step::Begin(node, version)),
        6 => Just(Step::Resume),
        3 => Just(Step::Copy),
        2 => Just(Step::Restore),
        3 => prop_oneof![0..100_u64, Just(500), Just(1_000)].prop_map(Step::Wait),
    ]
}

fn version(number: u8) -> SoftwareVersion {
    SoftwareVersion::from(format!("v{number}").as_str())
}

/// Checks the list in the store against the streams of one history.
fn follow(steps: impl IntoIterator<Item = Step>) -> Result<(), TestCaseError> {
    let mut store = Store::default();
    let mut copy = store.clone();
    let mut nodes: [Node; 2] = Default::default();
    let mut streams: Vec<(SoftwareVersion, Duration)> = Vec::new();
    let mut now = Duration::ZERO;
    for step in steps {
        match step {
            Step::List(number) => {
                store.listed.insert(version(number));
            }
            Step::Unlist(number) => {
                store.listed.remove(&version(number));
            }
            Step::See(node) => nodes[node].see(&store, now),
            Step::Write(node) => nodes[node].write(&mut store, now),
            Step::Begin(node, number) => {
                if nodes[node].may_begin(&version(number), now) {
                    streams.push((version(number), now));
                }
            }
            Step::Resume => {
                let sole = store
                    .served
                    .as_ref()
                    .and_then(|served| served.sole(store.era));
                for (began_at, began) in streams.iter().filter(|_| sole.is_some()) {
                    prop_assert!(Some(began_at) == sole || now - *began >= LIFETIME);
                }
            }
            Step::Copy => copy = store.clone(),
            Step::Restore => {
                let era = StoreEra(store.era.0 + 1);
                store = Store {
                    era,
                    ..copy.clone()
                };
            }
            Step::Wait(seconds) => now += Duration::from_secs(seconds),
        }
    }
    Ok(())
}

// Guards against a version that is dropped from the list in the moment in which its upstreams return: a node that saw the
// list before begins streams there.
#[rstest]
#[case::by_an_old_view(vec![
    Step::List(0), Step::See(0), Step::Unlist(0), Step::Write(0), Step::List(1), Step::See(1), Step::Write(1),
    Step::List(1), Step::See(1), Step::Wait(500), Step::List(0), Step::Wait(500), Step::See(0), Step::Write(1),
    Step::Begin(0, 0), Step::Resume,
])]
#[case::by_views_of_a_second(vec![
    Step::List(0), Step::See(0), Step::Write(0), Step::Unlist(0), Step::List(1), Step::See(1), Step::Write(1),
    Step::See(1), Step::Wait(959), Step::See(1), Step::List(0), Step::See(0), Step::Wait(1), Step::Write(1),
    Step::Begin(0, 0), Step::Resume,
])]
fn a_version_that_returns_as_it_is_dropped_is_not_forgotten(#[case] steps: Vec<Step>) {
    follow(steps).unwrap();
}

// Guards against streams that are sent to keepers and written long after a release, as a dropped version still counts.
#[test]
fn a_list_is_complete_again_once_streams_at_a_dropped_version_have_ended() {
    let era = EraView {
        era: StoreEra(1),
        known_for: MAX_VIEW_AGE * 4,
        was_restored: false,
    };
    let keep_time = LIFETIME + MAX_VIEW_AGE;
    let listed: BTreeSet<SoftwareVersion> = [version(1)].into();
    let stored = ServedVersions {
        complete_in: Some(StoreEra(1)),
        versions: [version(0), version(1)].into(),
    };
    let mut watch = ServedVersionsWatch::default();
    let mut update = |stored: &ServedVersions, now| {
        watch.update(&"scribe".into(), &listed, Some(stored), era, LIFETIME, now)
    };
    assert_eq!(update(&stored, Duration::ZERO), None);
    let dropped = update(&stored, keep_time).unwrap();
    assert_eq!(dropped.versions, listed);
    assert_eq!(dropped.sole(StoreEra(1)), None);

    let seen_at = keep_time + Duration::from_secs(1);
    assert_eq!(update(&dropped, seen_at), None);
    assert_eq!(
        update(&dropped, seen_at + keep_time - Duration::from_millis(1)),
        None
    );
    let complete = update(&dropped, seen_at + keep_time).unwrap();
    assert_eq!(complete.sole(StoreEra(1)), Some(&version(1)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    // Guards against a list in the store that names one version, though a stream began at another.
    #[test]
    fn a_sole_version_is_that_of_every_stream(steps in prop::collection::vec(step(), 1..120)) {
        follow(steps)?;
    }

    // Guards against an origin that was never recorded, or one of two.
    #[test]
    fn a_stream_has_the_origin_that_was_recorded(
        records in prop::collection::vec((0..6_u8, 0..3_u8, 0..90_u64), 1..60),
    ) {
        let mut origins = StreamOrigins::default();
        let mut now = Instant::now();
        let mut model: Vec<(u8, u8, Instant)> = Vec::new();
        for (stream, number, waited_s) in records {
            now += Duration::from_secs(waited_s);
            let origin = StreamOrigin { service: "scribe".into(), software: version(number) };
            origins.record(key(stream), origin, now, LIFETIME);
            model.push((stream, number, now));
            for stream in 0..6 {
                let recent: BTreeSet<u8> = model
                    .iter()
                    .filter(|(of, _, at)| *of == stream && now < *at + LIFETIME)
                    .map(|(_, number, _)| *number)
                    .collect();
                match origins.get(&key(stream), now) {
                    KnownOrigin::Unknown => prop_assert!(recent.is_empty()),
                    KnownOrigin::Ambiguous => prop_assert!(!recent.is_empty()),
                    KnownOrigin::At(origin) => {
                        prop_assert_eq!(recent.len(), 1);
                        prop_assert!(recent.iter().all(|number| version(*number) == origin.software));
                    }
                }
            }
        }
    }

    // Guards against a node that queries others than those that were notified, if one of these is gone.
    #[test]
    fn the_nodes_that_were_notified_of_a_stream_are_queried(
        (notifier, querier, gone) in any::<(Index, Index, Index)>(),
        nodes in 2..40_usize,
        domains in 1..6_usize,
        stream in any::<u8>(),
    ) {
        let peer = |number: usize| Peer {
            node: format!("n{number}").as_str().into(),
            failure_domain: format!("d{}", number % domains).as_str().into(),
            address: ([10, 0, 0, 1], 80).into(),
            forward_address: ([10, 0, 0, 1], 81).into(),
        };
        let all: Vec<Peer> = (0..nodes).map(peer).collect();
        let (notifier, querier, gone) = (notifier.get(&all), querier.get(&all), gone.get(&all));
        let keepers = |node: &Peer, peers: &[Peer], counts| -> BTreeSet<String> {
            let own = (&node.node, &node.failure_domain);
            let keepers = stream_keepers(&key(stream), own, peers, counts);
            keepers.into_iter().map(|keeper| keeper.node.to_string()).collect()
        };
        let notified = keepers(notifier, &all, KeeperCounts::NOTIFIED);
        let left: Vec<Peer> = all.iter().filter(|peer| *peer != gone).cloned().collect();
        let queried = keepers(querier, &left, KeeperCounts::QUERIED);
        for node in notified {
            let is_here = node == querier.node.as_str() || node == gone.node.as_str();
            prop_assert!(is_here || queried.contains(&node), "{node} is not queried");
        }
    }
}

fn key(stream: u8) -> StreamKey {
    StreamKey::of(None, &format!("s{stream}").as_str().into())
}
