//! Tests of the copies that an engine's owner orders.

mod common;

use std::time::{Duration, Instant};

use common::holdings;
use nutmegsail_base::FailureDomain;
use nutmegsail_relay::{
    CopyScope, EngineDemand, EngineLoadSample, Holdings, ModelRef, WantedCopies,
};
use rstest::rstest;

const SLOTS: u32 = 12;

struct Owner {
    demand: EngineDemand,
    here: FailureDomain,
    held: Holdings,
    now: Instant,
}

impl Owner {
    fn new() -> Self {
        Self {
            demand: EngineDemand::default(),
            here: "here".into(),
            held: holdings(&["a1", "a2"]),
            now: Instant::now(),
        }
    }

    /// Sends ten seconds of requests for `a1` from one failure domain, `per_s` in a second.
    fn send_requests(&mut self, domain: &str, per_s: f64) {
        for _ in 0..(10.0 * per_s) as usize {
            self.now += Duration::from_secs_f64(1.0 / per_s);
            let model = ModelRef::parse("base/a1");
            let domain = domain.into();
            self.demand.note(&domain, &model, 1.0, 1_460.0, self.now);
        }
    }

    fn wanted(&mut self, in_flight: u32) -> Vec<WantedCopies> {
        let engine = EngineLoadSample {
            failure_domain: &self.here,
            slots: SLOTS,
            holdings: &self.held,
        };
        let popular = ModelRef::parse("base/a1");
        let of = |model: &ModelRef| if *model == popular { in_flight } else { 0 };
        self.demand.copies_wanted(engine, of, self.now)
    }

    fn copies(&mut self, in_flight: u32) -> usize {
        self.wanted(in_flight)
            .iter()
            .map(|wanted| wanted.copies)
            .sum()
    }
}

// A prompt of 1,460 tokens takes 76 ms: four requests a second occupy a third of an engine, seven
// more than half, and thirty need six engines.
#[rstest]
#[case::nothing(0.0, 0, 0)]
#[case::single_request(0.5, 1, 0)]
#[case::a_third(4.0, 3, 0)]
#[case::over_half(7.0, 4, 1)]
#[case::several_engines(30.0, 8, 4)]
#[case::few_free_slots(1.0, 11, 2)]
fn number_of_copies_follows_the_share_of_the_engine_an_adapter_uses(
    #[case] per_s: f64,
    #[case] in_flight: u32,
    #[case] copies: usize,
) {
    let mut owner = Owner::new();
    if per_s > 0.0 {
        owner.send_requests("here", per_s);
    }
    assert_eq!(owner.copies(in_flight), copies);
}

// A copy takes at least a quarter of a second to load, and demand here drops only some time later.
// When further copies were ordered before that, one adapter filled the surrounding engines.
#[test]
fn copies_are_not_ordered_again_before_they_take_effect() {
    let mut owner = Owner::new();
    owner.send_requests("here", 30.0);
    assert_eq!(owner.copies(8), 4);
    assert_eq!(owner.copies(8), 0);
    owner.now += Duration::from_millis(1_100);
    assert!(owner.copies(8) > 0);
}

// In a partition, a failure domain loses its callers' requests in flight at engines of other
// domains.
#[test]
fn failure_domain_with_frequent_requests_gets_its_own_copy() {
    let mut owner = Owner::new();
    owner.send_requests("there", 3.0);
    let place = CopyScope::Domain("there".into());
    assert_eq!(
        owner.wanted(2).first().map(|wanted| &wanted.place),
        Some(&place)
    );
    let mut infrequent = Owner::new();
    infrequent.send_requests("there", 1.0);
    assert_eq!(infrequent.wanted(2), []);
}
