//! Numbers that the platform's store gives out.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::StoreEra;

/// How far the fences of two eras lie apart: more than the revisions that can go with a store's history.
const FENCES_PER_ERA: u64 = 1 << 22;

/// A number that the platform's store gives out, with the era in which it did. Those of a later era come later,
/// whatever the store calls them; 0 stands for none, in each era.
///
/// ```
/// use nutmegsail_base::{StoreEra, StoreNumber};
/// let before = StoreNumber::of(StoreEra(1), 900);
/// let after = StoreNumber::of(StoreEra(2), 850);
/// assert!(before < after);
/// assert_eq!((after.era(), after.number()), (StoreEra(2), 850));
/// assert_eq!(StoreNumber::of(StoreEra(2), 0), StoreNumber::NONE);
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
    /// Stands for a key that does not exist, or for no lease.
    pub const NONE: Self = Self {
        era: StoreEra(0),
        number: 0,
    };

    /// What the store calls `number` in `era`.
    pub const fn of(era: StoreEra, number: u64) -> Self {
        match number {
            0 => Self::NONE,
            _ => Self { era, number },
        }
    }

    /// What a store calls `number` that tells no era.
    pub const fn plain(number: u64) -> Self {
        Self::of(StoreEra(0), number)
    }

    /// The era that it counts in.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// What the store calls it.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Whether it names something, of another era than `era`.
    pub fn is_outside(self, era: StoreEra) -> bool {
        self != Self::NONE && self.era != era
    }

    /// A fencing token that rises with it; nothing if no such token fits into 64 bits.
    ///
    /// Engines order claims by one number. A store that comes back from a copy gives out revisions again that lie
    /// somewhat below the last ones; the distance of two eras makes up for that.
    ///
    /// ```
    /// use nutmegsail_base::{StoreEra, StoreNumber};
    /// let lost = StoreNumber::of(StoreEra(1), 900).fence();
    /// let again = StoreNumber::of(StoreEra(2), 850).fence();
    /// assert!(lost < again);
    /// ```
    pub fn fence(self) -> Option<u64> {
        let base = self.era.0.checked_mul(FENCES_PER_ERA)?;
        base.checked_add(self.number)
    }
}
