//! A node that passes requests on unchanged, by host and path.
//!
//! It owns sockets, threads and clocks; what to do is decided in `nutmegsail-relay`, and how the
//! platform speaks is behind [`Dialect`]. The control thread watches the store and orders loads;
//! the traffic thread carries requests and chooses their upstreams. Start at [`RelayNode::start`].

mod clock;
mod control;
mod dialect;
mod metrics;
mod node;
mod nodes_sockets;
mod ready;
mod settings;
mod shared;
mod team_metrics;
mod traffic;
mod traffic_message;

/// How long opening a connection may take. A crossing takes some 1 ms; an upstream or a node behind
/// a partition never answers, and meanwhile another one could.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

pub use dialect::{
    AnswerMeta, BadHeader, CallMeta, DecodeError, Dialect, EngineCall, EngineState, NamedVersion,
    Order, OrderAnswer, OrderStep, OwnWord, SendMeta, Verdict,
};
pub use node::{RelayNode, RelayNodeError};
pub use settings::{BoundSettings, RelaySettings, RelaySettingsError, StoreSettings};
