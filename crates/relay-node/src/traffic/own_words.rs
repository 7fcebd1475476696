//! What upstreams say of themselves in their answers.

use std::time::Instant;

use nutmegsail_relay::{RestSaid, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;
use crate::OwnWord;

impl Gateway {
    /// Takes in what an answer to `call` says of its upstream.
    pub(super) fn note_own_word(&self, call: &Call, upstream: &Upstream, own: OwnWord) {
        if own.is_leaving {
            self.note_leaving(call, upstream);
        }
        self.note_rest(call, upstream, own.rest);
        self.note_limit(call, upstream, own.limit);
    }

    fn note_leaving(&self, call: &Call, upstream: &Upstream) {
        let now = Instant::now();
        if self.shared.notices().note_leaving(&upstream.id, now) {
            log_event!(
                self.log, Event::UpstreamLeaving,
                "upstream" => upstream.id.to_string(), "told_by" => "answer",
                "request" => call.id.to_string()
            );
        }
    }

    fn note_rest(&self, call: &Call, upstream: &Upstream, said: RestSaid) {
        match said {
            RestSaid::None => {}
            RestSaid::For(rest) => {
                let now = Instant::now();
                self.shared.notices().note_rest(&upstream.id, rest, now);
                log_event!(
                    self.log, Event::RestAsked,
                    "upstream" => upstream.id.to_string(), "rest_ms" => rest.as_millis(),
                    "request" => call.id.to_string()
                );
            }
            RestSaid::Malformed => log_event!(
                self.log, Event::RestMalformed,
                "upstream" => upstream.id.to_string(), "request" => call.id.to_string()
            ),
        }
    }
}
