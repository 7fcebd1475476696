//! The traffic thread: callers' connections and the requests on them.

mod adapter_wait;
mod admission;
mod answer_body;
mod call;
mod crash_check;
mod flight;
mod gateway;
mod limits;
mod link;
mod listener;
mod model_wait;
mod own_words;
mod plain_slot;
mod quota_client;
mod refuse;
mod resumable_body;
mod resume;
mod send;
mod slot_client;

use std::time::Duration;

pub(crate) use gateway::{Gateway, GatewayParts};
pub(crate) use link::{Link, take_answers};
pub(crate) use listener::serve;

/// How long accepting pauses when the process is out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
