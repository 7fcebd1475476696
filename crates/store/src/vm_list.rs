//! [`VmList`], the trait of the platform's list of VMs, and its types.

use async_trait::async_trait;
use nutmegsail_base::{FailureDomain, NodeId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A node of nutmegsail.
    Entry,
    /// An upstream.
    Upstream,
}

/// State of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be removed; it should get no new requests.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name. For an entry VM this is also its node's id.
    pub id: NodeId,
    /// `host:port`: the address of an upstream, or the one at which other nodes reach an entry VM.
    pub address: String,
    /// The failure domain it is in.
    pub failure_domain: FailureDomain,
    /// What it runs.
    pub duty: VmRole,
    /// Whether it is running or leaving.
    pub state: VmState,
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VmListError {
    /// The platform did not answer, or answered with an error.
    #[error("the platform's VM list is not available")]
    Unavailable,
    /// The answer could not be decoded.
    #[error("the platform's VM list cannot be decoded: {0}")]
    Malformed(String),
}

/// The platform's list of VMs. It lags behind their actual state, so correctness must not depend
/// on it.
#[async_trait]
pub trait VmList: Send + Sync + std::fmt::Debug {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<Vm>, VmListError>;
}
