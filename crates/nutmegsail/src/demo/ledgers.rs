//! What the upstreams really ran, by their own ledgers.

use std::collections::BTreeMap;

use nutmegsail_base::AdapterRef;
use serde::Deserialize;

use crate::{CommandError, NodeClient};

/// How often something ran, and on which adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct UpstreamRuns {
    /// Times that work began.
    pub runs: u32,
    /// The adapter of each run; empty for a plain service.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// What one upstream ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct UpstreamLedger {
    /// By request id.
    #[serde(default)]
    pub requests: BTreeMap<String, UpstreamRuns>,
    /// By idempotency key.
    #[serde(default)]
    pub keys: BTreeMap<String, UpstreamRuns>,
}

/// What every upstream ran, by its address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Ledgers(pub BTreeMap<String, UpstreamLedger>);

impl Ledgers {
    /// Reads them from the control address of the stand-ins.
    pub(crate) async fn read(stand_ins: &str) -> Result<Self, CommandError> {
        let body = NodeClient::default().get(stand_ins, "/v1/ledger").await?;
        serde_json::from_slice(&body).map_err(|error| CommandError::NodeUnreachable {
            address: stand_ins.to_owned(),
            why: format!("its ledgers cannot be read: {error}"),
        })
    }

    /// How often the request ran, over all upstreams.
    pub fn runs_of(&self, request: &str) -> u32 {
        let ledgers = self.0.values();
        let runs = ledgers.filter_map(|ledger| ledger.requests.get(request));
        runs.map(|run| run.runs).sum()
    }

    /// How often a call with the idempotency key ran, over all upstreams.
    pub fn runs_of_key(&self, key: &str) -> u32 {
        let ledgers = self.0.values();
        let runs = ledgers.filter_map(|ledger| ledger.keys.get(key));
        runs.map(|run| run.runs).sum()
    }

    /// Runs of a request of the caller's own id on another adapter than `adapter`.
    pub fn runs_elsewhere(&self, own_id: &str, adapter: &AdapterRef) -> Vec<String> {
        let (prefix, adapter) = (format!("{own_id}."), adapter.to_string());
        let ledgers = self.0.values();
        let requests = ledgers.flat_map(|ledger| &ledger.requests);
        let own = requests.filter(|(request, _)| request.starts_with(&prefix));
        let adapters = own.flat_map(|(_, run)| &run.adapters);
        adapters.filter(|ran| **ran != adapter).cloned().collect()
    }
}
