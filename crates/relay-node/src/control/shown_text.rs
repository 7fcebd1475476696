//! What the store shows of the operators' text, next to what this node knows.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;

use nutmegsail_relay::{ModelRef, TextKnown, Versions};

use super::knowledge::Knowledge;

/// The operators' text as the store shows it.
#[derive(Debug, Default)]
pub(crate) struct ShownText {
    configuration: Cell<u64>,
    /// Models of which the store shows an older version than this node knows, or none.
    behind: RefCell<HashSet<ModelRef>>,
}

impl ShownText {
    /// Takes in that all that the store shows comes next.
    pub(crate) fn begin_whole(&self, known: &Versions) {
        self.configuration.set(0);
        let known = known.latest().map(|(model, _)| model.clone());
        *self.behind.borrow_mut() = known.collect();
    }

    /// Takes in the version of the configuration that the store shows.
    pub(crate) fn note_configuration(&self, version: u64) {
        self.configuration.set(version);
    }

    /// Takes in a version that the store shows of `model`, of which `known` is known.
    pub(crate) fn note_version(&self, model: &ModelRef, version: u64, known: u64) {
        let mut behind = self.behind.borrow_mut();
        match version < known {
            true => behind.insert(model.clone()),
            false => behind.remove(model),
        };
    }

    /// Whether it is older than a configuration of `known_version`, or than the versions that are known.
    pub(crate) fn is_behind(&self, known_version: u64) -> bool {
        self.configuration.get() < known_version || !self.behind.borrow().is_empty()
    }
}

impl Knowledge {
    /// How much of the operators' text this node knows.
    pub(crate) fn text_known(&self) -> TextKnown {
        let versions = self.versions.borrow();
        TextKnown {
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
