//! Requests that wait for their adapters, and loads of the copies that owners ask for.

use std::time::{Duration, Instant};

use nutmegsail_relay::{Choice, CopyScope, LoadCandidate, LoadPurpose, SoftwareRule, WantedCopies};
use tokio::sync::oneshot;

use super::call::Call;
use super::gateway::{Gateway, SendHistory};
use crate::shared::{CopyRequest, LoadRequest, LoadSpec, Loaded, View};

/// The longest time that a request waits for its adapter: two loads of 250 ms each, one after the
/// other, plus the queue for transfers.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The longest time that a request waits for another copy of its adapter: two loads, one after the
/// other.
pub(super) const COPY_TIMEOUT: Duration = Duration::from_millis(600);

/// The fraction of its caller's wait limit from which an expected wait counts as a lost request. It
/// is below 1 because the request has already waited here, and estimates are too short as often as
/// too long.
const LOST_WAIT_FRACTION: f64 = 0.5;

/// The priority of copies that an owner asks for: the highest, as an adapter that fills its engine
/// delays all other requests there, including urgent ones.
const COPY_PRIORITY: u8 = 0;

impl Gateway {
    /// Orders loads of the copies that an engine's owner asks for.
    pub(super) fn request_copies(&self, view: &View, request: CopyRequest) {
        let (service, now) = (&request.service, Instant::now());
        let WantedCopies {
            model,
            place,
            copies,
            is_urgent,
        } = request.wanted;
        let dispatcher = self.dispatcher.borrow();
        if let CopyScope::Domain(domain) = &place
            && dispatcher.is_held_in(domain, service, &model, now)
        {
            return;
        }
        let rule = view.versions.rule(&model, self.version_overlap(), now);
        let engines =
            dispatcher.load_candidates(service, &model, rule, &SoftwareRule::Any, &place, now);
        let (ready, _) = oneshot::channel();
        let load_request = LoadRequest {
            spec: LoadSpec {
                model,
                version: rule.to_load(),
                was_turned_away: false,
                purpose: match is_urgent {
                    true => LoadPurpose::Miss,
                    false => LoadPurpose::Copy,
                },
                priority: COPY_PRIORITY,
            },
            engines,
            copies,
            result: ready,
        };
        // Dropped if the queue is full: it then holds loads that requests wait for, which go first.
        let _ = self.shared.load_requests.try_send(load_request);
    }

    /// Orders a load of the adapter that `call` names, and waits for it up to `wait`.
    pub(super) async fn load_adapter(
        &self,
        call: &Call,
        sends: &SendHistory,
        purpose: LoadPurpose,
        wait: Duration,
    ) -> bool {
        let now = Instant::now();
        let Some(ready) = self.request_load(call, sends.was_misdirected, purpose, now) else {
            return false;
        };
        match tokio::time::timeout(wait, ready).await {
            Ok(Ok(Some((engine, holdings)))) => {
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.record_holdings(&engine, &holdings, Instant::now());
                true
            }
            _ => false,
        }
    }

    pub(super) fn request_load(
        &self,
        call: &Call,
        was_turned_away: bool,
        purpose: LoadPurpose,
        now: Instant,
    ) -> Option<oneshot::Receiver<Loaded>> {
        let model = call.meta.model.clone()?;
        let (ready, answer) = oneshot::channel();
        let load_request = LoadRequest {
            spec: LoadSpec {
                model,
                version: call.version.get().to_load(),
                was_turned_away,
                purpose,
                priority: call.priority(),
            },
            engines: self.candidate_engines(call, now),
            copies: 1,
            result: ready,
        };
        self.shared.load_requests.try_send(load_request).ok()?;
        Some(answer)
    }

    /// Engines on which the adapter could be loaded.
    fn candidate_engines(&self, call: &Call, now: Instant) -> Vec<LoadCandidate> {
        let Some(model) = &call.meta.model else {
            return Vec::new();
        };
        let dispatcher = self.dispatcher.borrow();
        let place = &CopyScope::Anywhere;
        let version = call.version.get();
        dispatcher.load_candidates(&call.service, model, version, &call.software(), place, now)
    }
}

/// The time until which `call` waits for its adapter, counted from now.
pub(super) fn adapter_wait_deadline(call: &Call) -> Instant {
    let now = Instant::now();
    now + ADAPTER_TIMEOUT.min(call.remaining(now) / 2)
}

/// The purpose of a load that would get `call` answered sooner than `choice` would. If the caller
/// would give up before `choice` answers, the load counts as a miss.
pub(super) fn load_purpose(call: &Call, choice: &Choice) -> LoadPurpose {
    let expected = Duration::from_secs_f64(choice.expected_ms.max(0.0) / 1_000.0);
    match expected > call.first_event_timeout().mul_f64(LOST_WAIT_FRACTION) {
        true => LoadPurpose::Miss,
        false => LoadPurpose::Copy,
    }
}
