//! An owner's key as it is written.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_relay::{OwnershipRules, Predecessor};
use nutmegsail_store::LeaseId;
use serde::{Deserialize, Serialize};

use super::knowledge::Knowledge;
use crate::clock::boot_time;

/// How long a claim may be on its way to the store.
const CLAIM_TRAVEL: Duration = Duration::from_secs(2);

/// An owner's key as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    pub(crate) node: NodeId,
    /// The lease of the process that wrote it, which tells two processes of a node apart.
    pub(crate) lease: LeaseId,
    /// What its next process has to know if this one waits for the owner before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) waits: Option<OwnerWait>,
}

/// Until when an owner waits, by a clock that goes on from one process of a machine to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerWait {
    /// Which start of the machine the clock counts from.
    boot: Arc<str>,
    until_ms: u64,
}

impl OwnerWait {
    /// What a process that takes over from `predecessor` has to tell its next one.
    pub(super) fn for_next(
        knowledge: &Knowledge,
        predecessor: Predecessor,
        rules: OwnershipRules,
    ) -> Option<Self> {
        let now = boot_time();
        let until = match predecessor {
            Predecessor::None => return None,
            Predecessor::Own { waits_until } => waits_until,
            Predecessor::Another => now + CLAIM_TRAVEL + rules.wait(),
        };
        (until > now).then(|| Self {
            boot: Arc::clone(&knowledge.boot),
            until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// Whose orders may be on their way when an earlier process of this node had the key and told `waits`.
pub(super) fn predecessor_of_own(knowledge: &Knowledge, waits: Option<&OwnerWait>) -> Predecessor {
    match waits {
        None => Predecessor::None,
        Some(waits) if waits.boot == knowledge.boot => Predecessor::Own {
            waits_until: Duration::from_millis(waits.until_ms),
        },
        Some(_) => Predecessor::Another,
    }
}
