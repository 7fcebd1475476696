//! The operators' configuration and model versions as the store shows them, compared with what this
//! node knows.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;

use nutmegsail_relay::{ModelRef, TextVersion, Versions};

use super::control_state::ControlState;

/// The operators' configuration and model versions as the store shows them. After the store was
/// restored from an older copy they may be older than what this node knows.
#[derive(Debug, Default)]
pub(crate) struct StoredConfig {
    configuration: Cell<u64>,
    /// Models for which the store shows an older version than this node knows, or none.
    behind: RefCell<HashSet<ModelRef>>,
}

impl StoredConfig {
    /// Called before all keys are read again.
    pub(crate) fn begin_snapshot(&self, known: &Versions) {
        self.configuration.set(0);
        let known = known.latest().map(|(model, _)| model.clone());
        *self.behind.borrow_mut() = known.collect();
    }

    /// Records the version of the configuration that the store shows.
    pub(crate) fn record_configuration(&self, version: u64) {
        self.configuration.set(version);
    }

    /// Records the version of `model` that the store shows; this node knows version `known`.
    pub(crate) fn record_version(&self, model: &ModelRef, version: u64, known: u64) {
        let mut behind = self.behind.borrow_mut();
        match version < known {
            true => behind.insert(model.clone()),
            false => behind.remove(model),
        };
    }

    /// Whether the store shows an older configuration than `known_version`, or an older version of
    /// any model.
    pub(crate) fn is_behind(&self, known_version: u64) -> bool {
        self.configuration.get() < known_version || !self.behind.borrow().is_empty()
    }
}

impl ControlState {
    /// The configuration and model versions that this node knows, as a summary to compare with
    /// other nodes.
    pub(crate) fn config_known(&self) -> TextVersion {
        let versions = self.versions.borrow();
        TextVersion {
            configuration: self.configuration_version(),
            versions: versions
                .latest()
                .map(|(_, version)| u128::from(version))
                .sum(),
        }
    }

    /// The version of the configuration that this node knows; 0 if none.
    pub(crate) fn configuration_version(&self) -> u64 {
        let table = self.table.borrow();
        table.as_ref().map_or(0, |table| table.version)
    }
}
