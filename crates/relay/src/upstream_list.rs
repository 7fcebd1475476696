//! Filters outdated entries out of the list of upstreams.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use thiserror::Error;

use crate::{Upstream, UpstreamState};

/// How long a name is remembered after it was last seen. Delayed writes arrive within seconds.
const NAME_TTL: Duration = Duration::from_secs(60);

/// How long the list may still show a process after the next one under its name has started to
/// answer: the entry of a process that ended expires after three heartbeats, 3.6 s.
pub(crate) const MAX_ENTRY_LAG: Duration = Duration::from_secs(4);

/// An entry of the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// The upstream that it describes.
    pub upstream: Upstream,
    /// Number of heartbeats since the upstream started.
    pub heartbeat: u64,
}

/// Why an entry is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EntryFault {
    /// A process that started later under the same name is known.
    #[error("a process that started later under this name is known")]
    OlderStart,
    /// A later heartbeat of the same process is known.
    #[error("a later heartbeat of this process is known")]
    OlderHeartbeat,
    /// It has no start time, although other entries have one.
    #[error("the entry has no start time")]
    NoStart,
}

/// The newest entry seen under each name.
///
/// Writes to the store can be delayed by seconds and arrive after newer ones. Accepting such an
/// entry would bring back a process that has ended, with everything it held, or send new work to
/// one that is leaving.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{EntryFault, Upstream, UpstreamEntry, UpstreamList, UpstreamState};
/// let entry = |started_ms, heartbeat| UpstreamEntry {
///     upstream: Upstream {
///         id: Upstream::id_of("engine-1", Some(started_ms)),
///         name: "engine-1".into(),
///         started_ms: Some(started_ms),
///         service: "llama".into(),
///         address: "10.0.0.1:80".parse().unwrap(),
///         failure_domain: "east".into(),
///         software: "v1".into(),
///         slots: 8,
///         state: UpstreamState::Ready,
///         holdings: Default::default(),
///         local_weights: Default::default(),
///     },
///     heartbeat,
/// };
/// let (mut listing, now) = (UpstreamList::default(), Instant::now());
/// assert!(listing.admit(entry(1_000, 7), now).is_ok());
/// assert!(listing.admit(entry(2_000, 1), now).is_ok());
/// assert_eq!(listing.admit(entry(1_000, 8), now), Err(EntryFault::OlderStart));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    newest: HashMap<Arc<str>, NewestEntry>,
    /// Whether entries have start times.
    has_start_times: bool,
}

#[derive(Clone, Copy, Debug)]
struct NewestEntry {
    started_ms: Option<u64>,
    heartbeat: u64,
    is_leaving: bool,
    last_seen: Instant,
}

impl UpstreamList {
    /// Accepts an entry and returns the upstream, if the entry is the newest of its name.
    ///
    /// # Errors
    ///
    /// [`EntryFault`] if the entry is outdated or has no start time.
    pub fn admit(&mut self, entry: UpstreamEntry, now: Instant) -> Result<Upstream, EntryFault> {
        let UpstreamEntry {
            mut upstream,
            heartbeat,
        } = entry;
        self.has_start_times |= upstream.started_ms.is_some();
        if self.has_start_times && upstream.started_ms.is_none() {
            return Err(EntryFault::NoStart);
        }
        let known = self.newest.get(&upstream.name);
        let mut is_leaving = !upstream.takes_work();
        if let Some(known) = known {
            known.check(&upstream, heartbeat)?;
            // A leaving process never takes work again.
            is_leaving |= known.is_leaving && known.started_ms == upstream.started_ms;
        }
        if is_leaving && upstream.takes_work() {
            upstream.state = UpstreamState::Draining { remaining: None };
        }
        let newest = NewestEntry {
            started_ms: upstream.started_ms,
            heartbeat,
            is_leaving,
            last_seen: now,
        };
        self.newest.insert(Arc::clone(&upstream.name), newest);
        Ok(upstream)
    }

    /// The process of the newest entry under `name`.
    pub fn process_of(&self, name: &str) -> Option<UpstreamId> {
        let newest = self.newest.get(name)?;
        Some(Upstream::id_of(name, newest.started_ms))
    }

    /// Drops names that are not listed and have not been seen for a minute.
    pub fn forget_old(&mut self, is_listed: impl Fn(&str) -> bool, now: Instant) {
        self.newest.retain(|name, newest| {
            is_listed(name) || now.duration_since(newest.last_seen) < NAME_TTL
        });
    }
}

impl NewestEntry {
    /// Rejects an entry of the same name that is older.
    ///
    /// Where entries have no start times, each process has a name of its own, and heartbeats are
    /// not compared.
    fn check(&self, upstream: &Upstream, heartbeat: u64) -> Result<(), EntryFault> {
        if upstream.started_ms < self.started_ms {
            return Err(EntryFault::OlderStart);
        }
        let is_same = upstream.started_ms.is_some() && upstream.started_ms == self.started_ms;
        if is_same && heartbeat < self.heartbeat {
            return Err(EntryFault::OlderHeartbeat);
        }
        Ok(())
    }
}
