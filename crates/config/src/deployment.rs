//! A checked operators' text.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegsail_base::{AdapterRef, FailureDomain, ServiceName};

use crate::{AdapterIndex, Service, ServiceKind};

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
    pub claim_retention: Duration,
    /// How far callers' and nodes' clocks may differ.
    pub clock_skew: Duration,
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
    /// Finds services by adapter; `AdapterIndex::default()` in a deployment made by hand.
    pub adapter_index: AdapterIndex,
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

impl Default for Weights {
    fn default() -> Self {
        Self {
            load_stalls: 0.5,
            batch_efficiency: 0.5,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            in_flight_per_caller: 64,
            loads_per_s: 3.0,
            loads_at_full_speed: 1,
            claim_retention: Duration::from_secs(24 * 3600),
            clock_skew: Duration::from_secs(30),
        }
    }
}

impl Deployment {
    /// Finds the service that serves `adapter`, by hash over all services.
    ///
    /// ```
    /// use nutmegsail_base::AdapterRef;
    /// use nutmegsail_config::{AdapterLookup, Deployment};
    ///
    /// let text = r#"
    /// deployment = { name = "small", failure_domains = ["hall"] }
    /// [services.scribe]
    /// kind = "engine"
    /// base_model = "base"
    /// checks_fencing = true
    /// deadline_ms = 30000
    /// upstreams.hall = ["127.0.0.1:9001"]
    /// adapters = [{ names = "note-{01..20}", versions = [3, 4] }]
    /// "#;
    /// let deployment = Deployment::parse(text, "small.toml")?;
    /// let found = deployment.find_adapter(&AdapterRef::new("note-07", 4));
    /// assert!(matches!(found, AdapterLookup::Found(service) if service.name.as_str() == "scribe"));
    /// let found = deployment.find_adapter(&AdapterRef::new("note-07", 5));
    /// assert_eq!(found, AdapterLookup::UnknownVersion);
    /// # Ok::<(), nutmegsail_config::Faults>(())
    /// ```
    pub fn find_adapter(&self, adapter: &AdapterRef) -> AdapterLookup<'_> {
        let place = self.adapter_index.place(&adapter.name, &self.services);
        let service = place.and_then(|place| self.services.get(&place.service));
        let (Some(place), Some(service)) = (place, service) else {
            return AdapterLookup::UnknownAdapter;
        };
        let ServiceKind::Engine { adapters, .. } = &service.kind else {
            return AdapterLookup::UnknownAdapter;
        };
        match adapters.entries.get(place.entry) {
            Some((_, versions)) if versions.contains(&adapter.version) => {
                AdapterLookup::Found(service)
            }
            _ => AdapterLookup::UnknownVersion,
        }
    }
}
