//! A node that routes requests to upstreams by host and path, and forwards them unchanged.
//!
//! This crate holds the sockets, threads and clocks. Decisions are made in `nutmegsail-relay`, and
//! the platform's protocol is behind [`Dialect`]. The control thread watches the store and orders
//! loads; the traffic thread chooses upstreams and forwards requests. Start reading at
//! [`RelayNode::start`].

mod clock;
mod control;
mod dialect;
mod metrics;
mod node;
mod nodes_sockets;
mod paced_services;
mod peer_traffic;
mod prompt_metrics;
mod ready;
mod room;
mod settings;
mod shared;
mod stream_origins;
mod team_metrics;
mod traffic;
mod traffic_message;

/// The timeout for opening a connection. A round trip takes about 1 ms. An upstream or node behind
/// a network partition never answers, while another one could serve the request.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

pub use dialect::{
    AnswerMeta, BadHeader, CallMeta, DecodeError, Dialect, EngineState, NamedVersion, Order,
    OrderAnswer, OrderStep, SendMeta, UpstreamCall, UpstreamNotice, Verdict,
};
pub use node::{RelayNode, RelayNodeError};
pub use settings::{
    BoundSettings, RelaySettings, RelaySettingsError, SheddingSettings, StoreSettings,
};
