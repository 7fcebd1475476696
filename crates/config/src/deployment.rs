//! A checked operators' text.

use std::collections::BTreeMap;

use nutmegsail_base::{AdapterRef, FailureDomain, ServiceName};

use crate::Service;

/// What the operators weigh, each 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// How much a wait for an adapter costs.
    pub load_stalls: f64,
    /// How much a step that is not full costs.
    pub batch_efficiency: f64,
}

/// Limits that hold over the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The largest body a caller may send, in bytes.
    pub body_bytes: usize,
    /// Requests that one caller may have in flight on one node.
    pub in_flight_per_caller: u32,
    /// Loads a second that the weight store allows.
    pub loads_per_s: f64,
    /// Loads at a time that the weight store serves at full speed.
    pub loads_at_full_speed: u32,
    /// How long a claim for a call that runs once is kept.
    pub claim_retention: std::time::Duration,
    /// How far callers' and nodes' clocks may differ.
    pub clock_skew: std::time::Duration,
}

/// A text that has passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The deployment's name, such as `jm-west`.
    pub name: String,
    /// Every failure domain of the text.
    pub failure_domains: Vec<FailureDomain>,
    /// What the operators weigh.
    pub weights: Weights,
    /// Limits over the whole deployment.
    pub limits: Limits,
    /// Every service by its name.
    pub services: BTreeMap<ServiceName, Service>,
}

/// Where an adapter stands in a text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdapterLookup<'a> {
    /// This service has the adapter and the version.
    Found(&'a Service),
    /// Some service has the adapter, but not the version.
    UnknownVersion,
    /// No service has the adapter.
    UnknownAdapter,
}

impl Deployment {
    /// Finds the service that serves `adapter`, by binary search in each service.
    pub fn find_adapter(&self, adapter: &AdapterRef) -> AdapterLookup<'_> {
        let mut found = AdapterLookup::UnknownAdapter;
        for service in self.services.values() {
            let Some(versions) = service.versions_of(adapter) else {
                continue;
            };
            if versions.contains(&adapter.version) {
                return AdapterLookup::Found(service);
            }
            found = AdapterLookup::UnknownVersion;
        }
        found
    }
}

impl Service {
    fn versions_of(&self, adapter: &AdapterRef) -> Option<&[nutmegsail_base::AdapterVersion]> {
        let crate::ServiceKind::Engine { adapters, .. } = &self.kind else {
            return None;
        };
        let at = adapters
            .entries
            .binary_search_by(|(name, _)| name.cmp(&adapter.name))
            .ok()?;
        Some(&adapters.entries[at].1)
    }
}
