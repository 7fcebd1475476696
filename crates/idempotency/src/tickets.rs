//! Calls whose key names the one incarnation that may run them.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use nutmegsail_base::{RequestId, ResultCode};

use crate::{ClaimSettings, ClaimState, IdempotencyKey, RequestDigest};

#[derive(Debug)]
struct TicketCall {
    digest: RequestDigest,
    phase: TicketPhase,
}

#[derive(Debug)]
enum TicketPhase {
    Running(RequestId),
    Ended(ClaimState),
}

/// What becomes of a call with a ticket for this incarnation.
#[derive(Debug)]
pub(crate) enum TicketVerdict {
    /// It is the first one: dispatch it.
    Run,
    /// An earlier one has this state.
    Known(ClaimState),
    /// It is refused.
    Refused(ResultCode),
}

/// The ticket calls that this incarnation has let run, for as long as their keys are accepted.
///
/// Nothing is stored: only this incarnation may run them, and it knows what it has run. When it is
/// gone, so is the right to run.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    calls: BTreeMap<IdempotencyKey, TicketCall>,
    running: BTreeMap<RequestId, IdempotencyKey>,
}

impl Tickets {
    /// Decides about a call whose ticket names this incarnation.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        request: &RequestId,
        digest: RequestDigest,
        settings: &ClaimSettings,
    ) -> TicketVerdict {
        if let Some(call) = self.calls.get(key) {
            if call.digest != digest {
                return TicketVerdict::Refused(ResultCode::KeyReused);
            }
            match &call.phase {
                TicketPhase::Running(_) => {
                    return TicketVerdict::Refused(ResultCode::InProgress);
                }
                TicketPhase::Ended(ClaimState::Released) => {}
                TicketPhase::Ended(state) => return TicketVerdict::Known(state.clone()),
            }
        } else if self.calls.len() >= settings.max_tickets {
            return TicketVerdict::Refused(ResultCode::ClaimUnavailable);
        }
        let phase = TicketPhase::Running(request.clone());
        self.calls.insert(key.clone(), TicketCall { digest, phase });
        self.running.insert(request.clone(), key.clone());
        TicketVerdict::Run
    }

    /// Ends a running call. Returns whether the request was one of these.
    pub fn finish(&mut self, request: &RequestId, state: ClaimState) -> bool {
        let Some(key) = self.running.remove(request) else {
            return false;
        };
        let call = self
            .calls
            .get_mut(&key)
            .expect("a running call is remembered");
        assert!(matches!(&call.phase, TicketPhase::Running(running) if running == request));
        call.phase = TicketPhase::Ended(state);
        true
    }

    /// Whether the request was let run and has not ended.
    pub fn is_running(&self, request: &RequestId) -> bool {
        self.running.contains_key(request)
    }

    /// Forgets ended calls whose keys are refused for their age, whatever this clock's error.
    pub fn forget_old(&mut self, settings: &ClaimSettings, wall: SystemTime) {
        let wall = wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        self.calls.retain(|key, call| {
            let issued = Duration::from_millis(key.issued_unix_ms());
            issued + settings.kept >= wall || matches!(call.phase, TicketPhase::Running(_))
        });
    }
}
