//! The traffic thread: callers' connections and the requests on them.

mod adapter_wait;
mod admission;
mod answer_body;
mod call;
mod flight;
mod gateway;
mod listener;
mod model_wait;
mod quota_client;
mod refuse;
mod resumable_body;
mod resume;
mod send;

use std::time::Duration;

pub(crate) use gateway::{Gateway, GatewayParts};
pub(crate) use listener::serve;
pub(crate) use quota_client::{QuotaClient, take_lent};

/// How long accepting pauses when the process is out of descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
