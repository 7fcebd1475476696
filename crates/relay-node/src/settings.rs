//! A node's settings, in TOML.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId, ResultCode};
use nutmegsail_intake::LimitSettings;
use nutmegsail_quota::QuotaBounds;
use nutmegsail_relay::{AccessRules, LateWorth};
use nutmegsail_telemetry::LogSettings;
use serde::Deserialize;
use thiserror::Error;

/// The settings of one node.
///
/// ```
/// use nutmegsail_relay_node::RelaySettings;
/// let settings = RelaySettings::parse(
///     r#"
///     node = "negril-1"
///     failure_domain = "negril-hall"
///     callers_address = "10.1.0.38:8149"
///     ready_address = "10.1.0.38:8141"
///     nodes_address = "10.1.0.38:7380"
///     [store]
///     address = "10.200.1.7:8142"
///     "#,
/// )?;
/// assert_eq!(settings.bounds.hand_over_ms, 3_000);
/// # Ok::<(), nutmegsail_relay_node::RelaySettingsError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The node's name. It stays the same over restarts.
    pub node: NodeId,
    /// The failure domain in which the node runs.
    pub failure_domain: FailureDomain,
    /// All failure domains, including this one. Each lends a part of the teams' quotas.
    #[serde(default)]
    pub failure_domains: Vec<FailureDomain>,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// The address for the platform's readiness check.
    pub ready_address: SocketAddr,
    /// The address for other nodes.
    pub nodes_address: SocketAddr,
    /// The address for requests that other nodes forward. Any free port of `nodes_address` is used
    /// if it is left out.
    #[serde(default)]
    pub forward_address: Option<SocketAddr>,
    /// The address for metrics, served under `/metrics` in the Prometheus text format. No metrics
    /// are served if it is left out.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Whether the whole system starts for the first time, so that no engine can have had an owner.
    #[serde(default)]
    pub is_first_start: bool,
    /// The key-value store.
    pub store: StoreSettings,
    /// Times and ratios agreed between operators and the platform.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the process may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Load shedding by the value of late answers. If it is left out, it does not count.
    #[serde(default)]
    pub shedding: Option<SheddingSettings>,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the key-value store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
}

/// Settings of load shedding.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SheddingSettings {
    /// Value of a late answer as a fraction of one on time, by priority. It is 0.5 for priorities
    /// that are not listed.
    pub late_worth: BTreeMap<String, f64>,
}

impl SheddingSettings {
    /// The values with their priorities.
    ///
    /// ```
    /// use nutmegsail_relay_node::SheddingSettings;
    /// let late_worth = [("0".to_owned(), 0.2)].into_iter().collect();
    /// assert_eq!(SheddingSettings { late_worth }.worths().of(0), 0.2);
    /// ```
    pub fn worths(&self) -> LateWorth {
        let known = self.late_worth.iter();
        known
            .filter_map(|(priority, worth)| Some((priority.parse().ok()?, *worth)))
            .collect()
    }

    fn faults(&self) -> impl Iterator<Item = String> {
        self.late_worth.iter().filter_map(|(priority, worth)| {
            // `parse` also takes "+1" and "01", which would name one priority twice.
            let parsed = priority.parse::<u8>();
            let is_priority = parsed.is_ok_and(|parsed| parsed.to_string() == *priority);
            match (is_priority, (0.0..=1.0).contains(worth)) {
                (false, _) => Some(format!(
                    "shedding.late_worth.{priority}: write a priority from 0 to 255"
                )),
                (true, false) => Some(format!("shedding.late_worth.{priority}: write 0 to 1")),
                (true, true) => None,
            }
        })
    }
}

/// Times and ratios that operators have agreed on with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// How long a process may keep running after SIGTERM, in seconds.
    pub grace_s: f64,
    /// How long a leaving upstream may still get requests, in milliseconds.
    pub drain_ms: u64,
    /// The shortest time between orders of two successive owners to one engine, in milliseconds.
    pub hand_over_ms: u64,
    /// How long requests may still start on the previous version after a new one was released, in
    /// milliseconds.
    pub version_ms: u64,
    /// Retries as a fraction of first sends.
    pub retry_ratio: f64,
    /// Retries allowed in addition in one window, over all nodes.
    pub retry_slack: f64,
    /// The window in which sends are counted, in seconds.
    pub retry_window_s: f64,
    /// How long after its removal a key may still be accepted by any node, in milliseconds. If this
    /// is left out, a node without contact to the store or to other nodes keeps accepting the keys
    /// it knows.
    pub revoke_ms: Option<u64>,
    /// The window in which teams' tokens are counted, in seconds.
    pub quota_window_s: f64,
    /// How far all nodes together may exceed a quota in a window, as a fraction of the quota.
    pub quota_over: f64,
    /// The number of tokens by which they may exceed it in addition.
    pub quota_slack_tokens: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            drain_ms: 2_000,
            hand_over_ms: 3_000,
            version_ms: 5_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_s: 10.0,
            revoke_ms: None,
            quota_window_s: 8.0,
            quota_over: 0.1,
            quota_slack_tokens: 0.0,
        }
    }
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} the settings have faults: {problems}", ResultCode::SettingsInvalid)]
pub struct RelaySettingsError {
    /// The faults, with the keys that they concern.
    pub problems: String,
}

impl RelaySettings {
    /// Parses settings and reports all faults that can be found.
    ///
    /// # Errors
    ///
    /// [`RelaySettingsError`] with the faulty keys.
    pub fn parse(text: &str) -> Result<Self, RelaySettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| RelaySettingsError {
            problems: error.to_string(),
        })?;
        let faults = settings.faults();
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(RelaySettingsError {
            problems: faults.join("; "),
        })
    }

    /// How exactly teams' quotas are enforced.
    pub fn quota_bounds(&self) -> QuotaBounds {
        let bounds = &self.bounds;
        QuotaBounds {
            window: Duration::from_secs_f64(bounds.quota_window_s),
            over_ratio: bounds.quota_over,
            slack_tokens: bounds.quota_slack_tokens,
            failure_domains: u32::try_from(self.failure_domains.len())
                .unwrap_or(u32::MAX)
                .max(1),
        }
    }

    fn faults(&self) -> Vec<String> {
        let bounds = &self.bounds;
        let checks = [
            (!self.node.is_empty(), "node: name the node"),
            (
                !self.failure_domain.is_empty(),
                "failure_domain: name the failure domain",
            ),
            (
                bounds.grace_s >= 1.0,
                "bounds.grace_s: write 1 or more; answers need time to end",
            ),
            (bounds.drain_ms >= 100, "bounds.drain_ms: write 100 or more"),
            (
                bounds.hand_over_ms >= 100,
                "bounds.hand_over_ms: write 100 or more",
            ),
            (
                (0.0..=10.0).contains(&bounds.retry_ratio),
                "bounds.retry_ratio: write 0 to 10",
            ),
            (
                bounds.retry_window_s >= 0.1,
                "bounds.retry_window_s: write 0.1 or more",
            ),
            (
                bounds.revoke_ms.is_none_or(|ms| ms >= 1_000),
                "bounds.revoke_ms: write 1000 or more, or leave it out; the store is read each second",
            ),
            (
                bounds.quota_window_s >= 0.1,
                "bounds.quota_window_s: write 0.1 or more",
            ),
            (
                (0.0..=10.0).contains(&bounds.quota_over),
                "bounds.quota_over: write 0 to 10",
            ),
            (
                bounds.quota_slack_tokens >= 0.0,
                "bounds.quota_slack_tokens: write 0 or more",
            ),
        ];
        let failed = checks.iter().filter(|(holds, _)| !holds);
        let shedding = self.shedding.iter().flat_map(SheddingSettings::faults);
        failed
            .map(|(_, problem)| (*problem).to_owned())
            .chain(shedding)
            .chain(self.limits.faults())
            .collect()
    }
}

impl BoundSettings {
    /// The rules for accepting API keys.
    pub fn access(&self) -> AccessRules {
        AccessRules {
            revocation: self.revoke_ms.map(Duration::from_millis),
        }
    }

    /// [`BoundSettings::grace_s`] as a duration.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// [`BoundSettings::drain_ms`] as a duration.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// [`BoundSettings::hand_over_ms`] as a duration.
    pub fn hand_over(&self) -> Duration {
        Duration::from_millis(self.hand_over_ms)
    }

    /// [`BoundSettings::version_ms`] as a duration.
    pub fn version(&self) -> Duration {
        Duration::from_millis(self.version_ms)
    }
}
