//! Revisions and lease ids of the platform's store, made unique across eras.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::StoreEra;

/// Distance between the fencing tokens of two eras. It exceeds the number of revisions that a
/// restore from an older copy can lose.
const FENCING_TOKENS_PER_ERA: u64 = 1 << 22;

/// A number assigned by the platform's store (a revision or a lease id), with the era in which it
/// was assigned. Numbers of a later era compare greater, whatever their value. 0 means none, in
/// every era.
///
/// ```
/// use nutmegsail_base::{StoreEra, StoreNumber};
/// let before = StoreNumber::in_era(StoreEra(1), 900);
/// let after = StoreNumber::in_era(StoreEra(2), 850);
/// assert!(before < after);
/// assert_eq!((after.era(), after.number()), (StoreEra(2), 850));
/// assert_eq!(StoreNumber::in_era(StoreEra(2), 0), StoreNumber::NONE);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[display("{era}.{number}")]
pub struct StoreNumber {
    era: StoreEra,
    number: u64,
}

impl StoreNumber {
    /// The revision of a key that does not exist, or the id of no lease.
    pub const NONE: Self = Self {
        era: StoreEra(0),
        number: 0,
    };

    /// The number that the store assigned as `number` in `era`.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        match number {
            0 => Self::NONE,
            _ => Self { era, number },
        }
    }

    /// A number from a store that reports no era.
    pub const fn without_era(number: u64) -> Self {
        Self::in_era(StoreEra(0), number)
    }

    /// The era in which the store assigned it.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// The number as the store knows it.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Whether it is not [`NONE`](Self::NONE) and was assigned in another era than `era`.
    pub fn is_from_other_era(self, era: StoreEra) -> bool {
        self != Self::NONE && self.era != era
    }

    /// A fencing token that increases with this number, or `None` if it does not fit into 64 bits.
    ///
    /// Engines order ownership claims by a single number. A restored store assigns revisions below
    /// the last ones again; adding a fixed distance per era keeps the tokens increasing.
    ///
    /// ```
    /// use nutmegsail_base::{StoreEra, StoreNumber};
    /// let lost = StoreNumber::in_era(StoreEra(1), 900).fencing_token();
    /// let again = StoreNumber::in_era(StoreEra(2), 850).fencing_token();
    /// assert!(lost < again);
    /// ```
    pub fn fencing_token(self) -> Option<u64> {
        let base = self.era.0.checked_mul(FENCING_TOKENS_PER_ERA)?;
        base.checked_add(self.number)
    }
}
