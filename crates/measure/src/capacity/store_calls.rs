//! Store calls that follow from settings alone.

use std::time::Duration;

use nutmegsail_config::SpreadSettings;
use nutmegsail_membership::MembershipSettings;

use super::DOMAINS;

/// The node's `control.ownership_ttl_ms`; a node renews its lease four times in it.
pub(crate) const OWNERSHIP_TTL: Duration = Duration::from_secs(10);
const RENEWALS_PER_TTL: f64 = 4.0;

/// Calls a second of the whole fleet at the platform's services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoreCalls {
    /// Watches of the text, and reads of its head beside them.
    pub(crate) text_reads_per_s: f64,
    /// Renewals of the leases that engines are owned under.
    pub(crate) lease_writes_per_s: f64,
    /// Reads of the VM list.
    pub(crate) vm_list_reads_per_s: f64,
}

/// The calls of a fleet without changes at `nodes` nodes in six failure domains.
pub(crate) fn store_calls_per_s(nodes: usize) -> StoreCalls {
    let (spread, membership) = (SpreadSettings::default(), MembershipSettings::default());
    let per_domain = nodes / DOMAINS;
    let watchers = (DOMAINS * spread.watchers.min(per_domain)) as f64;
    let each =
        spread.watch_wait.as_secs_f64().recip() + spread.read_again_after.as_secs_f64().recip();
    let delegates = (DOMAINS * membership.delegates.min(per_domain)) as f64;
    StoreCalls {
        text_reads_per_s: watchers * each,
        lease_writes_per_s: nodes as f64 * RENEWALS_PER_TTL / OWNERSHIP_TTL.as_secs_f64(),
        vm_list_reads_per_s: delegates * 1_000.0 / membership.vm_list_interval_ms as f64,
    }
}
