//! Everything outside the node's process, as interfaces.

use std::sync::Arc;

use nutmegsail_base::{Clock, SystemClock};
use nutmegsail_store::{HttpKeyValue, HttpVmList, KeyValue, PlatformSettings, VmList};
use nutmegsail_upstream::{Engine, HttpEngine, HttpPlainService, PlainService, UpstreamSettings};

use crate::observed_engine::ObservedEngine;
use crate::{Measures, PlatformAddresses};
use nutmegsail_telemetry::CountedStore;

/// Everything outside the node's process, as interfaces.
#[derive(Clone, Debug)]
pub struct Outside {
    /// The key-value service.
    pub store: Arc<dyn KeyValue>,
    /// The VM list.
    pub vms: Arc<dyn VmList>,
    /// Model engines.
    pub engines: Arc<dyn Engine>,
    /// Plain services.
    pub plain: Arc<dyn PlainService>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Where measurements and spans go.
    pub measures: Measures,
}

impl Outside {
    /// The same, with store calls counted and a span for each answer of an engine.
    pub(crate) fn observed(mut self) -> Self {
        let Measures { metrics, spans } = self.measures.clone();
        let inner = self.store;
        self.store = Arc::new(CountedStore { inner, metrics });
        let inner = self.engines;
        self.engines = Arc::new(ObservedEngine { inner, spans });
        self
    }

    /// The real ones, over HTTP.
    pub fn over_http(addresses: &PlatformAddresses) -> Self {
        let key_value = PlatformSettings::at(addresses.key_value.to_string());
        let vm_list = PlatformSettings::at(addresses.vm_list.to_string());
        Self {
            store: Arc::new(HttpKeyValue::new(key_value)),
            vms: Arc::new(HttpVmList::new(vm_list)),
            engines: Arc::new(HttpEngine::new(UpstreamSettings::default())),
            plain: Arc::new(HttpPlainService::new(UpstreamSettings::default())),
            clock: Arc::new(SystemClock),
            measures: Measures::default(),
        }
    }
}
