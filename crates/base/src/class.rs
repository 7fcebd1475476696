//! The two priority classes of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The priority class of a request. Urgent requests never queue behind routine ones.
///
/// Ordered by priority: [`Class::Urgent`] sorts first.
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
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Class {
    /// Somebody is waiting for the answer.
    Urgent,
    /// The answer can wait a little.
    #[default]
    Routine,
}

impl Class {
    /// Both classes, the urgent one first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Routine];

    /// The more urgent of two classes. A service that an urgent one depends on becomes urgent too.
    ///
    /// ```
    /// use nutmegsail_base::Class;
    /// assert_eq!(Class::Routine.or_more_urgent(Class::Urgent), Class::Urgent);
    /// ```
    pub fn or_more_urgent(self, other: Self) -> Self {
        self.min(other)
    }
}
