//! Names of the things that nutmegsail routes between.
//!
//! Every name is a shared immutable string, so cloning one costs a reference count.

use std::sync::Arc;

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, AsRef, Deref, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        #[from(Arc<str>, &str, String)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

shared_name! {
    /// A service of the operators' text, engine-served or plain.
    ///
    /// ```
    /// let desk = nutmegsail_base::ServiceName::from("spa-desk");
    /// assert_eq!(desk.as_str(), "spa-desk");
    /// ```
    ServiceName
}
shared_name! {
    /// A kind of call on a service, such as a booking confirmation.
    CallName
}
shared_name! {
    /// A LoRA adapter, without its version.
    AdapterName
}
shared_name! {
    /// A failure domain: machines that fail together and may be cut off together.
    FailureDomain
}
shared_name! {
    /// An entry VM's node, across restarts of its process.
    NodeId
}
shared_name! {
    /// An upstream as the operators' text lists it: its `host:port`.
    UpstreamId
}
shared_name! {
    /// Who sends requests, for fairness between callers.
    CallerId
}
shared_name! {
    /// Callers that share keys and a quota.
    TeamName
}
shared_name! {
    /// One request of one caller, unique over the deployment.
    RequestId
}

/// The version of an adapter, written after `@` in a model name.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AdapterVersion(pub u32);

/// One run of a process, node or upstream. A restart draws a new one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
