//! The stored value of an owner's key.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_relay::{OwnershipRules, Predecessor};
use nutmegsail_store::LeaseId;
use serde::{Deserialize, Serialize};

use super::control_state::ControlState;
use crate::clock::boot_time;

/// The longest time that a claim may take to reach the store.
const MAX_CLAIM_DELAY: Duration = Duration::from_secs(2);

/// The stored value of an owner's or lender's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    pub(crate) node: NodeId,
    /// The lease of the process that wrote the key, which differs between two processes of one
    /// node.
    pub(crate) lease: LeaseId,
    /// What the next process has to know if this one is still waiting for its predecessor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) waits: Option<OwnerWait>,
}

/// Until when an owner waits for its predecessor, by a clock that continues across processes on one
/// machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerWait {
    /// The id of the machine's boot since which the clock counts.
    boot: Arc<str>,
    until_ms: u64,
}

impl OwnerWait {
    /// What a process that takes over from `predecessor` leaves for its own successor.
    pub(super) fn for_successor(
        control: &ControlState,
        predecessor: Predecessor,
        rules: OwnershipRules,
    ) -> Option<Self> {
        let now = boot_time();
        let until = match predecessor {
            Predecessor::None => return None,
            Predecessor::Earlier { orders_end } => orders_end,
            Predecessor::Another => now + MAX_CLAIM_DELAY + rules.wait(),
        };
        (until > now).then(|| Self {
            boot: Arc::clone(&control.boot),
            until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

/// Who may still have orders in transit if an earlier process of this node held the key and left
/// `waits`.
pub(super) fn predecessor_of_own(control: &ControlState, waits: Option<&OwnerWait>) -> Predecessor {
    match waits {
        None => Predecessor::None,
        Some(waits) if waits.boot == control.boot => Predecessor::Earlier {
            orders_end: Duration::from_millis(waits.until_ms),
        },
        Some(_) => Predecessor::Another,
    }
}
