//! The events that the membership core handles.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use crate::{DomainSummary, Heartbeat};

/// An event for [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A heartbeat arrived.
    Heard {
        /// The sender.
        from: NodeId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A summary of another failure domain arrived.
    SummaryHeard {
        /// The sender.
        from: NodeId,
        /// The summary.
        summary: DomainSummary,
    },
    /// The platform's VM list was read.
    VmListRead {
        /// The entry VMs in the list; other VMs must be left out.
        vms: Vec<VmHint>,
    },
    /// The node addresses in the settings.
    Seeds {
        /// Each a `host:port`.
        addresses: Vec<Arc<str>>,
    },
    /// This node observed that an upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation, if known.
        incarnation: Option<Incarnation>,
        /// The source of the observation.
        source: LeavingSource,
    },
    /// An upstream's own report to this node says that it is not leaving.
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
    /// This node's process was paused. The core also detects pauses by itself.
    Resumed {
        /// The length of the pause.
        paused: Duration,
    },
    /// A heartbeat interval has passed.
    Tick,
}

/// An entry VM in the platform's VM list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmHint {
    /// The node on the VM.
    pub id: NodeId,
    /// Its `host:port` for other nodes.
    pub address: Arc<str>,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the platform is about to remove the VM.
    pub is_leaving: bool,
}

/// The source from which a node learned that an upstream is leaving.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's VM list.
    VmList,
    /// The upstream's own report.
    Report,
    /// A refusal by the upstream.
    Refusal,
    /// An operator's order.
    Operator,
}
