//! The ways in which another node could find out where a stream began.

/// Which nodes are notified of a stream as soon as its first event passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Notified {
    NoNode,
    /// Any two nodes near and one in each other domain.
    AllDomains,
    /// Two registrars of the own domain.
    Registrars,
}

/// Who writes a stream to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Writer {
    /// The node where it began.
    OwnNode,
    /// Its first keeper.
    FirstKeeper,
    /// Each keeper.
    Keepers,
}

/// When a node reads the store's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadTime {
    /// When a stream is taken up that no node knows.
    TakenUp,
    /// Once, when the node starts.
    Start,
}

/// How a write is kept as keys in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Layout {
    /// One key, under the failure domain of its writer.
    Domains,
    /// A key for each of eight shards by the stream's key.
    Shards,
}

/// Batches in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Batches {
    pub writer: Writer,
    pub interval_ms: u64,
    pub read: ReadTime,
    pub layout: Layout,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Way {
    Known {
        notified: Notified,
        batches: Option<Batches>,
    },
    /// A hash of the stream's id chooses the version.
    HashRule,
    /// Any upstream, as if versions fitted together.
    AnyUpstream,
    /// A hash of the adapter chooses the version, by the share of upstreams that the node lists.
    AdapterByShare,
    /// A hash of the adapter chooses the version, by a share of one half for the whole release.
    AdapterFixed,
}

const fn batches(writer: Writer, interval_ms: u64) -> Batches {
    Batches {
        writer,
        interval_ms,
        read: ReadTime::TakenUp,
        layout: Layout::Domains,
    }
}

const fn registrars(batches: Option<Batches>) -> Way {
    Way::Known {
        notified: Notified::Registrars,
        batches,
    }
}

const fn own(notified: Notified, interval_ms: u64) -> Way {
    let batches = Some(batches(Writer::OwnNode, interval_ms));
    Way::Known { notified, batches }
}

const SHARDS: Batches = Batches {
    layout: Layout::Shards,
    ..batches(Writer::Keepers, 500)
};

const AT_START: Batches = Batches {
    read: ReadTime::Start,
    ..batches(Writer::Keepers, 500)
};

pub(crate) const WAYS: [(&str, Way); 20] = [
    (
        "nutmegsail: registrars write each 250 ms",
        registrars(Some(batches(Writer::Keepers, 250))),
    ),
    (
        "nutmegsail: registrars write each 500 ms",
        registrars(Some(batches(Writer::Keepers, 500))),
    ),
    (
        "nutmegsail: registrars write each 1000 ms",
        registrars(Some(batches(Writer::Keepers, 1_000))),
    ),
    (
        "the first registrar writes each 250 ms",
        registrars(Some(batches(Writer::FirstKeeper, 250))),
    ),
    (
        "the first registrar writes each 500 ms",
        registrars(Some(batches(Writer::FirstKeeper, 500))),
    ),
    (
        "the first registrar writes each 1000 ms",
        registrars(Some(batches(Writer::FirstKeeper, 1_000))),
    ),
    (
        "registrars write each 500 ms, read at start",
        registrars(Some(AT_START)),
    ),
    (
        "registrars write each 500 ms, eight shards",
        registrars(Some(SHARDS)),
    ),
    ("registrars, nothing in the store", registrars(None)),
    (
        "keepers in all domains, nothing in the store",
        Way::Known {
            notified: Notified::AllDomains,
            batches: None,
        },
    ),
    (
        "each node writes its own each 250 ms",
        own(Notified::NoNode, 250),
    ),
    (
        "each node writes its own each 500 ms",
        own(Notified::NoNode, 500),
    ),
    (
        "each node writes its own each 1000 ms",
        own(Notified::NoNode, 1_000),
    ),
    (
        "registrars, each node writes its own each 250 ms",
        own(Notified::Registrars, 250),
    ),
    (
        "registrars, each node writes its own each 500 ms",
        own(Notified::Registrars, 500),
    ),
    (
        "registrars, each node writes its own each 1000 ms",
        own(Notified::Registrars, 1_000),
    ),
    ("a hash of the id chooses the version", Way::HashRule),
    ("any upstream", Way::AnyUpstream),
    (
        "a hash of the adapter chooses, by upstreams' share",
        Way::AdapterByShare,
    ),
    (
        "a hash of the adapter chooses, half and half",
        Way::AdapterFixed,
    ),
];

impl Way {
    /// Whether it differs from another way in what it costs only.
    pub(crate) fn is_cost_only(self) -> bool {
        matches!(self, Self::Known { batches: Some(batches), .. } if batches.layout == Layout::Shards)
    }
}
