//! Histories of the platform's store.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// A number that rises by one each time that the platform's store comes back from an older copy of itself.
///
/// What was written after the copy is gone then, and revisions and numbers of leases are given out again. So these count
/// within an era only.
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
