//! The version of an upstream's software.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The version of an upstream's software, as its entry in the list states it. Versions have no order.
///
/// ```
/// use nutmegsail_relay::SoftwareVersion;
/// let version = SoftwareVersion::from("v1.1");
/// assert_eq!(version.to_string(), "v1.1");
/// ```
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[from(Arc<str>, &str)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
