//! What upstreams state about themselves in their answers: leaving, backoff and rate limits.

use std::time::{Duration, Instant};

use nutmegsail_relay::{RequestedBackoff, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;
use crate::{AnswerMeta, UpstreamNotice, Verdict};

impl Gateway {
    /// Records what the upstream's answer to a send of `call` states about the upstream.
    ///
    /// This holds even if the answer belongs to another request, as it came over the upstream's
    /// connection, or if its body is corrupt, as the notice is in the head.
    pub(super) fn record_upstream_notice(
        &self,
        call: &Call,
        upstream: &Upstream,
        answer: &AnswerMeta,
    ) {
        if !is_from_intended(upstream, answer) {
            return;
        }
        self.record_shared_notice(call, upstream, &answer.own);
        self.record_backoff(call, upstream, answer.own.backoff);
    }

    /// Records what an upstream states about itself to all nodes alike.
    pub(super) fn record_shared_notice(
        &self,
        call: &Call,
        upstream: &Upstream,
        stated: &UpstreamNotice,
    ) {
        if stated.is_leaving {
            self.record_leaving(call, upstream);
        }
        match stated.is_brittle {
            true => self.record_brittle(call, upstream),
            false => self.shared.brittle().record_answer(&upstream.service),
        }
        self.record_limit(call, upstream, stated.limit);
    }

    fn record_brittle(&self, call: &Call, upstream: &Upstream) {
        let mut brittle = self.shared.brittle();
        if brittle.record_announcement(&upstream.service, Instant::now()) {
            log_event!(
                self.log, Event::BrittleAnnounced,
                "service" => upstream.service.to_string(), "upstream" => upstream.id.to_string(),
                "request" => call.id.to_string()
            );
        }
    }

    fn record_leaving(&self, call: &Call, upstream: &Upstream) {
        let now = Instant::now();
        self.dispatcher
            .borrow_mut()
            .record_leaving(&upstream.id, now);
        if self.shared.notices().record_leaving(&upstream.id, now) {
            log_event!(
                self.log, Event::UpstreamLeaving,
                "upstream" => upstream.id.to_string(), "told_by" => "answer",
                "request" => call.id.to_string()
            );
        }
    }

    fn record_backoff(&self, call: &Call, upstream: &Upstream, stated: RequestedBackoff) {
        match stated {
            RequestedBackoff::None | RequestedBackoff::For(Duration::ZERO) => {}
            RequestedBackoff::For(rest) => {
                let (mut notices, now) = (self.shared.notices(), Instant::now());
                let until = notices.record_backoff(&upstream.id, rest, now, &mut rand::rng());
                drop(notices);
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.record_backoff(&upstream.id, until);
                drop(dispatcher);
                log_event!(
                    self.log, Event::RestAsked,
                    "upstream" => upstream.id.to_string(), "rest_ms" => rest.as_millis(),
                    "request" => call.id.to_string()
                );
            }
            RequestedBackoff::Malformed => log_event!(
                self.log, Event::RestMalformed,
                "upstream" => upstream.id.to_string(), "request" => call.id.to_string()
            ),
        }
    }
}

/// Whether the intended process answered. Another process that now has its address refuses the
/// request as misdirected, under a name of its own.
fn is_from_intended(upstream: &Upstream, answer: &AnswerMeta) -> bool {
    let answered_as = answer.upstream.as_ref();
    answer.verdict != Verdict::Misdirected
        || answered_as.is_some_and(|answered_as| *answered_as == *upstream.name)
}
