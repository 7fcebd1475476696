//! The software versions at which a request may run.

use std::sync::Arc;

use crate::SoftwareVersion;

/// The software versions at which a request may run.
///
/// ```
/// use nutmegsail_relay::SoftwareRule;
/// let (old, new) = ("v1".into(), "v2".into());
/// assert!(SoftwareRule::Any.allows(&old));
/// assert!(!SoftwareRule::Only("v2".into()).allows(&old));
/// assert!(SoftwareRule::OneOf([new].into()).allows(&"v2".into()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareRule {
    /// At any.
    #[default]
    Any,
    /// At the one at which its stream began.
    Only(SoftwareVersion),
    /// At these, as other nodes know that streams begin there.
    OneOf(Arc<[SoftwareVersion]>),
}

impl SoftwareRule {
    /// Whether the request may run at an upstream with `software`.
    pub fn allows(&self, software: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == software,
            Self::OneOf(versions) => versions.contains(software),
        }
    }

    /// The version that alone is allowed.
    pub fn only(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(only) => Some(only),
            Self::Any | Self::OneOf(_) => None,
        }
    }
}
