//! The traffic thread: callers' connections and the requests on them.

mod adapter_loads;
mod admission;
mod answer_body;
mod answer_end;
mod answer_source;
mod call;
mod caller_socket;
mod crash_check;
mod forward;
mod forward_header;
mod forwarders;
mod gateway;
mod in_flight;
mod limits;
mod listener;
mod model_wait;
mod overload;
mod peer_socket;
mod plain_slot;
mod prompt_client;
mod prompt_pacing;
mod quota_client;
mod reach;
mod received_body;
mod refuse;
mod resumable_body;
mod resume;
mod send;
mod slot_client;
mod stream_origin;
mod stream_pacing;
mod upstream_notices;

use std::time::Duration;

pub(crate) use answer_end::BodySummary;
pub(crate) use forward::MAX_FORWARDED;
pub(crate) use forwarders::watch_forwarders;
pub(crate) use gateway::{Gateway, GatewayParts};
pub(crate) use listener::{Origin, serve};
pub(crate) use overload::watch_delay;
pub(crate) use peer_socket::{PeerSocket, receive_answers};
pub(crate) use plain_slot::renew_slots;
pub(crate) use reach::watch_reach;

/// How long accepting pauses when the process is out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
