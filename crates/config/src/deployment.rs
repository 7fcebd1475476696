//! A parsed and validated operators' text.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegsail_base::{AdapterRef, FailureDomain, ServiceName};

use crate::{AdapterIndex, Service, ServiceKind};

/// How much two costs count against each other in routing, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The weight of the wait for an adapter to load.
    pub load_stalls: f64,
    /// The weight of engine steps whose batch is not full.
    pub batch_efficiency: f64,
}

/// Limits of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The largest body a caller may send, in bytes.
    pub body_bytes: usize,
    /// Requests that one caller may have in flight on one node.
    pub in_flight_per_caller: u32,
    /// The rate of adapter loads, per second, that the weight store allows.
    pub loads_per_s: f64,
    /// The number of concurrent loads that the weight store serves at full speed.
    pub loads_at_full_speed: u32,
    /// How long the claim for a once-only call is kept.
    pub claim_retention: Duration,
    /// The allowed difference between the clocks of callers and nodes.
    pub clock_skew: Duration,
}

/// A validated text.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The deployment's name, such as `jm-west`.
    pub name: String,
    /// The failure domains that the text lists.
    pub failure_domains: Vec<FailureDomain>,
    /// The weights that routing uses.
    pub weights: Weights,
    /// Limits of the whole deployment.
    pub limits: Limits,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Finds services by adapter. Use `AdapterIndex::default()` when building a deployment in code.
    pub adapter_index: AdapterIndex,
}

/// The result of looking up an adapter and a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdapterLookup<'a> {
    /// This service has the adapter and the version.
    Found(&'a Service),
    /// A service has the adapter, but not this version.
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
    /// Finds the service that serves `adapter`, with a hash lookup over all services.
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
        let location = self.adapter_index.location(&adapter.name, &self.services);
        let service = location.and_then(|location| self.services.get(&location.service));
        let (Some(location), Some(service)) = (location, service) else {
            return AdapterLookup::UnknownAdapter;
        };
        let ServiceKind::Engine { adapters, .. } = &service.kind else {
            return AdapterLookup::UnknownAdapter;
        };
        match adapters.entries.get(location.entry) {
            Some((_, versions)) if versions.contains(&adapter.version) => {
                AdapterLookup::Found(service)
            }
            _ => AdapterLookup::UnknownVersion,
        }
    }
}
