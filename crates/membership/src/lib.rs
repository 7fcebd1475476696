//! Which nodes and upstreams are there, by failure domain.
//!
//! Within a failure domain nodes tell each other signs of life; between domains a few delegates
//! exchange short accounts. This crate is told what arrives and what the platform's lagging VM list
//! shows, and decides which nodes count as live, which upstreams are leaving, and who must be told.
//! It never sends, reads no clock, and nothing that must always hold rests on it: two nodes may
//! disagree on who is live at any time. Start at [`Membership`].

mod action;
mod digest_codec;
mod domains;
mod event;
mod heartbeat;
mod membership;
mod own_account;
mod peer;
mod peers;
mod ranking;
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
