//! An upstream as the list of upstreams shows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

use crate::{AtHand, Holdings};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining {
        /// When it ends whatever it still runs, if that is known.
        remaining: Option<Duration>,
    },
    /// It said in an answer that it leaves, and the list does not show that yet.
    Leaving,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Names one start of its process, so that nothing of the one before is taken for it: what it
    /// held, what was sent there, orders and failures.
    pub id: UpstreamId,
    /// The name it is addressed by. A later start may bear the same.
    pub name: Arc<str>,
    /// When its process started, in milliseconds of Unix time by its own clock, if it says so.
    pub started_ms: Option<u64>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// What it holds, if it is an engine.
    pub holdings: Holdings,
    /// Base models that it can load without the weight store.
    pub at_hand: AtHand,
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

    /// The same upstream, once it has said that it leaves.
    pub fn leaving(self) -> Self {
        let state = match self.state {
            UpstreamState::Ready => UpstreamState::Leaving,
            listed => listed,
        };
        Self { state, ..self }
    }

    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        self.state == UpstreamState::Ready
    }
}
