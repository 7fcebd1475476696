//! Which nodes and upstreams are there, by failure domain.

mod heartbeat;

pub use heartbeat::{Contact, DomainSummary, GenerationCount, Heartbeat, PeerBeat, UpstreamNotice};
