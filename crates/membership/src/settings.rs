//! The membership settings.

use std::time::Duration;

use nutmegsail_base::ResultCode;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The `[membership]` table of a node's settings.
///
/// The defaults are for up to 60 nodes per failure domain; `docs/design/membership.md` derives
/// them.
///
/// ```
/// use nutmegsail_membership::MembershipSettings;
/// assert!(MembershipSettings::default().validate().is_ok());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// How often heartbeats are sent.
    pub interval_ms: u64,
    /// How many peers are sent a heartbeat in each interval.
    pub fan_out: usize,
    /// How many other peers a heartbeat carries the beats of.
    pub peers_per_heartbeat: usize,
    /// How many nodes an urgent change is sent to without waiting for the next interval.
    pub urgent_fan_out: usize,
    /// How long a node may be silent before it counts as unreachable.
    pub unreachable_after_ms: u64,
    /// How long a node may be unreachable before it is removed.
    pub removed_after_ms: u64,
    /// How long unreachable nodes still count as live if most nodes became silent at once.
    pub mass_hold_ms: u64,
    /// How often delegates send the summary of their failure domain to the other domains.
    pub summary_interval_ms: u64,
    /// How many nodes of a failure domain send its summaries and read the VM list.
    pub delegates: usize,
    /// How long a failure domain may be silent before it counts as unreachable.
    pub domain_unreachable_after_ms: u64,
    /// How often a delegate reads the VM list.
    pub vm_list_interval_ms: u64,
    /// A gap between events that is longer than this counts as a pause of the process.
    pub pause_after_ms: u64,
    /// How many upstreams notices are kept for.
    pub upstream_notices: usize,
    /// How many notices one message carries.
    pub upstream_notices_per_message: usize,
    /// How long a new notice is put into heartbeats and summaries.
    pub upstream_spread_ms: u64,
    /// How long a notice is kept after its last observation.
    pub upstream_notice_ttl_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            interval_ms: 500,
            fan_out: 2,
            peers_per_heartbeat: 60,
            urgent_fan_out: 6,
            unreachable_after_ms: 5_000,
            removed_after_ms: 60_000,
            mass_hold_ms: 8_000,
            summary_interval_ms: 1_000,
            delegates: 2,
            domain_unreachable_after_ms: 5_000,
            vm_list_interval_ms: 1_000,
            pause_after_ms: 2_000,
            upstream_notices: 256,
            upstream_notices_per_message: 16,
            upstream_spread_ms: 10_000,
            upstream_notice_ttl_ms: 600_000,
        }
    }
}

/// An invalid field in [`MembershipSettings`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipSettingsError {
    /// A field is zero but must be above zero.
    #[error("membership.{field} must be above 0")]
    Zero {
        /// The field.
        field: &'static str,
    },
    /// A field is too small in relation to another one.
    #[error("membership.{field} must be at least {least}")]
    TooSmall {
        /// The field.
        field: &'static str,
        /// The minimum, in words.
        least: &'static str,
    },
}

impl MembershipSettingsError {
    /// The result code for operators.
    pub fn code(&self) -> ResultCode {
        ResultCode::SettingsInvalid
    }
}

impl MembershipSettings {
    /// Checks all fields.
    ///
    /// # Errors
    ///
    /// Returns every invalid field: those that are zero first, then those that are too small.
    pub fn validate(&self) -> Result<(), Vec<MembershipSettingsError>> {
        let mut faults = self.zeros();
        if self.unreachable_after_ms < 4 * self.interval_ms {
            faults.push(MembershipSettingsError::TooSmall {
                field: "unreachable_after_ms",
                least: "four times interval_ms, to tolerate lost messages",
            });
        }
        if self.pause_after_ms < 2 * self.interval_ms {
            faults.push(MembershipSettingsError::TooSmall {
                field: "pause_after_ms",
                least: "twice interval_ms",
            });
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    fn zeros(&self) -> Vec<MembershipSettingsError> {
        let fields = [
            ("interval_ms", self.interval_ms),
            ("fan_out", self.fan_out as u64),
            ("peers_per_heartbeat", self.peers_per_heartbeat as u64),
            ("urgent_fan_out", self.urgent_fan_out as u64),
            ("removed_after_ms", self.removed_after_ms),
            ("summary_interval_ms", self.summary_interval_ms),
            ("delegates", self.delegates as u64),
            ("vm_list_interval_ms", self.vm_list_interval_ms),
            ("upstream_notices", self.upstream_notices as u64),
            ("upstream_spread_ms", self.upstream_spread_ms),
            ("upstream_notice_ttl_ms", self.upstream_notice_ttl_ms),
        ];
        let zeros = fields.into_iter().filter(|(_, value)| *value == 0);
        zeros
            .map(|(field, _)| MembershipSettingsError::Zero { field })
            .collect()
    }

    /// How often heartbeats are sent.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }

    /// How long a node may be silent before it counts as unreachable.
    pub fn unreachable_after(&self) -> Duration {
        Duration::from_millis(self.unreachable_after_ms)
    }
}
