//! Typed names and ids.
//!
//! Names are shared immutable strings: cloning one only increments a reference count.

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
    /// A service in the operators' configuration text, served by engines or by plain upstreams.
    ///
    /// ```
    /// let desk = nutmegsail_base::ServiceName::from("spa-desk");
    /// assert_eq!(desk.as_str(), "spa-desk");
    /// ```
    ServiceName
}
shared_name! {
    /// One of the calls that a service offers, such as a booking confirmation.
    CallName
}
shared_name! {
    /// A LoRA adapter, without its version.
    AdapterName
}
shared_name! {
    /// A failure domain: machines that can fail or be cut off from the network together.
    FailureDomain
}
shared_name! {
    /// The node on an entry VM. It keeps its id when its process restarts.
    NodeId
}
shared_name! {
    /// An upstream, by its `host:port` as listed in the operators' configuration text.
    UpstreamId
}
shared_name! {
    /// A sender of requests, for fairness between callers.
    CallerId
}
shared_name! {
    /// A team: callers that share API keys and a quota.
    TeamName
}
shared_name! {
    /// The id of a request, unique over the deployment.
    RequestId
}

/// The version of an adapter, written after `@` in a model name.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AdapterVersion(pub u32);

/// Identifies one run of a node's or upstream's process. A restart gets a new one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
