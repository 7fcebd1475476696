//! What the membership core is told.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use crate::{DomainSummary, Heartbeat};

/// What the membership core is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A heartbeat arrived.
    Heard {
        /// Who sent it.
        from: NodeId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Another failure domain's account of itself arrived.
    SummaryHeard {
        /// Who sent it.
        from: NodeId,
        /// The account.
        summary: DomainSummary,
    },
    /// The platform's list was read. Only entry VMs belong here.
    VmListRead {
        /// The entry VMs of the list.
        vms: Vec<VmHint>,
    },
    /// Addresses of nodes that the settings name.
    Seeds {
        /// Each a `host:port`.
        addresses: Vec<Arc<str>>,
    },
    /// This node saw that an upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation, if known.
        incarnation: Option<Incarnation>,
        /// How this node saw it.
        source: LeavingSource,
    },
    /// This node saw by an upstream's own report that it is not leaving.
    UpstreamStaying {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A generation of the operators' text came into force on this node.
    OwnGeneration {
        /// The generation.
        generation: u64,
        /// Its digest.
        digest: Arc<str>,
    },
    /// This node's own state changed.
    OwnState {
        /// Whether it answers callers.
        is_ready: bool,
        /// Whether it is shutting down.
        is_leaving: bool,
    },
    /// This node did not run for a while. The core also notices by itself.
    Resumed {
        /// For how long.
        paused: Duration,
    },
    /// The heartbeat interval is over.
    Tick,
}

/// An entry VM of the platform's list. The list lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmHint {
    /// The node on the VM.
    pub id: NodeId,
    /// Its `host:port` for other nodes.
    pub address: Arc<str>,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether the platform is about to take the VM away.
    pub is_leaving: bool,
}

/// How a node saw that an upstream is leaving.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum LeavingSource {
    /// By the platform's VM list.
    VmList,
    /// By the upstream's own report.
    Report,
    /// By a refusal.
    Refusal,
    /// By an operator's order.
    Operator,
}
