//! Counts how often the platform's store was restored from an older copy.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// A counter that the platform's store increments each time it is restored from an older copy.
///
/// A restore loses the writes made after that copy, and the store then assigns the same revisions
/// and lease ids again. So these are comparable only within one era.
///
/// ```
/// use nutmegsail_base::StoreEra;
/// assert!(StoreEra(1) < StoreEra(2));
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
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);
