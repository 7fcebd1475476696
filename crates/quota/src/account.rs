//! Tokens that one node has borrowed and not spent yet.

use std::collections::HashMap;
use std::time::Duration;

use crate::{Ask, AskId, GRANT_LIFE, Lent};
use nutmegsail_base::TeamName;

/// Half-life of a team's recorded demand at this node, in seconds.
const DEMAND_HALF_LIFE_S: f64 = 1.0;

/// How long the state of a team without requests is kept.
const IDLE_LIFE: Duration = Duration::from_secs(10);

/// The borrowed tokens of all teams that one node can spend.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_quota::{Account, Lent};
/// let (mut account, now) = (Account::default(), Duration::from_secs(5));
/// let team = "desk".into();
/// assert!(account.take(&team, 700, now).is_none());
/// let ask = account.ask(&team, 700, now);
/// let lent = Lent { id: ask.id, team: ask.team, tokens: 1_500, wait_ms: 0 };
/// account.put(&lent, now);
/// assert!(account.take(&team, 700, now).is_some());
/// assert!(account.take(&team, 700, now + Duration::from_secs(1)).is_none(), "they have expired");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Account {
    teams: HashMap<TeamName, Held>,
    asks: u64,
}

/// Tokens reserved for one request.
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub struct Reservation {
    team: TeamName,
    parts: Vec<Grant>,
}

impl Reservation {
    /// Whether none of the tokens have expired.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.parts.iter().all(|part| now < part.expires)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    tokens: u32,
    expires: Duration,
}

#[derive(Clone, Debug, Default)]
struct Held {
    grants: Vec<Grant>,
    demand_tokens: f64,
    demand_at: Duration,
}

impl Account {
    /// An empty account whose first request has the id after `first`. A restarted node must pass
    /// another value, so that it does not accept replies meant for its previous process.
    pub fn new(first: AskId) -> Self {
        Self {
            teams: HashMap::new(),
            asks: first.0,
        }
    }

    /// Reserves tokens for a request, if enough unexpired ones are held.
    pub fn take(&mut self, team: &TeamName, tokens: u32, now: Duration) -> Option<Reservation> {
        let held = self.teams.get_mut(team)?;
        held.grants.retain(|grant| now < grant.expires);
        let all: u64 = held
            .grants
            .iter()
            .map(|grant| u64::from(grant.tokens))
            .sum();
        if all < u64::from(tokens) {
            return None;
        }
        // Spend the tokens that expire first.
        held.grants.sort_by_key(|grant| grant.expires);
        let mut left = tokens;
        let mut parts = Vec::new();
        for grant in &mut held.grants {
            let part = grant.tokens.min(left);
            grant.tokens -= part;
            left -= part;
            if part > 0 {
                let expires = grant.expires;
                parts.push(Grant {
                    tokens: part,
                    expires,
                });
            }
        }
        held.grants.retain(|grant| grant.tokens > 0);
        Some(Reservation {
            team: team.clone(),
            parts,
        })
    }

    /// Returns reserved tokens that the request did not spend. Expired ones are dropped.
    pub fn give_back(&mut self, reservation: Reservation, now: Duration) {
        let held = self.teams.entry(reservation.team).or_default();
        let fresh = reservation
            .parts
            .into_iter()
            .filter(|part| now < part.expires);
        held.grants.extend(fresh);
    }

    /// Creates a loan request for the tokens that a request needs, plus extra for the requests that
    /// are expected in the next half [`GRANT_LIFE`].
    pub fn ask(&mut self, team: &TeamName, need_tokens: u32, now: Duration) -> Ask {
        self.teams
            .retain(|_, held| now.saturating_sub(held.demand_at) < IDLE_LIFE);
        let held = self.teams.entry(team.clone()).or_default();
        let coming = held.demand_per_s(now) * GRANT_LIFE.as_secs_f64() / 2.0;
        self.asks = self.asks.wrapping_add(1);
        Ask {
            id: AskId(self.asks),
            team: team.clone(),
            need_tokens,
            extra_tokens: coming as u32,
        }
    }

    /// Records the demand of a request, from which [`ask`](Self::ask) estimates the extra tokens.
    pub fn note_demand(&mut self, team: &TeamName, tokens: u32, now: Duration) {
        let held = self.teams.entry(team.clone()).or_default();
        held.demand_tokens = held.remembered(now) + f64::from(tokens);
        held.demand_at = now;
    }

    /// Adds the tokens of a reply to a request made at `asked_at`.
    ///
    /// They expire [`GRANT_LIFE`] after the request, so a late reply does not extend their life.
    pub fn put(&mut self, lent: &Lent, asked_at: Duration) {
        if lent.tokens > 0 {
            let held = self.teams.entry(lent.team.clone()).or_default();
            held.grants.push(Grant {
                tokens: lent.tokens,
                expires: asked_at + GRANT_LIFE,
            });
        }
    }

    /// Number of a team's tokens that can be spent now.
    pub fn held_tokens(&self, team: &str, now: Duration) -> u64 {
        let grants = self.teams.get(team).map(|held| held.grants.iter());
        let fresh = grants
            .into_iter()
            .flatten()
            .filter(|grant| now < grant.expires);
        fresh.map(|grant| u64::from(grant.tokens)).sum()
    }
}

impl Held {
    fn remembered(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_tokens * 0.5_f64.powf(age_s / DEMAND_HALF_LIFE_S)
    }

    /// Estimates the demand rate. With exponential decay a steady rate `r` accumulates to `r` times
    /// the half-life divided by ln 2, so this inverts that.
    fn demand_per_s(&self, now: Duration) -> f64 {
        self.remembered(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }
}
