//! A client of the key-value service that counts its calls.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use nutmegsail_base::StoreEra;
use nutmegsail_store::{
    Changes, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId, Page, Revision, Txn,
};

use crate::{Metrics, StoreCall};

/// Takes in calls to the key-value service.
pub trait CountStoreCalls: std::fmt::Debug + Send + Sync {
    /// The service was called; `failure` says why in vain, if it was.
    fn store_called(&self, call: StoreCall, failure: Option<&KeyValueError>);
}

impl CountStoreCalls for Metrics {
    fn store_called(&self, call: StoreCall, failure: Option<&KeyValueError>) {
        Self::store_called(self, call, failure.map(KeyValueError::code));
    }
}

/// A client of the key-value service that counts its calls by kind and result.
#[derive(Debug)]
pub struct CountedStore<M> {
    /// The client.
    pub inner: Arc<dyn KeyValue>,
    /// Where calls are counted.
    pub metrics: M,
}

impl<M: CountStoreCalls> CountedStore<M> {
    fn count<T>(
        &self,
        call: StoreCall,
        result: Result<T, KeyValueError>,
    ) -> Result<T, KeyValueError> {
        self.metrics.store_called(call, result.as_ref().err());
        result
    }
}

#[async_trait]
impl<M: CountStoreCalls> KeyValue for CountedStore<M> {
    fn era(&self) -> Option<StoreEra> {
        self.inner.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, KeyValueError> {
        self.count(StoreCall::Read, self.inner.get(key).await)
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, KeyValueError> {
        self.count(StoreCall::Read, self.inner.range(prefix, after).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, KeyValueError> {
        let changes = self.inner.watch(prefix, after, wait).await;
        self.count(StoreCall::Watch, changes)
    }

    async fn commit(&self, txn: Txn) -> Result<Revision, KeyValueError> {
        self.count(StoreCall::Write, self.inner.commit(txn).await)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, KeyValueError> {
        self.count(StoreCall::Lease, self.inner.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.count(StoreCall::Lease, self.inner.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.count(StoreCall::Lease, self.inner.revoke_lease(lease).await)
    }
}
