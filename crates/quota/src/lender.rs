//! The lender of one failure domain: holds the teams' token buckets and lends from them.

use std::collections::HashMap;
use std::time::Duration;

use crate::bucket::Bucket;
use crate::{LOAN_TTL, LoanId, LoanReply, LoanRequest, Quota, QuotaBounds, Quotas};
use nutmegsail_base::TeamName;

/// Fraction of a bucket's capacity that is reserved for tokens that nodes need now. Extra tokens
/// and tokens for other lenders are lent only from what is above it.
const RESERVED_SHARE: f64 = 0.3;

/// Minimum time between two rounds of requests to other lenders for one team.
const MIN_BORROW_INTERVAL: Duration = Duration::from_millis(30);

/// How long after a refused request a bucket may hold more than its capacity. Without this, a
/// request that needs more than the capacity could never be met with tokens from other lenders.
const UNMET_NEED_TTL: Duration = Duration::from_millis(200);

/// Longest wait in a reply. Demand changes within seconds, so a longer estimate would not hold.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// How long the bucket of a team is kept after its quota was removed, so that restoring the quota
/// does not grant a second burst.
const REMOVED_QUOTA_TTL: Duration = Duration::from_secs(60);

/// How full the buckets of a new lender are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialFill {
    /// Full: no lender has lent from them before.
    Full,
    /// Empty: how much the previous lender has lent is unknown.
    Empty,
}

/// Lends tokens from one failure domain's buckets.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_quota::{InitialFill, Lender, LoanId, LoanRequest, Quota, QuotaBounds, Quotas};
/// let bounds = QuotaBounds::default();
/// let quota = Quota { tokens_per_s: 1_000.0, burst_tokens: 1_000.0 };
/// let mut lender = Lender::new(bounds, InitialFill::Full, LoanId(7));
/// lender.set_quotas(&Quotas::from([("desk".into(), quota)]), Duration::ZERO);
/// let ask = LoanRequest { id: LoanId(1), team: "desk".into(), need_tokens: 700, extra_tokens: 0 };
/// assert_eq!(lender.lend_to_node(&ask, Duration::ZERO).tokens, 700);
/// let refused = lender.lend_to_node(&ask, Duration::ZERO);
/// assert_eq!((refused.tokens, refused.wait_ms > 0), (0, true));
/// ```
#[derive(Clone, Debug)]
pub struct Lender {
    bounds: QuotaBounds,
    first_fill: InitialFill,
    teams: HashMap<TeamName, TeamBucket>,
    last_loan_id: u64,
    /// Unanswered requests to other lenders, with the time of each.
    unanswered: HashMap<LoanId, Duration>,
}

#[derive(Clone, Debug)]
struct TeamBucket {
    quota: Option<Quota>,
    quota_changed_at: Duration,
    bucket: Bucket,
    /// The last request that was refused for lack of tokens.
    unmet: Option<UnmetNeed>,
    /// When there are enough tokens for every refused node that was told to ask again.
    promised_until: Duration,
    borrowed_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct UnmetNeed {
    tokens: f64,
    at: Duration,
}

impl Lender {
    /// Creates a lender whose buckets start as `first_fill` says. Its first request to another
    /// lender has the id after `id_seed`, which must differ for each new lender: otherwise it could
    /// accept replies meant for the previous one.
    pub fn new(bounds: QuotaBounds, first_fill: InitialFill, id_seed: LoanId) -> Self {
        Self {
            bounds,
            first_fill,
            teams: HashMap::new(),
            last_loan_id: id_seed.0,
            unanswered: HashMap::new(),
        }
    }

    /// Applies the quotas in force. If a quota was lowered, tokens above the new capacity cannot be
    /// lent any more.
    pub fn set_quotas(&mut self, quotas: &Quotas, now: Duration) {
        for (team, team_bucket) in &mut self.teams {
            team_bucket.refill(&self.bounds, now);
            let quota = quotas.get(team).copied();
            if quota.is_some() != team_bucket.quota.is_some() {
                team_bucket.quota_changed_at = now;
            }
            team_bucket.quota = quota;
        }
        self.teams.retain(|_, team_bucket| {
            team_bucket.quota.is_some()
                || now.saturating_sub(team_bucket.quota_changed_at) < REMOVED_QUOTA_TTL
        });
        for (team, quota) in quotas {
            if !self.teams.contains_key(team) {
                let level = match self.first_fill {
                    InitialFill::Full => self.bounds.lender_capacity(*quota),
                    InitialFill::Empty => 0.0,
                };
                let team_bucket = TeamBucket::new(*quota, level, now);
                self.teams.insert(team.clone(), team_bucket);
            }
        }
    }

    /// Lends to a node: all tokens that it needs, and extra ones if there are enough; or none.
    pub fn lend_to_node(&mut self, ask: &LoanRequest, now: Duration) -> LoanReply {
        let bounds = self.bounds;
        let Some(team) = self.teams.get_mut(&ask.team) else {
            return reply(ask, 0.0, Duration::ZERO);
        };
        team.refill(&bounds, now);
        let need = f64::from(ask.need_tokens);
        let level = team.bucket.level_tokens();
        if level < need {
            team.unmet = Some(UnmetNeed {
                tokens: need,
                at: now,
            });
            return reply(ask, 0.0, team.wait_time(&bounds, need, now));
        }
        let reserved = RESERVED_SHARE * team.capacity(&bounds);
        let spare = (level - need - reserved).max(0.0).floor();
        let tokens = need + spare.min(f64::from(ask.extra_tokens));
        team.bucket.take(tokens);
        reply(ask, tokens, Duration::ZERO)
    }

    /// Lends to the lender of another failure domain whose callers need more than that domain's
    /// share of the rate.
    pub fn lend_to_lender(&mut self, ask: &LoanRequest, now: Duration) -> LoanReply {
        let bounds = self.bounds;
        let Some(team) = self.teams.get_mut(&ask.team) else {
            return reply(ask, 0.0, Duration::ZERO);
        };
        team.refill(&bounds, now);
        let reserved = RESERVED_SHARE * team.capacity(&bounds);
        let spare = (team.bucket.level_tokens() - reserved).max(0.0).floor();
        let tokens = spare.min(f64::from(ask.need_tokens));
        team.bucket.take(tokens);
        reply(ask, tokens, Duration::ZERO)
    }

    /// The tokens in the bucket of each team that has a quota.
    pub fn bucket_levels(&mut self, now: Duration) -> Vec<(TeamName, f64)> {
        let mut levels = Vec::new();
        for (name, team) in &mut self.teams {
            team.refill(&self.bounds, now);
            if team.quota.is_some() {
                levels.push((name.clone(), team.bucket.level_tokens()));
            }
        }
        levels
    }

    /// Creates a request to each of `lenders` other lenders for the tokens that the team's last
    /// refused request lacked. Empty if none was refused recently, or if the other lenders were
    /// asked a moment ago.
    pub fn borrow_requests(
        &mut self,
        team: &TeamName,
        lenders: usize,
        now: Duration,
    ) -> Vec<LoanRequest> {
        let Some(missing_tokens) = self.shortfall(team, now) else {
            return Vec::new();
        };
        self.unanswered
            .retain(|_, asked_at| now.saturating_sub(*asked_at) < LOAN_TTL);
        let asks = (0..lenders).map(|_| {
            self.last_loan_id = self.last_loan_id.wrapping_add(1);
            let id = LoanId(self.last_loan_id);
            self.unanswered.insert(id, now);
            LoanRequest {
                id,
                team: team.clone(),
                need_tokens: missing_tokens.ceil() as u32,
                extra_tokens: 0,
            }
        });
        asks.collect()
    }

    /// The number of tokens that `team`'s bucket lacks, if other lenders should be asked now.
    fn shortfall(&mut self, team: &TeamName, now: Duration) -> Option<f64> {
        let team_bucket = self.teams.get_mut(team)?;
        let unmet = team_bucket.unmet_at(now)?;
        let is_too_soon = |at| now.saturating_sub(at) < MIN_BORROW_INTERVAL;
        if team_bucket.borrowed_at.is_some_and(is_too_soon) {
            return None;
        }
        team_bucket.borrowed_at = Some(now);
        Some((unmet - team_bucket.bucket.level_tokens()).max(1.0))
    }

    /// Adds the tokens that another lender has lent. A duplicate reply, or one to an unknown
    /// request, is ignored: its tokens would be counted twice.
    pub fn receive_loan(&mut self, reply: &LoanReply, now: Duration) {
        if self.unanswered.remove(&reply.id).is_none() {
            return;
        }
        if let Some(team) = self.teams.get_mut(&reply.team) {
            team.refill(&self.bounds, now);
            team.bucket.add(f64::from(reply.tokens));
        }
    }
}

impl TeamBucket {
    fn new(quota: Quota, level_tokens: f64, now: Duration) -> Self {
        Self {
            quota: Some(quota),
            quota_changed_at: now,
            bucket: Bucket::new(level_tokens, now),
            unmet: None,
            promised_until: Duration::ZERO,
            borrowed_at: None,
        }
    }

    fn capacity(&self, bounds: &QuotaBounds) -> f64 {
        self.quota
            .map_or(0.0, |quota| bounds.lender_capacity(quota))
    }

    fn refill(&mut self, bounds: &QuotaBounds, now: Duration) {
        let rate = self.quota.map_or(0.0, |quota| bounds.lender_rate(quota));
        let unmet = self.unmet_at(now).unwrap_or(0.0);
        let capacity = self.capacity(bounds);
        // Refilling stops at the capacity; only borrowed tokens can exceed it.
        let level = self.bucket.level_tokens();
        let filled_to = capacity.max(level.min(unmet));
        self.bucket.refill(rate, filled_to, now);
    }

    fn unmet_at(&self, now: Duration) -> Option<f64> {
        let unmet = self.unmet?;
        (now.saturating_sub(unmet.at) < UNMET_NEED_TTL).then_some(unmet.tokens)
    }

    /// How long a refused node should wait until there are enough tokens for it and for all nodes
    /// refused before it.
    fn wait_time(&mut self, bounds: &QuotaBounds, need_tokens: f64, now: Duration) -> Duration {
        let rate = self.quota.map_or(0.0, |quota| bounds.lender_rate(quota));
        if rate <= 0.0 {
            return MAX_WAIT;
        }
        let level = self.bucket.level_tokens();
        let missing_s = (need_tokens - level).max(0.0) / rate;
        let first = now + Duration::from_secs_f64(missing_s.min(MAX_WAIT.as_secs_f64()));
        let after_others_s = (need_tokens / rate).min(MAX_WAIT.as_secs_f64());
        let after_others = self.promised_until + Duration::from_secs_f64(after_others_s);
        let at = first.max(after_others).min(now + MAX_WAIT);
        self.promised_until = at;
        at.saturating_sub(now)
    }
}

fn reply(ask: &LoanRequest, tokens: f64, wait_time: Duration) -> LoanReply {
    LoanReply {
        id: ask.id,
        team: ask.team.clone(),
        tokens: tokens as u32,
        wait_ms: u32::try_from(wait_time.as_millis()).unwrap_or(u32::MAX),
    }
}
