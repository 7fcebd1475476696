//! Ordering and fencing tokens of the store's numbers across eras.

use nutmegsail_base::{StoreEra, StoreNumber};
use proptest::prelude::*;

/// Most revisions that a restore from an older copy loses: 400 writes a second for an hour.
const MAX_LOST_REVISIONS: u64 = 1_440_000;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against an engine that refuses its owner for good because the owner's fencing token
    // went down when the store was restored.
    #[test]
    fn fencing_tokens_increase_with_each_claim_across_restores(
        first_era in prop_oneof![0u64..10, 4_090u64..4_100, 0u64..1 << 41],
        first_revision in prop_oneof![1u64..10, (1u64 << 40) - 9..1 << 40, 1u64..1 << 62],
        claims in prop::collection::vec((1u64..1_000_000, prop::option::of(0..MAX_LOST_REVISIONS)), 1..50),
    ) {
        let (mut era, mut revision) = (first_era, first_revision);
        let mut last = StoreNumber::in_era(StoreEra(era), revision);
        for (written, lost) in claims {
            if let Some(lost) = lost {
                era += 1;
                revision = revision.saturating_sub(lost);
            }
            revision += written;
            let claim = StoreNumber::in_era(StoreEra(era), revision);
            prop_assert_eq!((claim.era().0, claim.number()), (era, revision));
            prop_assert!(claim > last);
            prop_assert!(claim.fencing_token() > last.fencing_token(), "{} after {}", claim, last);
            last = claim;
        }
    }
}

#[test]
fn a_fencing_token_that_does_not_fit_into_64_bits_is_none() {
    assert_eq!(
        StoreNumber::in_era(StoreEra(u64::MAX), 1).fencing_token(),
        None
    );
    assert_eq!(
        StoreNumber::in_era(StoreEra(1), u64::MAX).fencing_token(),
        None
    );
}
