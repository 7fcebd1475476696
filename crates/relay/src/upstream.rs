//! An upstream as the list of upstreams shows it.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

use crate::Holdings;

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
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its id. A restart gets another one, also at the same address.
    pub id: UpstreamId,
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
}

impl Upstream {
    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        self.state == UpstreamState::Ready
    }
}
