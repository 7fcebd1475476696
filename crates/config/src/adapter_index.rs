//! Finds the service of an adapter by hash.

use std::collections::{BTreeMap, HashMap};
use std::sync::OnceLock;

use nutmegsail_base::{AdapterName, ServiceName};

use crate::{Service, ServiceKind};

/// Which service serves an adapter. It is built at the first lookup; a [`crate::Deployment`] is not
/// changed after that.
#[derive(Debug, Default)]
pub struct AdapterIndex {
    places: OnceLock<HashMap<AdapterName, AdapterPlace>>,
}

#[derive(Clone, Debug)]
pub(crate) struct AdapterPlace {
    pub(crate) service: ServiceName,
    pub(crate) entry: usize,
}

impl AdapterIndex {
    pub(crate) fn place(
        &self,
        name: &AdapterName,
        services: &BTreeMap<ServiceName, Service>,
    ) -> Option<&AdapterPlace> {
        self.places.get_or_init(|| build(services)).get(name)
    }
}

/// A copy builds its own index, since its services may be changed before the first lookup.
impl Clone for AdapterIndex {
    fn clone(&self) -> Self {
        Self::default()
    }
}

/// An index says nothing that the services don't.
impl PartialEq for AdapterIndex {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

fn build(services: &BTreeMap<ServiceName, Service>) -> HashMap<AdapterName, AdapterPlace> {
    let mut places = HashMap::new();
    for service in services.values() {
        let ServiceKind::Engine { adapters, .. } = &service.kind else {
            continue;
        };
        for (entry, (name, _)) in adapters.entries.iter().enumerate() {
            let service = service.name.clone();
            places.insert(name.clone(), AdapterPlace { service, entry });
        }
    }
    places
}
