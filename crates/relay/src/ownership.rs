//! When the owner of an engine may send it orders.

use std::time::Duration;

use nutmegsail_base::StoreNumber;

/// The times that ownership keeps to. All are differences of a clock that counts suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipRules {
    /// Orders of two owners must be at least this far apart.
    pub hand_over: Duration,
    /// How long a confirmed ownership is relied on.
    pub confirmation: Duration,
}

impl OwnershipRules {
    /// How long a new owner waits, if another one may have orders on their way: the one before relies on its last
    /// confirmation for a while, and its orders must be over for the time of a hand-over.
    pub fn wait(self) -> Duration {
        self.confirmation + self.hand_over + ORDER_TRAVEL
    }
}

/// What added to the times below covers an order's way to the engine, which is some milliseconds
/// when links are sound.
const ORDER_TRAVEL: Duration = Duration::from_millis(400);

/// Whether an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPermit {
    /// It may, under this claim.
    Granted {
        /// The revision that wrote the claim.
        claim: StoreNumber,
    },
    /// The ownership is to be confirmed at the store first.
    Unconfirmed,
    /// The owner before may still have orders on their way.
    Settling {
        /// When orders may begin.
        until: Duration,
    },
}

/// Whose orders may be on their way to an engine when it is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// Nobody's.
    None,
    /// None but those that an earlier process of this node waited for, until then.
    Own {
        /// When that process would have begun.
        waits_until: Duration,
    },
    /// Another owner's.
    Another,
}

/// One engine that this node owns.
///
/// The store can take a key away without its holder seeing it, and an owner may be paused between
/// any two steps. Two rules keep the orders of two owners `hand_over` apart: an owner relies on a
/// read that showed its key for `confirmation` only, counted from before the read; and a new owner
/// waits `confirmation + hand_over` from the time it took the key, unless its own earlier process
/// held it before and had waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    claim: StoreNumber,
    rules: OwnershipRules,
    confirmed_at: Duration,
    may_order_from: Duration,
    /// Until when an earlier claim of this process, which went with the store's history, lets it order.
    carried_until: Duration,
    /// When its claim went with the store's history.
    lapsed_at: Option<Duration>,
}

impl Ownership {
    /// An engine whose key was written at revision `claim` by a call sent at `asked_at`.
    pub fn taken(
        claim: StoreNumber,
        predecessor: Predecessor,
        rules: OwnershipRules,
        asked_at: Duration,
        now: Duration,
    ) -> Self {
        let may_order_from = match predecessor {
            Predecessor::None => now,
            Predecessor::Own { waits_until } => waits_until.min(now + rules.wait()),
            Predecessor::Another => now + rules.wait(),
        };
        Self {
            claim,
            rules,
            confirmed_at: asked_at,
            may_order_from,
            carried_until: Duration::ZERO,
            lapsed_at: None,
        }
    }

    /// From when on orders may be sent.
    pub fn may_order_from(&self) -> Duration {
        self.may_order_from
    }

    /// Takes in that its claim is gone with the store's history. No order may be sent until it is [`retaken`](Self::retaken).
    pub fn lapse(&mut self, now: Duration) {
        self.lapsed_at.get_or_insert(now);
    }

    /// Whether its claim is gone with the store's history.
    pub fn is_lapsed(&self) -> bool {
        self.lapsed_at.is_some()
    }

    /// The same engine, claimed anew at revision `claim` by a call sent at `asked_at`, after the claim before had lapsed.
    ///
    /// Another node may have claimed it in the history that is gone, and may not know that it is. It claimed after this
    /// process's last confirmation, so its orders begin `confirmation + hand_over` later at the earliest, and end
    /// `confirmation` after the new claim. If that leaves it no time, this process goes on at once; else it goes on as long
    /// as its old confirmation holds, and begins anew after the other's end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_base::{StoreEra, StoreNumber};
    /// use nutmegsail_relay::{OrderPermit, Ownership, OwnershipRules, Predecessor};
    /// let claim = StoreNumber::of(StoreEra(1), 7);
    /// let seconds = Duration::from_secs;
    /// let rules = OwnershipRules { hand_over: seconds(3), confirmation: seconds(4) };
    /// let mut owned = Ownership::taken(claim, Predecessor::None, rules, seconds(10), seconds(10));
    /// owned.lapse(seconds(11));
    /// assert_eq!(owned.permit(seconds(11)), OrderPermit::Unconfirmed);
    /// let anew = StoreNumber::of(StoreEra(2), 5);
    /// let again = owned.retaken(anew, rules, seconds(12), seconds(12));
    /// assert_eq!(again.permit(seconds(12)), OrderPermit::Granted { claim: anew });
    /// ```
    pub fn retaken(
        &self,
        claim: StoreNumber,
        rules: OwnershipRules,
        asked_at: Duration,
        now: Duration,
    ) -> Self {
        let had_turn = self.lapsed_at.is_some_and(|at| at >= self.may_order_from);
        let age = now.saturating_sub(self.confirmed_at);
        let predecessor = match had_turn && age <= rules.hand_over + ORDER_TRAVEL {
            true => Predecessor::None,
            false => Predecessor::Another,
        };
        let carried_until = match had_turn {
            true => self.confirmed_at + self.rules.confirmation,
            false => Duration::ZERO,
        };
        Self {
            carried_until,
            ..Self::taken(claim, predecessor, rules, asked_at, now)
        }
    }

    /// The revision that wrote the claim.
    pub fn claim(&self) -> StoreNumber {
        self.claim
    }

    /// When orders end and begin anew, if it goes on by an earlier claim at `now`.
    pub fn begins_anew_at(&self, now: Duration) -> Option<Duration> {
        let goes_on = now < self.carried_until && now < self.may_order_from;
        goes_on.then_some(self.may_order_from)
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
    /// use nutmegsail_base::{StoreEra, StoreNumber};
    /// use nutmegsail_relay::{OrderPermit, Ownership, OwnershipRules, Predecessor};
    /// let claim = StoreNumber::of(StoreEra(1), 7);
    /// let seconds = Duration::from_secs;
    /// let rules = OwnershipRules { hand_over: seconds(3), confirmation: seconds(2) };
    /// let mut owned = Ownership::taken(claim, Predecessor::None, rules, seconds(10), seconds(10));
    /// assert_eq!(owned.permit(seconds(11)), OrderPermit::Granted { claim });
    /// assert_eq!(owned.permit(seconds(13)), OrderPermit::Unconfirmed);
    /// ```
    pub fn permit(&self, now: Duration) -> OrderPermit {
        if self.is_lapsed() {
            return OrderPermit::Unconfirmed;
        }
        if now < self.may_order_from && now < self.carried_until {
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
