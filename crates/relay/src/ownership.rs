//! When the owner of an engine may send it orders.

use std::time::Duration;

use nutmegsail_base::StoreNumber;

/// Time limits of ownership, measured on a clock that also advances while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipRules {
    /// Minimum interval between the orders of two successive owners.
    pub hand_over: Duration,
    /// How long a confirmation of ownership is valid.
    pub confirmation: Duration,
}

impl OwnershipRules {
    /// How long a new owner waits before its first order if the previous one may still have orders
    /// in flight: the previous owner relies on its last confirmation until that expires, and
    /// `hand_over` must then pass.
    pub fn wait(self) -> Duration {
        self.confirmation + self.hand_over + ORDER_TRANSIT
    }

    /// The predecessor of a claim on an engine that another node owned until `ended_at`.
    pub(crate) fn earlier_until(self, ended_at: Duration) -> Predecessor {
        Predecessor::Earlier {
            orders_end: ended_at + self.wait(),
        }
    }
}

/// Allowance for an order's way to the engine, which takes a few milliseconds on a healthy network.
const ORDER_TRANSIT: Duration = Duration::from_millis(400);

/// Whether an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPermit {
    /// It may be sent under this claim.
    Granted {
        /// The store revision at which the claim was written.
        claim: StoreNumber,
    },
    /// The ownership must first be confirmed at the store.
    Unconfirmed,
    /// The previous owner may still have orders in flight.
    Settling {
        /// When orders may be sent.
        until: Duration,
    },
}

/// Whose orders may be in flight to an engine when it is claimed. Ordered by how long they may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Predecessor {
    /// No orders can be in flight.
    None,
    /// Those of earlier owners, the last of which is known.
    Earlier {
        /// When all of them have arrived, and `hand_over` has passed.
        orders_end: Duration,
    },
    /// Those of another owner until the claim.
    Another,
}

impl Predecessor {
    /// The same, or `None` if all orders of earlier owners have arrived at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::Predecessor;
    /// let seconds = Duration::from_secs;
    /// let earlier = Predecessor::Earlier { orders_end: seconds(20) };
    /// assert_eq!(earlier.unless_arrived(seconds(19)), earlier);
    /// assert_eq!(earlier.unless_arrived(seconds(20)), Predecessor::None);
    /// assert_eq!(Predecessor::Another.unless_arrived(seconds(20)), Predecessor::Another);
    /// ```
    pub fn unless_arrived(self, now: Duration) -> Self {
        match self {
            Self::Earlier { orders_end } if orders_end <= now => Self::None,
            _ => self,
        }
    }
}

/// Ownership of one engine by this node.
///
/// The store can delete a key without its holder noticing, and an owner can be paused between any
/// two steps. Two rules keep the orders of two owners `hand_over` apart. An owner relies on a read
/// that showed its key for `confirmation` only, counted from before the read. A new owner waits
/// `confirmation + hand_over` from the time it took the key, unless an earlier process of the same
/// node held it before and had waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    claim: StoreNumber,
    rules: OwnershipRules,
    confirmed_at: Duration,
    may_order_from: Duration,
    /// Until when this process may send orders under its previous claim, which was lost when the
    /// store was restored from an older copy.
    previous_claim_until: Duration,
    /// When the claim was lost because the store was restored from an older copy.
    claim_lost_at: Option<Duration>,
}

impl Ownership {
    /// Ownership of an engine whose key was written at revision `claim` by a call sent at
    /// `asked_at`.
    pub fn claimed(
        claim: StoreNumber,
        predecessor: Predecessor,
        rules: OwnershipRules,
        asked_at: Duration,
        now: Duration,
    ) -> Self {
        let may_order_from = match predecessor {
            Predecessor::None => now,
            Predecessor::Earlier { orders_end } => orders_end.min(now + rules.wait()),
            Predecessor::Another => now + rules.wait(),
        };
        Self {
            claim,
            rules,
            confirmed_at: asked_at,
            may_order_from,
            previous_claim_until: Duration::ZERO,
            claim_lost_at: None,
        }
    }

    /// From when orders may be sent.
    pub fn may_order_from(&self) -> Duration {
        self.may_order_from
    }

    /// Records that the claim was lost because the store was restored from an older copy. No order
    /// may be sent until the engine is [`reclaimed`](Self::reclaimed).
    pub fn lose_claim(&mut self, now: Duration) {
        self.claim_lost_at.get_or_insert(now);
    }

    /// Whether the claim was lost because the store was restored from an older copy.
    pub fn has_lost_claim(&self) -> bool {
        self.claim_lost_at.is_some()
    }

    /// Ownership of the same engine under a new claim, written at revision `claim` by a call sent
    /// at `asked_at`, after the previous claim was lost.
    ///
    /// In the store history that was lost, another node may have claimed the engine, and may not
    /// know that this claim is lost too. It can only have claimed after this process's last
    /// confirmation, so its orders begin `confirmation + hand_over` after that at the earliest, and
    /// end `confirmation` after the new claim. If that leaves no time for its orders, this process
    /// continues at once. Otherwise it continues until its old confirmation expires, and starts
    /// again once the other node's orders must have ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_base::{StoreEra, StoreNumber};
    /// use nutmegsail_relay::{OrderPermit, Ownership, OwnershipRules, Predecessor};
    /// let claim = StoreNumber::in_era(StoreEra(1), 7);
    /// let seconds = Duration::from_secs;
    /// let rules = OwnershipRules { hand_over: seconds(3), confirmation: seconds(4) };
    /// let now = seconds(10);
    /// let mut owned = Ownership::claimed(claim, Predecessor::None, rules, now, now);
    /// owned.lose_claim(seconds(11));
    /// assert_eq!(owned.permit(seconds(11)), OrderPermit::Unconfirmed);
    /// let anew = StoreNumber::in_era(StoreEra(2), 5);
    /// let again = owned.reclaimed(anew, rules, seconds(12), seconds(12));
    /// assert_eq!(again.permit(seconds(12)), OrderPermit::Granted { claim: anew });
    /// ```
    pub fn reclaimed(
        &self,
        claim: StoreNumber,
        rules: OwnershipRules,
        asked_at: Duration,
        now: Duration,
    ) -> Self {
        let could_order = self
            .claim_lost_at
            .is_some_and(|at| at >= self.may_order_from);
        let age = now.saturating_sub(self.confirmed_at);
        let predecessor = match could_order && age <= rules.hand_over + ORDER_TRANSIT {
            true => Predecessor::None,
            false => Predecessor::Another,
        };
        let previous_claim_until = match could_order {
            true => self.confirmed_at + self.rules.confirmation,
            false => Duration::ZERO,
        };
        Self {
            previous_claim_until,
            ..Self::claimed(claim, predecessor, rules, asked_at, now)
        }
    }

    /// The store revision at which the claim was written.
    pub fn claim(&self) -> StoreNumber {
        self.claim
    }

    /// When orders may start again, if this process still sends orders under its previous claim at
    /// `now` and has to interrupt them when that expires.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        let is_on_previous_claim = now < self.previous_claim_until && now < self.may_order_from;
        is_on_previous_claim.then_some(self.may_order_from)
    }

    /// Records that a read sent at `asked_at` showed the key with this node's revision.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(asked_at);
    }

    /// Time since the ownership was last confirmed.
    pub fn confirmation_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Whether an order may be sent at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_base::{StoreEra, StoreNumber};
    /// use nutmegsail_relay::{OrderPermit, Ownership, OwnershipRules, Predecessor};
    /// let claim = StoreNumber::in_era(StoreEra(1), 7);
    /// let seconds = Duration::from_secs;
    /// let rules = OwnershipRules { hand_over: seconds(3), confirmation: seconds(2) };
    /// let now = seconds(10);
    /// let mut owned = Ownership::claimed(claim, Predecessor::None, rules, now, now);
    /// assert_eq!(owned.permit(seconds(11)), OrderPermit::Granted { claim });
    /// assert_eq!(owned.permit(seconds(13)), OrderPermit::Unconfirmed);
    /// ```
    pub fn permit(&self, now: Duration) -> OrderPermit {
        if self.has_lost_claim() {
            return OrderPermit::Unconfirmed;
        }
        if now < self.may_order_from && now < self.previous_claim_until {
            return OrderPermit::Granted { claim: self.claim };
        }
        if now < self.may_order_from {
            return OrderPermit::Settling {
                until: self.may_order_from,
            };
        }
        if now >= self.confirmed_at + self.rules.confirmation {
            return OrderPermit::Unconfirmed;
        }
        OrderPermit::Granted { claim: self.claim }
    }
}
