//! A hash index from adapters to the services that serve them.

use std::collections::{BTreeMap, HashMap};
use std::sync::OnceLock;

use nutmegsail_base::{AdapterName, ServiceName};

use crate::{Service, ServiceKind};

/// Maps each adapter to its service. It is built at the first lookup, after which the
/// [`crate::Deployment`] must not be changed.
#[derive(Debug, Default)]
pub struct AdapterIndex {
    locations: OnceLock<HashMap<AdapterName, AdapterLocation>>,
}

/// An adapter's service, and its index in that service's [`crate::AdapterSet`].
#[derive(Clone, Debug)]
pub(crate) struct AdapterLocation {
    pub(crate) service: ServiceName,
    pub(crate) entry: usize,
}

impl AdapterIndex {
    pub(crate) fn location(
        &self,
        name: &AdapterName,
        services: &BTreeMap<ServiceName, Service>,
    ) -> Option<&AdapterLocation> {
        self.locations.get_or_init(|| build(services)).get(name)
    }
}

/// A clone starts without an index, since its services may be changed before its first lookup.
impl Clone for AdapterIndex {
    fn clone(&self) -> Self {
        Self::default()
    }
}

/// An index is derived from the services, so it does not count when deployments are compared.
impl PartialEq for AdapterIndex {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

fn build(services: &BTreeMap<ServiceName, Service>) -> HashMap<AdapterName, AdapterLocation> {
    let mut locations = HashMap::new();
    for service in services.values() {
        let ServiceKind::Engine { adapters, .. } = &service.kind else {
            continue;
        };
        for (entry, (name, _)) in adapters.entries.iter().enumerate() {
            let service = service.name.clone();
            locations.insert(name.clone(), AdapterLocation { service, entry });
        }
    }
    locations
}
