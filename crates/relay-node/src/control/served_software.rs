//! The lists, in the store, of the software versions at which streams may have begun.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{ServiceName, StoreEra};
use nutmegsail_relay::{
    RouteTable, ServedVersions, ServedVersionsWatch, SoftwareVersion, StreamOrigin, StreamService,
};
use nutmegsail_store::{Item, KeyValueError, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::ControlState;
use super::owners::to_json;
use crate::clock::boot_time;
use crate::stream_origins::StreamSoftware;

/// The prefix of the keys of the lists.
pub(crate) const SERVED_PREFIX: &str = "nutmegsail/software/";

/// The key of the list of `service`.
fn served_key(service: &ServiceName) -> String {
    format!("{SERVED_PREFIX}{service}")
}

/// How long a node leaves a change to those that read the store for others.
const OTHERS_WRITE_TIME: Duration = Duration::from_secs(3);

/// The lists as last read, and the decisions on how they change.
#[derive(Debug, Default)]
pub(crate) struct ServedSoftware {
    lists: RefCell<HashMap<ServiceName, (ServedVersions, Revision)>>,
    /// When a resumable route that led elsewhere began to lead to each service.
    moved: RefCell<HashMap<ServiceName, Duration>>,
    watch: RefCell<ServedVersionsWatch>,
    /// Since when a list has had to change.
    due_since: Cell<Option<Duration>>,
}

impl ServedSoftware {
    /// The keys of all known lists.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.lists.borrow().keys().map(served_key).collect()
    }

    /// Called when the store does not answer, so that the list of upstreams may be outdated.
    pub(crate) fn record_unavailable(&self) {
        self.watch.borrow_mut().forget();
    }
}

impl ControlState {
    /// Applies a list that the store keeps.
    pub(crate) fn apply_served(&self, service: &str, item: &Item) {
        match serde_json::from_slice::<ServedVersions>(&item.value) {
            Ok(served) => self.record_served(service.into(), served, item.revision),
            Err(error) => log_event!(
                self.log, Event::MessageUndecodable,
                "key" => item.key.to_string(), "problem" => error.to_string()
            ),
        }
    }

    fn record_served(&self, service: ServiceName, served: ServedVersions, revision: Revision) {
        let mut lists = self.served.lists.borrow_mut();
        let known = lists.get(&service).map(|(_, revision)| *revision);
        if known.is_none_or(|known| known < revision) {
            lists.insert(service, (served, revision));
        }
    }

    /// Applies the removal of a list.
    pub(crate) fn remove_served(&self, service: &str) {
        self.served.lists.borrow_mut().remove(service);
    }

    /// Where streams of each service with a resumable route may begin.
    pub(super) fn stream_software(
        &self,
        table: &RouteTable,
    ) -> HashMap<ServiceName, StreamSoftware> {
        let era = self.eras.view().era;
        let lists = self.served.lists.borrow();
        let software = table.stream_services().iter().map(|(service, known)| {
            let served = lists.get(service).map(|(served, _)| served);
            let versions = served.into_iter().flat_map(|served| &served.versions);
            let software = StreamSoftware {
                versions: versions.cloned().collect(),
                sole: served.and_then(|served| self.sole_version(service, *known, served, era)),
                lifetime: known.lifetime,
            };
            (service.clone(), software)
        });
        software.collect()
    }

    /// Records to which services resumable routes have begun to lead.
    pub(super) fn record_moved_routes(&self, before: &RouteTable, now: &RouteTable) {
        let moved = now.moved_services(before).into_iter();
        let moved = moved.map(|service| (service, boot_time()));
        self.served.moved.borrow_mut().extend(moved);
    }

    /// Whether a stream that is resumed at `service` can only have begun there.
    fn is_only_service(&self, service: &ServiceName, known: StreamService) -> bool {
        let moved = self.served.moved.borrow();
        let moved_at = moved.get(service);
        let has_settled = moved_at.is_none_or(|at| boot_time() >= *at + known.lifetime);
        has_settled && !known.is_split
    }

    /// The only version at which a stream that is resumed at `service` can have begun, by a list that
    /// was read in `era`.
    fn sole_version(
        &self,
        service: &ServiceName,
        known: StreamService,
        served: &ServedVersions,
        era: StoreEra,
    ) -> Option<SoftwareVersion> {
        let sole = served.sole(era).cloned();
        sole.filter(|_| self.is_only_service(service, known))
    }

    /// Where every stream that is resumed at `service` began, if the list in the store names one version.
    pub(super) async fn read_sole_origin(
        &self,
        service: &ServiceName,
    ) -> Result<Option<StreamOrigin>, KeyValueError> {
        let Some(item) = self.store.get(&served_key(service)).await? else {
            return Ok(None);
        };
        self.apply_served(service, &item);
        let table = self.table.borrow();
        let services = table.as_ref().map(|table| table.stream_services());
        let known = services.and_then(|services| services.get(service)).copied();
        let served = serde_json::from_slice::<ServedVersions>(&item.value).ok();
        let (Some(known), Some(served)) = (known, served) else {
            return Ok(None);
        };
        let sole = self.sole_version(service, known, &served, item.revision.era());
        Ok(sole.map(|software| StreamOrigin {
            service: service.clone(),
            software,
        }))
    }

    /// The lists that have to change, as far as this node knows.
    fn due_lists(&self) -> Vec<(ServiceName, ServedVersions, Revision)> {
        let Some(table) = self.table.borrow().clone() else {
            return Vec::new();
        };
        let (era, now) = (self.eras.view(), boot_time());
        let lists = self.served.lists.borrow();
        let mut watch = self.served.watch.borrow_mut();
        let due = table
            .stream_services()
            .iter()
            .filter_map(|(service, known)| {
                let listed = self.listed_software(service);
                let stored = lists.get(service);
                let revision = stored.map_or(Revision::NONE, |(_, revision)| *revision);
                let stored = stored.map(|(served, _)| served);
                let update = watch.update(service, &listed, stored, era, known.lifetime, now)?;
                Some((service.clone(), update, revision))
            });
        due.collect()
    }

    fn listed_software(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let upstreams = self.upstreams.borrow();
        let listed = upstreams
            .values()
            .filter(|upstream| upstream.service == *service);
        listed.map(|upstream| upstream.software.clone()).collect()
    }
}

/// Writes the lists that have to change, if this node reads the store for others, or if they have had
/// to for a while: the nodes that do may be of an older build.
pub(crate) async fn write_served(control: &ControlState) {
    let due = control.due_lists();
    let now = boot_time();
    let since = match due.is_empty() {
        true => None,
        false => Some(control.served.due_since.get().unwrap_or(now)),
    };
    control.served.due_since.set(since);
    let is_overdue = since.is_some_and(|since| now >= since + OTHERS_WRITE_TIME);
    if control.reader().is_some() && !is_overdue {
        return;
    }
    for (service, served, revision) in due {
        let key: Arc<str> = served_key(&service).into();
        let txn = Txn::compare_and_swap(Arc::clone(&key), revision, to_json(&served));
        match control.store.commit(txn).await {
            Ok(revision) => {
                log_event!(
                    control.log, Event::ServedVersionsWritten,
                    "service" => service.to_string(),
                    "versions" => format!("{:?}", served.versions),
                    "complete_in" => served.complete_in.map(|era| era.0)
                );
                control.record_served(service, served, revision);
                control.publish();
            }
            Err(KeyValueError::Conflict { .. }) => read_served(control, &service).await,
            // Another node writes it, or this one at the next turn.
            Err(_) => return,
        }
    }
}

/// Reads the list of `service` that another node has written.
async fn read_served(control: &ControlState, service: &ServiceName) {
    if let Ok(Some(item)) = control.store.get(&served_key(service)).await {
        control.apply_served(service, &item);
        control.publish();
    }
}
