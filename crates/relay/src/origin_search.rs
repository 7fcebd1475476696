//! Where a stream began, by what its keepers and the store answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nutmegsail_base::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{KnownOrigin, SoftwareVersion, StreamOrigin};

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

/// A keeper's answer about a stream of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperAnswer {
    /// What it knows of the stream.
    pub record: OriginRecord,
    /// The only version at which streams of the service began, by its copy of the list in the store.
    pub sole: Option<SoftwareVersion>,
}

/// What the store showed after the search began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It did not answer.
    Unavailable,
    /// It was read.
    Read {
        /// The only version at which streams of the service began.
        sole: Option<SoftwareVersion>,
        /// The stream's record.
        record: OriginRecord,
    },
}

/// What is known of a stream's software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// Answers are missing that may decide it.
    Pending,
    /// The stream began at this version and may go on there.
    At(SoftwareVersion),
    /// The stream began at another service than the one that the route leads to now.
    OtherService,
    /// It is not known.
    Unknown {
        /// Whether the store or a keeper that did not answer may know.
        may_be_known: bool,
    },
}

/// Collects what is said of one stream until its software version is known.
///
/// ```
/// use nutmegsail_relay::{KeeperAnswer, OriginSearch, OriginVerdict, StoreAnswer};
/// let keeper = ([10, 0, 0, 1], 80).into();
/// let mut search = OriginSearch::new("scribe".into(), Some("v1".into()), [keeper]);
/// assert_eq!(search.verdict(false), OriginVerdict::Pending);
/// search.record_keeper(keeper, KeeperAnswer::default());
/// search.record_store(StoreAnswer::Read { sole: Some("v1".into()), record: Default::default() });
/// assert_eq!(search.verdict(false), OriginVerdict::At("v1".into()));
/// ```
#[derive(Clone, Debug)]
pub struct OriginSearch {
    service: ServiceName,
    /// The only version of the service by this node's copy of the list in the store.
    own_sole: Option<SoftwareVersion>,
    /// The keepers that have not answered, by address.
    unanswered: BTreeSet<SocketAddr>,
    /// Whether a keeper has answered, or none was asked.
    has_answer: bool,
    /// Whether every answer names the same only version as this node's copy.
    do_copies_agree: bool,
    record: OriginRecord,
    store: Option<StoreAnswer>,
}

impl OriginSearch {
    /// Begins a search for a stream that `service` is to go on with, of which `keepers` are asked.
    pub fn new(
        service: ServiceName,
        own_sole: Option<SoftwareVersion>,
        keepers: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let unanswered: BTreeSet<SocketAddr> = keepers.into_iter().collect();
        Self {
            service,
            own_sole,
            has_answer: unanswered.is_empty(),
            unanswered,
            do_copies_agree: true,
            record: OriginRecord::Unknown,
            store: None,
        }
    }

    /// Adds what this node itself knows.
    pub fn record_own(&mut self, record: OriginRecord) {
        self.record = std::mem::take(&mut self.record).merge(record);
    }

    /// Adds the answer of the keeper at `from`.
    pub fn record_keeper(&mut self, from: SocketAddr, answer: KeeperAnswer) {
        self.unanswered.remove(&from);
        self.has_answer = true;
        self.do_copies_agree &= answer.sole == self.own_sole;
        self.record_own(answer.record);
    }

    /// Adds what the store showed.
    pub fn record_store(&mut self, answer: StoreAnswer) {
        self.store = Some(answer);
    }

    /// Whether the store has to be read: the keepers cannot decide it, or hardly ever do, as
    /// nothing is sent to them while one version serves.
    pub fn needs_store(&self, is_keeper_timeout: bool) -> bool {
        let has_heard_all = self.unanswered.is_empty() || is_keeper_timeout;
        self.record == OriginRecord::Unknown && (self.own_sole.is_some() || has_heard_all)
    }

    /// What is known by now. Keepers that have not answered count for nothing after
    /// `is_keeper_timeout`.
    pub fn verdict(&self, is_keeper_timeout: bool) -> OriginVerdict {
        match &self.record {
            OriginRecord::At(origin) => return self.at(origin),
            OriginRecord::Ambiguous => {
                return OriginVerdict::Unknown {
                    may_be_known: false,
                };
            }
            OriginRecord::Unknown => {}
        }
        let has_heard_all = self.unanswered.is_empty();
        match &self.store {
            None => OriginVerdict::Pending,
            Some(StoreAnswer::Read {
                sole: Some(sole), ..
            }) => OriginVerdict::At(sole.clone()),
            _ if !has_heard_all && !is_keeper_timeout => OriginVerdict::Pending,
            Some(StoreAnswer::Read { record, .. }) => match record {
                OriginRecord::At(origin) => self.at(origin),
                OriginRecord::Ambiguous => OriginVerdict::Unknown {
                    may_be_known: false,
                },
                OriginRecord::Unknown => OriginVerdict::Unknown {
                    may_be_known: !has_heard_all,
                },
            },
            Some(StoreAnswer::Unavailable) => self.verdict_without_store(),
        }
    }

    /// While the store is away no version is added to its list. A node that saw one just before has
    /// told keepers of the streams that it began there.
    fn verdict_without_store(&self) -> OriginVerdict {
        match &self.own_sole {
            Some(sole) if self.has_answer && self.do_copies_agree => {
                OriginVerdict::At(sole.clone())
            }
            _ => OriginVerdict::Unknown { may_be_known: true },
        }
    }

    fn at(&self, origin: &StreamOrigin) -> OriginVerdict {
        match origin.service == self.service {
            true => OriginVerdict::At(origin.software.clone()),
            false => OriginVerdict::OtherService,
        }
    }
}
