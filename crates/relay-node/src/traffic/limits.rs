//! Limits that upstreams name in their answers.

use std::time::Instant;

use nutmegsail_relay::{LimitChange, LimitSaid, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;

impl Gateway {
    /// Takes in what an answer to `call` says of its upstream's limit.
    pub(super) fn note_limit(&self, call: &Call, upstream: &Upstream, said: LimitSaid) {
        let change = self
            .shared
            .limits()
            .note_answer(&upstream.id, said, Instant::now());
        match change {
            Some(LimitChange::Named(per_s)) => log_event!(
                self.log, Event::LimitNamed,
                "upstream" => upstream.id.to_string(), "per_s" => per_s,
                "request" => call.id.to_string()
            ),
            Some(LimitChange::Ended) => log_event!(
                self.log, Event::LimitEnded,
                "upstream" => upstream.id.to_string(), "request" => call.id.to_string()
            ),
            None if said == LimitSaid::Malformed => log_event!(
                self.log, Event::LimitMalformed,
                "upstream" => upstream.id.to_string(), "request" => call.id.to_string()
            ),
            None => {}
        }
    }
}
