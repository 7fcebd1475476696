//! Calls with tickets for this incarnation.

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

/// The decision about a call with a ticket for this incarnation.
#[derive(Debug)]
pub(crate) enum TicketVerdict {
    /// Dispatch the call: no earlier one with this key has run.
    Run,
    /// An earlier call with this key ended in this state.
    Known(ClaimState),
    /// Refuse the call.
    Refused(ResultCode),
}

/// The calls with tickets that this incarnation has allowed to run, remembered for as long as their
/// keys are accepted.
///
/// They need no store: only this incarnation may run them, and it remembers which it has run. After
/// a restart no node may run them.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    calls: BTreeMap<IdempotencyKey, TicketCall>,
    running: BTreeMap<RequestId, IdempotencyKey>,
}

impl Tickets {
    /// Decides whether a call whose ticket names this incarnation may run.
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

    /// Ends a running call. Returns whether the request was a call with a ticket.
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

    /// Whether the request was allowed to run and has not ended.
    pub fn is_running(&self, request: &RequestId) -> bool {
        self.running.contains_key(request)
    }

    /// Forgets ended calls whose keys are too old to be accepted, even if the clock is off by the
    /// permitted skew.
    pub fn forget_old(&mut self, settings: &ClaimSettings, wall_time: SystemTime) {
        let wall_time = wall_time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        self.calls.retain(|key, call| {
            let issued = Duration::from_millis(key.issued_unix_ms());
            issued + settings.record_retention >= wall_time
                || matches!(call.phase, TicketPhase::Running(_))
        });
    }
}
