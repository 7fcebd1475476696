//! An upstream as listed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

use crate::{Holdings, LocalWeights, SoftwareVersion};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It finishes the requests it has and takes no new ones.
    Draining {
        /// Time until it aborts the requests it still runs, if known.
        remaining: Option<Duration>,
    },
    /// It announced in an answer that it is leaving, and the list does not show that yet.
    Leaving,
}

/// A process that serves requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Identifies one process. Its holdings, requests, orders and failures are not carried over to
    /// a later process under the same name.
    pub id: UpstreamId,
    /// The name that it is addressed by. A later process can have the same name.
    pub name: Arc<str>,
    /// Start time in milliseconds of Unix time by its own clock, if it states one.
    pub started_ms: Option<u64>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// The version of its software, which never changes for one process.
    pub software: SoftwareVersion,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// The models and adapters it holds, if it is an engine.
    pub holdings: Holdings,
    /// Base models that it can load without the weight store.
    pub local_weights: LocalWeights,
}

impl Upstream {
    /// The id of the process that started at `started_ms` under `name`.
    ///
    /// ```
    /// use nutmegsail_relay::Upstream;
    /// assert_eq!(Upstream::id_of("engine-1", Some(1_700)).as_str(), "engine-1@1700");
    /// assert_eq!(Upstream::id_of("engine-1", None).as_str(), "engine-1");
    /// ```
    pub fn id_of(name: &str, started_ms: Option<u64>) -> UpstreamId {
        match started_ms {
            Some(started_ms) => format!("{name}@{started_ms}").into(),
            None => name.into(),
        }
    }

    /// The name of the process `id`.
    ///
    /// ```
    /// use nutmegsail_relay::Upstream;
    /// assert_eq!(Upstream::name_of(&"engine-1@1700".into()), "engine-1");
    /// assert_eq!(Upstream::name_of(&"engine-1".into()), "engine-1");
    /// ```
    pub fn name_of(id: &UpstreamId) -> &str {
        let id = id.as_str();
        id.rsplit_once('@').map_or(id, |(name, _)| name)
    }

    /// Whether `id` is a later process under the same name. Requests to this upstream may then reach
    /// that process.
    ///
    /// ```
    /// use nutmegsail_relay::Upstream;
    /// # let upstream = Upstream {
    /// #     id: Upstream::id_of("engine-1", Some(1_700)),
    /// #     name: "engine-1".into(),
    /// #     started_ms: Some(1_700),
    /// #     service: "engines".into(),
    /// #     address: ([127, 0, 0, 1], 80).into(),
    /// #     failure_domain: "a".into(),
    /// #     software: "v1".into(),
    /// #     slots: 4,
    /// #     state: nutmegsail_relay::UpstreamState::Ready,
    /// #     holdings: Default::default(),
    /// #     local_weights: Default::default(),
    /// # };
    /// assert_eq!(upstream.id.as_str(), "engine-1@1700");
    /// assert!(upstream.is_replaced_by(&"engine-1@1800".into()));
    /// assert!(!upstream.is_replaced_by(&"engine-1@1600".into()));
    /// assert!(!upstream.is_replaced_by(&"engine-2@1800".into()));
    /// ```
    pub fn is_replaced_by(&self, id: &UpstreamId) -> bool {
        self.started_ms.is_some() && self.started_ms_of(id) > self.started_ms
    }

    /// Whether `id` is an earlier process under the same name. What it is said to have announced may
    /// be of this process.
    ///
    /// ```
    /// use nutmegsail_relay::Upstream;
    /// # let upstream = Upstream {
    /// #     id: Upstream::id_of("engine-1", Some(1_700)),
    /// #     name: "engine-1".into(),
    /// #     started_ms: Some(1_700),
    /// #     service: "engines".into(),
    /// #     address: ([127, 0, 0, 1], 80).into(),
    /// #     failure_domain: "a".into(),
    /// #     software: "v1".into(),
    /// #     slots: 4,
    /// #     state: nutmegsail_relay::UpstreamState::Ready,
    /// #     holdings: Default::default(),
    /// #     local_weights: Default::default(),
    /// # };
    /// assert!(upstream.replaces(&"engine-1@1600".into()));
    /// assert!(!upstream.replaces(&"engine-1@1700".into()));
    /// assert!(!upstream.replaces(&"engine-2@1600".into()));
    /// ```
    pub fn replaces(&self, id: &UpstreamId) -> bool {
        let started_ms = self.started_ms_of(id);
        started_ms.is_some() && started_ms < self.started_ms
    }

    /// When the process `id` started, if its name is this upstream's.
    fn started_ms_of(&self, id: &UpstreamId) -> Option<u64> {
        let (name, started_ms) = id.as_str().rsplit_once('@')?;
        let started_ms = started_ms.parse().ok();
        started_ms.filter(|_| *self.name == *name)
    }

    /// The same upstream after it announced that it is leaving.
    pub fn leaving(self) -> Self {
        let state = match self.state {
            UpstreamState::Ready => UpstreamState::Leaving,
            listed => listed,
        };
        Self { state, ..self }
    }

    /// Whether it takes new work.
    pub fn takes_work(&self) -> bool {
        self.state == UpstreamState::Ready
    }
}
