//! Where a stream began, by what its keepers and the store answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nutmegsail_base::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{KnownOrigin, StreamOrigin};

/// What a node or the store knows of one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginRecord {
    /// Nothing.
    #[default]
    Unknown,
    /// Two streams of different origins have the same key, so that neither may go on.
    Ambiguous,
    /// Its origin.
    At(StreamOrigin),
}

impl From<KnownOrigin<'_>> for OriginRecord {
    fn from(known: KnownOrigin<'_>) -> Self {
        match known {
            KnownOrigin::Unknown => Self::Unknown,
            KnownOrigin::Ambiguous => Self::Ambiguous,
            KnownOrigin::At(origin) => Self::At(origin.clone()),
        }
    }
}

impl OriginRecord {
    /// What is known from both of two sources.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (one, other) if one == other => one,
            _ => Self::Ambiguous,
        }
    }
}

/// What the store showed after the search began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It did not answer.
    Unavailable,
    /// It was read. If its list names one version for the service, that is the stream's.
    Read(OriginRecord),
}

/// What is known of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// Answers are missing that may decide it.
    Pending,
    /// The stream began here, and may go on here alone.
    At(StreamOrigin),
    /// The stream began at a service that the route does not lead to now.
    OtherService,
    /// It is not known.
    Unknown {
        /// Whether the store or a keeper that did not answer may know.
        may_be_known: bool,
    },
}

/// Collects what is said of one stream until its origin is known.
///
/// ```
/// use nutmegsail_relay::{OriginRecord, OriginSearch, OriginVerdict, StoreAnswer, StreamOrigin};
/// let keeper = ([10, 0, 0, 1], 80).into();
/// let mut search = OriginSearch::new(["scribe".into()], [keeper]);
/// assert_eq!(search.verdict(false), OriginVerdict::Pending);
/// search.record_keeper(keeper, OriginRecord::Unknown);
/// let origin = StreamOrigin { service: "scribe".into(), software: "v1".into() };
/// search.record_store(StoreAnswer::Read(OriginRecord::At(origin.clone())));
/// assert_eq!(search.verdict(false), OriginVerdict::At(origin));
/// ```
#[derive(Clone, Debug)]
pub struct OriginSearch {
    /// The services that the route leads to.
    services: BTreeSet<ServiceName>,
    /// The keepers that have not answered, by address.
    unanswered: BTreeSet<SocketAddr>,
    record: OriginRecord,
    store: Option<StoreAnswer>,
}

impl OriginSearch {
    /// Begins a search for a stream whose route leads to `services`, and of which `keepers` are asked.
    pub fn new(
        services: impl IntoIterator<Item = ServiceName>,
        keepers: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        Self {
            services: services.into_iter().collect(),
            unanswered: keepers.into_iter().collect(),
            record: OriginRecord::Unknown,
            store: None,
        }
    }

    /// Adds what this node itself knows.
    pub fn record_own(&mut self, record: OriginRecord) {
        self.record = std::mem::take(&mut self.record).merge(record);
    }

    /// Adds the answer of the keeper at `from`.
    pub fn record_keeper(&mut self, from: SocketAddr, record: OriginRecord) {
        self.unanswered.remove(&from);
        self.record_own(record);
    }

    /// Adds what the store showed.
    pub fn record_store(&mut self, answer: StoreAnswer) {
        self.store = Some(answer);
    }

    /// Whether every keeper has answered, or no more answers are awaited.
    pub fn has_heard_keepers(&self, is_keeper_timeout: bool) -> bool {
        self.unanswered.is_empty() || is_keeper_timeout
    }

    /// What is known by now. Keepers that have not answered count for nothing after
    /// `is_keeper_timeout`.
    pub fn verdict(&self, is_keeper_timeout: bool) -> OriginVerdict {
        let known = match &self.store {
            Some(StoreAnswer::Read(stored)) => self.record.clone().merge(stored.clone()),
            Some(StoreAnswer::Unavailable) | None => self.record.clone(),
        };
        match known {
            OriginRecord::At(origin) if self.services.contains(&origin.service) => {
                OriginVerdict::At(origin)
            }
            OriginRecord::At(_) => OriginVerdict::OtherService,
            OriginRecord::Ambiguous => OriginVerdict::Unknown {
                may_be_known: false,
            },
            OriginRecord::Unknown => self.unknown(is_keeper_timeout),
        }
    }

    fn unknown(&self, is_keeper_timeout: bool) -> OriginVerdict {
        let Some(store) = &self.store else {
            return OriginVerdict::Pending;
        };
        match self.has_heard_keepers(is_keeper_timeout) {
            false => OriginVerdict::Pending,
            true => OriginVerdict::Unknown {
                may_be_known: *store == StoreAnswer::Unavailable || !self.unanswered.is_empty(),
            },
        }
    }
}
