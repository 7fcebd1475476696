//! The two classes of work.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How urgent a request is. Urgent work never queues behind routine work.
///
/// The order is by urgency: [`Class::Urgent`] sorts first.
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
    /// Somebody waits for the answer.
    Urgent,
    /// The answer may wait a little.
    #[default]
    Routine,
}

impl Class {
    /// Both classes, the urgent one first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Routine];

    /// The more urgent of two classes, as inherited along a dependency.
    ///
    /// ```
    /// use nutmegsail_base::Class;
    /// assert_eq!(Class::Routine.or_more_urgent(Class::Urgent), Class::Urgent);
    /// ```
    pub fn or_more_urgent(self, other: Self) -> Self {
        self.min(other)
    }
}
