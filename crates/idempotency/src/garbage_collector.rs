//! Deletes records past their retention.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use crate::{CLAIMS_PREFIX, ClaimAction, ClaimSettings, ClaimToken, StoreFault, is_past_retention};

/// Periodically lists the oldest records and deletes those past their retention.
///
/// Record keys sort by bucket, so the first page of a listing always holds the oldest records, and
/// no position needs to be remembered.
#[derive(Debug, Default)]
pub(crate) struct GarbageCollector {
    next_at: Option<Instant>,
    pending_list: Option<ClaimToken>,
}

impl GarbageCollector {
    /// Whether a listing is due. If so, schedules the next one an interval later.
    pub fn is_due(&mut self, settings: &ClaimSettings, now: Instant) -> bool {
        let next = now + settings.collect_interval;
        if *self.next_at.get_or_insert(next) > now {
            return false;
        }
        self.next_at = Some(next);
        true
    }

    /// Lists the oldest records.
    pub fn list_oldest(&mut self, token: ClaimToken) -> ClaimAction {
        self.pending_list = Some(token);
        ClaimAction::List {
            token,
            prefix: CLAIMS_PREFIX.into(),
        }
    }

    /// Deletes the listed records that are past their retention by `wall_time`, this node's clock.
    ///
    /// This cannot let a call run twice. If a key is claimed again after the deletion, the claimant
    /// checks the key's age once more when the claim is durable, and by then its clock also says
    /// that the key is too old.
    pub fn list_done(
        &mut self,
        token: ClaimToken,
        result: Result<Vec<Arc<str>>, StoreFault>,
        settings: &ClaimSettings,
        wall_time: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self
            .pending_list
            .take_if(|pending_list| *pending_list == token)
            .is_none()
        {
            return;
        }
        let keys = result.unwrap_or_default().into_iter();
        let old = keys.filter(|key| is_past_retention(key, settings, wall_time));
        actions.extend(old.map(|key| ClaimAction::Delete { key }));
    }

    /// When the next listing is due.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_at
    }
}
