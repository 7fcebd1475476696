//! When the owner of an engine may send it orders.

use std::time::Duration;

/// The times that ownership keeps to. All are differences of a clock that counts suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipRules {
    /// Orders of two owners must be at least this far apart.
    pub hand_over: Duration,
    /// How long a confirmed ownership is relied on.
    pub confirmation: Duration,
}

/// What added to the times below covers an order's way to the engine, which is some milliseconds
/// when links are sound.
const ORDER_TRAVEL: Duration = Duration::from_millis(400);

/// Whether an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPermit {
    /// It may, with this fencing number.
    Granted {
        /// The fencing number.
        fence: u64,
    },
    /// The ownership is to be confirmed at the store first.
    Unconfirmed,
    /// The owner before may still have orders on their way.
    Settling {
        /// When orders may begin.
        until: Duration,
    },
}

/// One engine that this node owns.
///
/// The store can take a key away without its holder seeing it, and an owner may be paused between
/// any two steps. Two rules keep the orders of two owners `hand_over` apart: an owner relies on a
/// read that showed its key for `confirmation` only, counted from before the read; and a new owner
/// waits `confirmation + hand_over` from the time it took the key, unless its own earlier process
/// held it before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    fence: u64,
    rules: OwnershipRules,
    confirmed_at: Duration,
    may_order_from: Duration,
}

impl Ownership {
    /// An engine whose key was written at revision `fence` by a call sent at `asked_at`.
    pub fn taken(
        fence: u64,
        is_own_before: bool,
        rules: OwnershipRules,
        asked_at: Duration,
        now: Duration,
    ) -> Self {
        let wait = match is_own_before {
            true => Duration::ZERO,
            false => rules.confirmation + rules.hand_over + ORDER_TRAVEL,
        };
        Self {
            fence,
            rules,
            confirmed_at: asked_at,
            may_order_from: now + wait,
        }
    }

    /// The fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Takes in that a read sent at `asked_at` showed the key with this node's revision.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(asked_at);
    }

    /// How long ago the ownership was confirmed.
    pub fn confirmation_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Whether an order may be sent at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::{OrderPermit, Ownership, OwnershipRules};
    /// let seconds = Duration::from_secs;
    /// let rules = OwnershipRules { hand_over: seconds(3), confirmation: seconds(2) };
    /// let mut owned = Ownership::taken(7, true, rules, seconds(10), seconds(10));
    /// assert_eq!(owned.permit(seconds(11)), OrderPermit::Granted { fence: 7 });
    /// assert_eq!(owned.permit(seconds(13)), OrderPermit::Unconfirmed);
    /// ```
    pub fn permit(&self, now: Duration) -> OrderPermit {
        if now < self.may_order_from {
            return OrderPermit::Settling {
                until: self.may_order_from,
            };
        }
        if now >= self.confirmed_at + self.rules.confirmation {
            return OrderPermit::Unconfirmed;
        }
        OrderPermit::Granted { fence: self.fence }
    }
}
