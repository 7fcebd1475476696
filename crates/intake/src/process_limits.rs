//! The memory and the descriptors of the process.

use std::fs::read_to_string;

use nix::sys::resource::{Resource, getrlimit};
use serde::{Deserialize, Serialize};

use crate::{ConnectionLimits, LedgerLimits};

const MB: u64 = 1024 * 1024;

/// The memory of a node's machine, unless it or the settings say otherwise.
const DEFAULT_MEMORY_MB: u64 = 256;

/// The smallest memory with which a node can serve.
const MIN_MEMORY_MB: f64 = 32.0;

/// The smallest number of descriptors with which a node can serve.
const MIN_DESCRIPTORS: usize = 64;

/// The number of descriptors if the operating system does not tell.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// More descriptors than a node ever needs.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// The fraction of the memory that connections and requests may hold. The rest is for the node's own
/// state, for what the allocator wastes, and for what the kernel buffers.
const HELD_DIVISOR: usize = 3;

/// Settings of the process's limits.
///
/// ```
/// use nutmegsail_intake::LimitSettings;
/// let settings = LimitSettings { memory_mb: Some(8.0), ..LimitSettings::default() };
/// assert_eq!(settings.faults(), ["limits.memory_mb: write 32 or more"]);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The memory that the process may use, in MB of 2^20 bytes. If it is left out, 256 MB or that
    /// of the machine or control group, whichever is least.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
    /// How many descriptors the process may open. If it is left out, its resource limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<usize>,
}

impl LimitSettings {
    /// The faults of the settings, each with the key that it concerns.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self
            .memory_mb
            .is_some_and(|mb| mb < MIN_MEMORY_MB || mb.is_nan())
        {
            faults.push("limits.memory_mb: write 32 or more".to_owned());
        }
        if self
            .descriptors
            .is_some_and(|count| count < MIN_DESCRIPTORS)
        {
            faults.push("limits.descriptors: write 64 or more".to_owned());
        }
        faults
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// The limits that `settings` give, or else those of the operating system.
    ///
    /// ```
    /// use nutmegsail_intake::{LimitSettings, ProcessLimits};
    /// let settings = LimitSettings { memory_mb: Some(120.0), descriptors: Some(3_075) };
    /// let limits = ProcessLimits::detect(&settings);
    /// assert_eq!(limits.memory_bytes, 120 * 1024 * 1024);
    /// assert_eq!(limits.ledger().bytes, 40 * 1024 * 1024);
    /// ```
    pub fn detect(settings: &LimitSettings) -> Self {
        let memory = settings.memory_mb.map(|mb| (mb * MB as f64) as u64);
        let memory = memory.unwrap_or_else(detected_memory_bytes);
        let resource = getrlimit(Resource::RLIMIT_NOFILE);
        let descriptors = resource.map_or(DEFAULT_DESCRIPTORS, |(soft, _)| soft);
        let descriptors = usize::try_from(descriptors).unwrap_or(MAX_DESCRIPTORS);
        let descriptors = settings.descriptors.unwrap_or(descriptors);
        Self {
            memory_bytes: usize::try_from(memory).unwrap_or(usize::MAX),
            descriptors: descriptors.min(MAX_DESCRIPTORS),
        }
    }

    /// The limits on what connections and requests hold.
    pub fn ledger(&self) -> LedgerLimits {
        LedgerLimits {
            bytes: self.memory_bytes / HELD_DIVISOR,
            connections: ConnectionLimits::within(self.descriptors),
        }
    }
}

fn detected_memory_bytes() -> u64 {
    let group = read_to_string("/sys/fs/cgroup/memory.max").ok();
    let group = group.and_then(|text| text.trim().parse().ok());
    let machine = read_to_string("/proc/meminfo").ok();
    let machine = machine.and_then(|text| machine_memory_bytes(&text));
    let known = [group, machine].into_iter().flatten();
    known.fold(DEFAULT_MEMORY_MB * MB, u64::min)
}

fn machine_memory_bytes(meminfo: &str) -> Option<u64> {
    let total = meminfo
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
