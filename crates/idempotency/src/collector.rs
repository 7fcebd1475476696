//! Removes records past their retention.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use crate::{CLAIMS_PREFIX, ClaimAction, ClaimSettings, ClaimToken, StoreFault, is_past_retention};

/// Looks at the oldest records now and then, and removes those that nobody needs.
///
/// Records sort by their bucket, so the first page of the range holds the oldest ones and no
/// position has to be kept anywhere.
#[derive(Debug, Default)]
pub(crate) struct Collector {
    next_at: Option<Instant>,
    listing: Option<ClaimToken>,
}

impl Collector {
    /// Whether it is time to look; the next time is an interval later.
    pub fn is_due(&mut self, settings: &ClaimSettings, now: Instant) -> bool {
        let next = now + settings.collect_interval;
        if *self.next_at.get_or_insert(next) > now {
            return false;
        }
        self.next_at = Some(next);
        true
    }

    /// Asks for the oldest records.
    pub fn list_oldest(&mut self, token: ClaimToken) -> ClaimAction {
        self.listing = Some(token);
        ClaimAction::List {
            token,
            prefix: CLAIMS_PREFIX.into(),
        }
    }

    /// Removes what is past its retention by `wall`, this node's clock.
    ///
    /// This never opens a second run. A claimant checks the key's age again once its claim is
    /// durable, so after the removal; by then its clock, too, says that the key is too old.
    pub fn list_done(
        &mut self,
        token: ClaimToken,
        result: Result<Vec<Arc<str>>, StoreFault>,
        settings: &ClaimSettings,
        wall: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self.listing.take_if(|listing| *listing == token).is_none() {
            return;
        }
        let keys = result.unwrap_or_default().into_iter();
        let old = keys.filter(|key| is_past_retention(key, settings, wall));
        actions.extend(old.map(|key| ClaimAction::Delete { key }));
    }

    /// When it next looks.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_at
    }
}
