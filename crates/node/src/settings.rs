//! The settings of one node, in TOML.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use nutmegsail_base::{FailureDomain, NodeId, ResultCode};
use nutmegsail_front::FrontSettings;
use nutmegsail_membership::MembershipSettings;
use nutmegsail_telemetry::{LogSettings, TelemetrySettings};
use serde::{Deserialize, Serialize};

/// Everything that differs from one node to the next, and the limits that hold on it.
///
/// `examples/node.toml` shows every key with its default.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's id; the VM list names it by this.
    pub node: NodeId,
    /// Where the node stands.
    pub failure_domain: FailureDomain,
    /// Where other nodes connect, as `IP:PORT`; port 0 takes any free one.
    pub nodes_address: SocketAddr,
    /// The platform's services.
    pub platform: PlatformAddresses,
    /// Addresses of other nodes to begin with while the VM list cannot be read.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// The callers' interface.
    #[serde(default)]
    pub front: FrontSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics and spans.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Intervals and bounds of the control side.
    #[serde(default)]
    pub control: ControlSettings,
    /// Heartbeats between nodes.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
}

fn default_traffic_threads() -> usize {
    2
}

/// Where the platform's services answer, as `IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The VM list.
    pub vm_list: SocketAddr,
}

/// Intervals and bounds of the control side. Each is in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// How often the decision cores look at the time.
    pub tick_ms: u64,
    /// How often a node reads an engine's report.
    pub report_interval_ms: u64,
    /// How long a watch on the operators' text waits at the key-value service.
    pub watch_wait_ms: u64,
    /// How long an engine's owner holds it before it confirms its ownership again.
    pub ownership_ttl_ms: u64,
    /// How long a shutdown waits for answers in progress before the process ends; 0 is for ever.
    pub shutdown_limit_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            tick_ms: 20,
            report_interval_ms: 250,
            watch_wait_ms: 1_000,
            ownership_ttl_ms: 10_000,
            shutdown_limit_ms: 0,
        }
    }
}

impl ControlSettings {
    /// [`ControlSettings::tick_ms`] as a duration.
    pub fn tick(&self) -> Duration {
        Duration::from_millis(self.tick_ms)
    }
}

/// One fault of the settings.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{key}: {problem}")]
pub struct SettingsFault {
    /// The key at fault, or `file`.
    pub key: String,
    /// What is wrong and what to write instead.
    pub problem: String,
}

/// Every fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFaults {
    /// The faults, in the order of the keys.
    pub faults: Vec<SettingsFault>,
}

impl std::fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} the settings have faults:",
            ResultCode::SettingsInvalid
        )?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsFaults {}

impl NodeSettings {
    /// Reads settings and reports every fault at once.
    ///
    /// # Errors
    ///
    /// [`SettingsFaults`] with each key at fault.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsFaults {
            faults: vec![SettingsFault {
                key: "file".into(),
                problem: error.to_string(),
            }],
        })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsFaults { faults })
        }
    }

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        if let Err(error) = self.front.validate() {
            faults.push(SettingsFault {
                key: "front".into(),
                problem: error.to_string(),
            });
        }
        for error in self.telemetry.validate().err().into_iter().flatten() {
            faults.push(SettingsFault {
                key: "telemetry".into(),
                problem: error.to_string(),
            });
        }
        for error in self.membership.validate().err().into_iter().flatten() {
            faults.push(SettingsFault {
                key: "membership".into(),
                problem: error.to_string(),
            });
        }
        let mut require = |holds: bool, key: &str, problem: &str| {
            if !holds {
                faults.push(SettingsFault {
                    key: key.into(),
                    problem: problem.into(),
                });
            }
        };
        require(
            !self.node.is_empty(),
            "node",
            "name the node, as the VM list does",
        );
        require(
            !self.failure_domain.is_empty(),
            "failure_domain",
            "name the failure domain",
        );
        require(
            self.traffic_threads > 0,
            "traffic_threads",
            "write 1 or more",
        );
        let control = &self.control;
        require(
            (1..=1_000).contains(&control.tick_ms),
            "control.tick_ms",
            "write 1 to 1000",
        );
        require(
            (50..=10_000).contains(&control.report_interval_ms),
            "control.report_interval_ms",
            "write 50 to 10000",
        );
        require(
            (100..=30_000).contains(&control.watch_wait_ms),
            "control.watch_wait_ms",
            "write 100 to 30000; the platform cuts longer waits",
        );
        require(
            control.ownership_ttl_ms >= 1_000,
            "control.ownership_ttl_ms",
            "write 1000 or more; shorter spells cost too many calls",
        );
        for seed in &self.seeds {
            require(
                seed.parse::<SocketAddr>().is_ok(),
                "seeds",
                &format!("`{seed}` is not IP:PORT"),
            );
        }
        faults
    }
}
