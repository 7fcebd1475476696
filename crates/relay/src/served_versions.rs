//! The software versions at which a service's streams may have begun, as the store keeps them.
//!
//! A stream begins at a version only after the store has it in this list, and the list keeps a
//! version until no stream that began there can be resumed. A node that then reads the list from the
//! store and finds a single version knows where every stream of the service began.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use nutmegsail_base::{ServiceName, StoreEra};
use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// How much longer than its streams a version is kept. Entries of upstreams that are cut off from the
/// store expire while these upstreams serve.
const UNLISTED_SERVING_TIME: Duration = Duration::from_secs(15 * 60);

/// The value of a service's key in the store.
///
/// ```
/// use nutmegsail_base::StoreEra;
/// use nutmegsail_relay::ServedVersions;
/// let mut served = ServedVersions { complete_in: Some(StoreEra(1)), versions: ["v1".into()].into() };
/// assert_eq!(served.sole(StoreEra(1)), Some(&"v1".into()));
/// assert_eq!(served.sole(StoreEra(2)), None);
/// served.versions.insert("v2".into());
/// assert_eq!(served.sole(StoreEra(1)), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedVersions {
    /// The store era in which the list is complete. A restore of the store may have lost versions, and
    /// streams may have begun at a version that was just dropped.
    pub complete_in: Option<StoreEra>,
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
}

impl ServedVersions {
    /// The version at which every stream of the service began, if there is only one. `era` is the era
    /// of the store read that returned this list.
    pub fn sole(&self, era: StoreEra) -> Option<&SoftwareVersion> {
        let mut versions = self.versions.iter();
        let first = versions.next();
        first.filter(|_| versions.next().is_none() && self.complete_in == Some(era))
    }
}

/// What a node knows of the store while it decides on a change of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraView {
    /// The store's era.
    pub era: StoreEra,
    /// How long the node has known this era.
    pub known_for: Duration,
    /// Whether the store may have been restored since its first start.
    pub was_restored: bool,
}

/// Decides how the lists in the store change.
#[derive(Debug, Default)]
pub struct ServedVersionsWatch {
    /// When each version in a list was first missing from the list of upstreams.
    unlisted_since: HashMap<(ServiceName, SoftwareVersion), Duration>,
    /// The list of each service as it was last seen in the store, and when it was first seen so.
    stored_since: HashMap<ServiceName, (ServedVersions, Duration)>,
}

impl ServedVersionsWatch {
    /// Returns the list that should replace `stored`, if any. `listed` are the versions of the
    /// service's listed upstreams, as of a recent read of the store, and `stream_lifetime` is how long
    /// after its begin a stream can be resumed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_base::StoreEra;
    /// use nutmegsail_relay::{EraView, ServedVersionsWatch};
    /// let (now, lifetime) = (Duration::from_secs(100), Duration::from_secs(60));
    /// let era = EraView { era: StoreEra(1), known_for: now, was_restored: false };
    /// let mut watch = ServedVersionsWatch::default();
    /// let listed = ["v1".into()].into();
    /// let first = watch.update(&"scribe".into(), &listed, None, era, lifetime, now).unwrap();
    /// assert_eq!(first.sole(StoreEra(1)), Some(&"v1".into()));
    /// assert_eq!(watch.update(&"scribe".into(), &listed, Some(&first), era, lifetime, now), None);
    /// ```
    pub fn update(
        &mut self,
        service: &ServiceName,
        listed: &BTreeSet<SoftwareVersion>,
        stored: Option<&ServedVersions>,
        era: EraView,
        stream_lifetime: Duration,
        now: Duration,
    ) -> Option<ServedVersions> {
        let keep_time = stream_lifetime + UNLISTED_SERVING_TIME;
        let unchanged_for = self.record_stored(service, stored, now);
        let kept = stored.map(|stored| &stored.versions);
        let kept = kept.into_iter().flatten().filter(|version| {
            let key = (service.clone(), (*version).clone());
            if listed.contains(*version) {
                self.unlisted_since.remove(&key);
                return true;
            }
            let since = *self.unlisted_since.entry(key).or_insert(now);
            now.saturating_sub(since) < keep_time
        });
        let versions: BTreeSet<SoftwareVersion> = kept.chain(listed).cloned().collect();
        let has_dropped = stored.is_some_and(|stored| !stored.versions.is_subset(&versions));
        // Streams that began at a version which a restore lost have ended after `keep_time`. So have
        // those of nodes that saw a dropped version listed again before they saw that it was dropped.
        let is_complete = match stored {
            Some(_) if has_dropped => false,
            Some(stored) if stored.complete_in == Some(era.era) => true,
            Some(_) => era.known_for.min(unchanged_for) >= keep_time,
            None => era.known_for >= keep_time || !era.was_restored,
        };
        let complete_in = match is_complete {
            true => Some(era.era),
            false if has_dropped => None,
            false => stored.and_then(|stored| stored.complete_in),
        };
        let update = ServedVersions {
            complete_in,
            versions,
        };
        let is_empty = update.versions.is_empty() && stored.is_none();
        (!is_empty && stored != Some(&update)).then_some(update)
    }

    /// Returns how long the list in the store has been as it is. Each change makes all its versions
    /// count as just missing, as another node may have seen them listed.
    fn record_stored(
        &mut self,
        service: &ServiceName,
        stored: Option<&ServedVersions>,
        now: Duration,
    ) -> Duration {
        let known = self.stored_since.get(service);
        if let Some((_, since)) = known.filter(|(known, _)| Some(known) == stored) {
            return now.saturating_sub(*since);
        }
        self.unlisted_since.retain(|(of, _), _| of != service);
        match stored {
            Some(stored) => {
                let entry = (stored.clone(), now);
                self.stored_since.insert(service.clone(), entry)
            }
            None => self.stored_since.remove(service),
        };
        Duration::ZERO
    }

    /// Forgets how long versions have been missing and lists unchanged, as neither the list of
    /// upstreams nor the store is known.
    pub fn forget(&mut self) {
        self.unlisted_since.clear();
        self.stored_since.clear();
    }
}
