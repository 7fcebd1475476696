//! The trait of the platform's list of VMs.

use async_trait::async_trait;
use nutmegsail_base::{FailureDomain, NodeId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmDuty {
    /// It runs a node of nutmegsail.
    Entry,
    /// It runs an upstream.
    Upstream,
}

/// How a VM stands, as far as the platform knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be taken away and wants no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name; for an entry VM the id of its node.
    pub id: NodeId,
    /// `host:port`: an entry VM's address for other nodes, or an upstream's address.
    pub address: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// What it is for.
    pub duty: VmDuty,
    /// How it stands.
    pub state: VmState,
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VmListError {
    /// The platform did not answer.
    #[error("the platform's VM list is not available")]
    Unavailable,
    /// The answer could not be read.
    #[error("the platform's VM list cannot be read: {0}")]
    Malformed(String),
}

/// The platform's list of VMs. It lags behind reality and decides nothing that safety rests on.
#[async_trait]
pub trait VmList: Send + Sync + std::fmt::Debug {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<Vm>, VmListError>;
}
