//! What an upstream really ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How often something ran, and on what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Times that work began.
    pub runs: u32,
    /// The adapter of each run, as `name@version`; empty for a plain service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// A record for tests of what an upstream really ran. It outlives restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// By request id.
    pub requests: BTreeMap<String, RunCount>,
    /// By `idempotency-key`, for plain services.
    #[serde(default)]
    pub keys: BTreeMap<String, RunCount>,
}

impl Ledger {
    pub(crate) fn record_engine_run(&mut self, request: &str, adapter: String) {
        let count = self.requests.entry(request.to_owned()).or_default();
        count.runs += 1;
        count.adapters.push(adapter);
    }

    pub(crate) fn record_plain_run(&mut self, request: &str, key: Option<&str>) {
        self.requests.entry(request.to_owned()).or_default().runs += 1;
        if let Some(key) = key {
            self.keys.entry(key.to_owned()).or_default().runs += 1;
        }
    }

    /// How often the request ran.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.requests.get(request).map_or(0, |count| count.runs)
    }

    /// How often a call with the idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u32 {
        self.keys.get(key).map_or(0, |count| count.runs)
    }
}
