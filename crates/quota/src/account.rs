//! Tokens that one node has borrowed and not spent yet.

use std::collections::HashMap;
use std::time::Duration;

use crate::{LOAN_TTL, LoanId, LoanReply, LoanRequest};
use nutmegsail_base::TeamName;

/// Half-life of a team's recorded demand at this node, in seconds.
const DEMAND_HALF_LIFE_S: f64 = 1.0;

/// How many requests of a team must be expected in half of [`LOAN_TTL`] for tokens to be borrowed
/// ahead. With fewer, most of these tokens would expire unspent.
const MIN_EXPECTED_REQUESTS: f64 = 2.0;

/// How long the state of a team without requests is kept.
const IDLE_TEAM_TTL: Duration = Duration::from_secs(10);

/// The borrowed tokens of all teams that one node can spend.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_quota::{Account, LoanReply};
/// let (mut account, now) = (Account::default(), Duration::from_secs(5));
/// let team = "desk".into();
/// assert!(account.reserve(&team, 700, now).is_none());
/// let ask = account.loan_request(&team, 700, now);
/// let lent = LoanReply { id: ask.id, team: ask.team, tokens: 1_500, wait_ms: 0 };
/// account.add_loan(&lent, now);
/// assert!(account.reserve(&team, 700, now).is_some());
/// assert!(account.reserve(&team, 700, now + Duration::from_secs(1)).is_none(), "they have expired");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Account {
    teams: HashMap<TeamName, TeamAccount>,
    last_loan_id: u64,
}

/// Tokens reserved for one request.
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub struct Reservation {
    team: TeamName,
    parts: Vec<Loan>,
}

impl Reservation {
    /// Whether none of the tokens have expired.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.parts.iter().all(|part| now < part.expires)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Loan {
    tokens: u32,
    expires: Duration,
}

#[derive(Clone, Debug, Default)]
struct TeamAccount {
    loans: Vec<Loan>,
    demand_tokens: f64,
    demand_at: Duration,
}

impl Account {
    /// An empty account whose first request has the id after `id_seed`. A restarted node must pass
    /// another value, so that it does not accept replies meant for its previous process.
    pub fn new(id_seed: LoanId) -> Self {
        Self {
            teams: HashMap::new(),
            last_loan_id: id_seed.0,
        }
    }

    /// Reserves tokens for a request, if enough unexpired ones are held.
    pub fn reserve(&mut self, team: &TeamName, tokens: u32, now: Duration) -> Option<Reservation> {
        let team_account = self.teams.get_mut(team)?;
        team_account.loans.retain(|loan| now < loan.expires);
        let available: u64 = team_account
            .loans
            .iter()
            .map(|loan| u64::from(loan.tokens))
            .sum();
        if available < u64::from(tokens) {
            return None;
        }
        // Spend the tokens that expire first.
        team_account.loans.sort_by_key(|loan| loan.expires);
        let mut remaining = tokens;
        let mut parts = Vec::new();
        for loan in &mut team_account.loans {
            let part = loan.tokens.min(remaining);
            loan.tokens -= part;
            remaining -= part;
            if part > 0 {
                let expires = loan.expires;
                parts.push(Loan {
                    tokens: part,
                    expires,
                });
            }
        }
        team_account.loans.retain(|loan| loan.tokens > 0);
        Some(Reservation {
            team: team.clone(),
            parts,
        })
    }

    /// Returns reserved tokens that the request did not spend. Expired ones are dropped.
    pub fn release(&mut self, reservation: Reservation, now: Duration) {
        let team_account = self.teams.entry(reservation.team).or_default();
        let unexpired = reservation
            .parts
            .into_iter()
            .filter(|part| now < part.expires);
        team_account.loans.extend(unexpired);
    }

    /// Creates a loan request for the tokens that a request needs, plus extra for the requests that
    /// are expected in the next half [`LOAN_TTL`].
    pub fn loan_request(
        &mut self,
        team: &TeamName,
        need_tokens: u32,
        now: Duration,
    ) -> LoanRequest {
        self.teams
            .retain(|_, team_account| now.saturating_sub(team_account.demand_at) < IDLE_TEAM_TTL);
        let team_account = self.teams.entry(team.clone()).or_default();
        let expected_tokens = team_account.demand_per_s(now) * LOAN_TTL.as_secs_f64() / 2.0;
        self.last_loan_id = self.last_loan_id.wrapping_add(1);
        LoanRequest {
            id: LoanId(self.last_loan_id),
            team: team.clone(),
            need_tokens,
            extra_tokens: expected_tokens as u32,
        }
    }

    /// Creates a request for tokens of a team that will be needed soon, after a request for
    /// `tokens`. Returns `None` while enough are held, or if the team sends too little here.
    ///
    /// Its tokens are lent only if the lender can spare them. Without it, every request that finds
    /// no tokens waits for a lender, which takes long at a busy node or lender.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_quota::{Account, LoanId};
    /// let (mut account, team) = (Account::new(LoanId(0)), "desk".into());
    /// let mut now = Duration::from_secs(5);
    /// account.record_demand(&team, 200, now);
    /// assert_eq!(account.early_loan_request(&team, 200, now), None, "a single request");
    /// for _ in 0..20 {
    ///     now += Duration::from_millis(50);
    ///     account.record_demand(&team, 200, now);
    /// }
    /// let request = account.early_loan_request(&team, 200, now);
    /// assert_eq!(request.map(|request| request.need_tokens), Some(0));
    /// ```
    pub fn early_loan_request(
        &mut self,
        team: &TeamName,
        tokens: u32,
        now: Duration,
    ) -> Option<LoanRequest> {
        let expected_tokens =
            self.teams.get(team)?.demand_per_s(now) * LOAN_TTL.as_secs_f64() / 2.0;
        let is_steady = expected_tokens >= MIN_EXPECTED_REQUESTS * f64::from(tokens);
        let held_tokens = self.available_tokens(team, now) as f64;
        let is_due = is_steady && held_tokens < expected_tokens / 2.0;
        is_due.then(|| self.loan_request(team, 0, now))
    }

    /// Records the demand of a request, from which [`loan_request`](Self::loan_request) estimates
    /// the extra tokens.
    pub fn record_demand(&mut self, team: &TeamName, tokens: u32, now: Duration) {
        let team_account = self.teams.entry(team.clone()).or_default();
        team_account.demand_tokens = team_account.decayed_demand(now) + f64::from(tokens);
        team_account.demand_at = now;
    }

    /// Adds the tokens of a reply to a request made at `asked_at`.
    ///
    /// They expire [`LOAN_TTL`] after the request, so a late reply does not extend their life.
    pub fn add_loan(&mut self, lent: &LoanReply, asked_at: Duration) {
        if lent.tokens > 0 {
            let team_account = self.teams.entry(lent.team.clone()).or_default();
            team_account.loans.push(Loan {
                tokens: lent.tokens,
                expires: asked_at + LOAN_TTL,
            });
        }
    }

    /// Number of a team's tokens that can be spent now.
    pub fn available_tokens(&self, team: &str, now: Duration) -> u64 {
        let loans = self
            .teams
            .get(team)
            .map(|team_account| team_account.loans.iter());
        let unexpired = loans
            .into_iter()
            .flatten()
            .filter(|loan| now < loan.expires);
        unexpired.map(|loan| u64::from(loan.tokens)).sum()
    }
}

impl TeamAccount {
    fn decayed_demand(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_tokens * 0.5_f64.powf(age_s / DEMAND_HALF_LIFE_S)
    }

    /// Estimates the demand rate. With exponential decay a steady rate `r` accumulates to `r` times
    /// the half-life divided by ln 2, so this inverts that.
    fn demand_per_s(&self, now: Duration) -> f64 {
        self.decayed_demand(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }
}
