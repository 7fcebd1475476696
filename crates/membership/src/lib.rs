//! Tracks the nodes of every failure domain and the upstreams that are leaving.
//!
//! Nodes of one failure domain exchange heartbeats; a few delegates of each domain exchange
//! summaries with the other domains. From received messages and the platform's VM list, which
//! lags, this crate decides which nodes are live, which upstreams are leaving, and what to send to
//! whom. It does no I/O and reads no clock. Two nodes may disagree on the live nodes at any time,
//! so no safety property may depend on this view. Start at [`Membership`].

mod action;
mod delegates;
mod digest_codec;
mod domains;
mod event;
mod heartbeat;
mod membership;
mod own_state;
mod peer;
mod peers;
mod settings;
mod status;
mod upstream_notices;

pub use action::{LiveNode, MembershipAction, MembershipNote};
pub use event::{LeavingSource, MembershipEvent, VmHint};
pub use heartbeat::{
    BeatKey, Contact, DomainSummary, GenerationCount, Heartbeat, KeyedBeat, NodeState, PeerBeat,
    UpstreamNotice,
};
pub use membership::Membership;
pub use settings::{MembershipSettings, MembershipSettingsError};
pub use status::{DomainStatus, StatusReport};
