//! Watches the keys that operators write: the configuration and the model versions.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use nutmegsail_store::{Change, Item};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use super::watch::Watcher;

/// Applies changes of the configuration and of model versions.
pub(crate) struct OperatorsWatcher(pub(crate) Rc<ControlState>);

impl OperatorsWatcher {
    fn apply(&self, item: &Item) {
        let dialect = &self.0.dialect;
        if *item.key == *dialect.configuration_key() {
            self.apply_configuration(item);
            return;
        }
        match dialect.decode_version(&item.key, &item.value) {
            Ok(Some(named)) => {
                let mut versions = self.0.versions.borrow_mut();
                let known = versions.name(named.model.clone(), named.version, Instant::now());
                let stored_config = &self.0.stored_config;
                stored_config.record_version(&named.model, named.version, known);
            }
            Ok(None) => {}
            Err(error) => self.log_rejected(&item.key, &error.to_string()),
        }
    }

    fn apply_configuration(&self, item: &Item) {
        let table = match self.0.dialect.decode_configuration(&item.value) {
            Ok(table) => table,
            Err(error) => return self.log_rejected(&item.key, &error.to_string()),
        };
        self.0.stored_config.record_configuration(table.version);
        let mut known = self.0.table.borrow_mut();
        // A lagging read, or a store that was restored from an older copy, may show an older
        // version. A configuration that was accepted must not be reverted, so the older one is
        // ignored.
        if known
            .as_ref()
            .is_some_and(|known| table.version < known.version)
        {
            log_event!(self.0.log, Event::OlderTextIgnored, "version" => table.version);
            return;
        }
        if known
            .as_ref()
            .is_none_or(|known| table.version > known.version)
        {
            log_event!(self.0.log, Event::TextInForce, "version" => table.version);
        }
        if let Some(before) = &*known {
            self.0.record_moved_routes(before, &table);
        }
        *known = Some(Arc::new(table));
    }

    fn log_rejected(&self, key: &str, problem: &str) {
        log_event!(
            self.0.log, Event::TextRejected,
            "key" => key.to_owned(), "problem" => problem.to_owned()
        );
    }
}

impl Watcher for OperatorsWatcher {
    fn prefix(&self) -> &str {
        self.0.dialect.operators_prefix()
    }

    fn on_snapshot(&self, items: &[&Item]) {
        self.0
            .stored_config
            .begin_snapshot(&self.0.versions.borrow());
        for item in items {
            self.apply(item);
        }
    }

    fn on_changes(&self, changes: &[&Change]) {
        for change in changes {
            if let Change::Put(item) = change {
                self.apply(item);
            }
        }
    }
}
