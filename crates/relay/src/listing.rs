//! Which entries of the list of upstreams count.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::{Upstream, UpstreamState};

/// How long a name is remembered that is not listed any more. A delayed write comes within seconds.
const NAME_LIFE: Duration = Duration::from_secs(60);

/// An entry as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// What it says.
    pub upstream: Upstream,
    /// The count of heartbeats since the upstream's start.
    pub heartbeat: u64,
}

/// Why an entry does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EntryFault {
    /// A later start of the same name is known.
    #[error("a later start of this name is known")]
    OlderStart,
    /// A later heartbeat of the same start is known.
    #[error("a later heartbeat of this start is known")]
    OlderHeartbeat,
    /// It does not say when its process started, though others do.
    #[error("it does not say when its process started")]
    NoStart,
}

/// The newest that was said under each name.
///
/// Writes to the store may be delayed by seconds and come after newer ones. Taken at its word, such
/// an entry would bring back a process that has ended, with all it held, or have one that leaves
/// take work again.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{EntryFault, Listing, Upstream, UpstreamEntry, UpstreamState};
/// let entry = |started_ms, heartbeat| UpstreamEntry {
///     upstream: Upstream {
///         id: Upstream::id_of("engine-1", Some(started_ms)),
///         name: "engine-1".into(),
///         started_ms: Some(started_ms),
///         service: "llama".into(),
///         address: "10.0.0.1:80".parse().unwrap(),
///         failure_domain: "east".into(),
///         slots: 8,
///         state: UpstreamState::Ready,
///         holdings: Default::default(),
///         at_hand: Default::default(),
///     },
///     heartbeat,
/// };
/// let (mut listing, now) = (Listing::default(), Instant::now());
/// assert!(listing.admit(entry(1_000, 7), now).is_ok());
/// assert!(listing.admit(entry(2_000, 1), now).is_ok());
/// assert_eq!(listing.admit(entry(1_000, 8), now), Err(EntryFault::OlderStart));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Listing {
    newest: HashMap<Arc<str>, Newest>,
    /// Whether entries say when their processes started.
    tells_starts: bool,
}

#[derive(Clone, Copy, Debug)]
struct Newest {
    started_ms: Option<u64>,
    heartbeat: u64,
    is_leaving: bool,
    seen: Instant,
}

impl Listing {
    /// Takes in an entry, and returns the upstream if it is the newest of its name.
    ///
    /// # Errors
    ///
    /// [`EntryFault`] if it does not count.
    pub fn admit(&mut self, entry: UpstreamEntry, now: Instant) -> Result<Upstream, EntryFault> {
        let UpstreamEntry {
            mut upstream,
            heartbeat,
        } = entry;
        self.tells_starts |= upstream.started_ms.is_some();
        if self.tells_starts && upstream.started_ms.is_none() {
            return Err(EntryFault::NoStart);
        }
        let known = self.newest.get(&upstream.name);
        let mut is_leaving = !upstream.takes_work();
        if let Some(known) = known {
            known.check(&upstream, heartbeat)?;
            // Whoever leaves ends; it never takes work again.
            is_leaving |= known.is_leaving && known.started_ms == upstream.started_ms;
        }
        if is_leaving && upstream.takes_work() {
            upstream.state = UpstreamState::Draining { remaining: None };
        }
        let newest = Newest {
            started_ms: upstream.started_ms,
            heartbeat,
            is_leaving,
            seen: now,
        };
        self.newest.insert(Arc::clone(&upstream.name), newest);
        Ok(upstream)
    }

    /// Forgets names that are not listed and were not seen for a minute.
    pub fn forget_old(&mut self, is_listed: impl Fn(&str) -> bool, now: Instant) {
        self.newest
            .retain(|name, newest| is_listed(name) || now.duration_since(newest.seen) < NAME_LIFE);
    }
}

impl Newest {
    /// Whether an entry of the same name is newer, or as new.
    ///
    /// Where starts are not told, each start has a name of its own, and heartbeats need no check.
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
