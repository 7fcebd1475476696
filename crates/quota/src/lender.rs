//! The lender of one failure domain: holds the teams' token buckets and lends from them.

use std::collections::HashMap;
use std::time::Duration;

use crate::bucket::Bucket;
use crate::{Ask, AskId, GRANT_LIFE, Lent, Quota, QuotaBounds, Quotas};
use nutmegsail_base::TeamName;

/// Fraction of a bucket's capacity that is reserved for tokens that nodes need now. Extra tokens
/// and tokens for other lenders are lent only from what is above it.
const KEPT_SHARE: f64 = 0.3;

/// Minimum time between two rounds of requests to other lenders for one team.
const BORROW_INTERVAL: Duration = Duration::from_millis(30);

/// How long after a refused request a bucket may hold more than its capacity. Without this, a
/// request that needs more than the capacity could never be met with tokens from other lenders.
const NEED_LIFE: Duration = Duration::from_millis(200);

/// Longest wait in a reply. Demand changes within seconds, so a longer estimate would not hold.
const LONGEST_WAIT: Duration = Duration::from_secs(4);

/// How long the bucket of a team is kept after its quota was removed, so that restoring the quota
/// does not grant a second burst.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How full the buckets of a new lender are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstFill {
    /// Full: no lender has lent from them before.
    Full,
    /// Empty: how much the previous lender has lent is unknown.
    Empty,
}

/// Lends tokens from one failure domain's buckets.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_quota::{Ask, AskId, FirstFill, Lender, Quota, QuotaBounds, Quotas};
/// let bounds = QuotaBounds::default();
/// let quota = Quota { tokens_per_s: 1_000.0, burst_tokens: 1_000.0 };
/// let mut lender = Lender::new(bounds, FirstFill::Full, AskId(7));
/// lender.set_quotas(&Quotas::from([("desk".into(), quota)]), Duration::ZERO);
/// let ask = Ask { id: AskId(1), team: "desk".into(), need_tokens: 700, extra_tokens: 0 };
/// assert_eq!(lender.ask(&ask, Duration::ZERO).tokens, 700);
/// let refused = lender.ask(&ask, Duration::ZERO);
/// assert_eq!((refused.tokens, refused.wait_ms > 0), (0, true));
/// ```
#[derive(Clone, Debug)]
pub struct Lender {
    bounds: QuotaBounds,
    first_fill: FirstFill,
    teams: HashMap<TeamName, TeamBucket>,
    asks: u64,
    /// Unanswered requests to other lenders, with the time of each.
    open: HashMap<AskId, Duration>,
}

#[derive(Clone, Debug)]
struct TeamBucket {
    quota: Option<Quota>,
    quota_since: Duration,
    bucket: Bucket,
    /// The last request that was refused for lack of tokens.
    unmet: Option<Unmet>,
    /// When there are enough tokens for every refused node that was told to ask again.
    returns_until: Duration,
    borrowed_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Unmet {
    tokens: f64,
    at: Duration,
}

impl Lender {
    /// Creates a lender whose buckets start as `first_fill` says. Its first request to another
    /// lender has the id after `first`, which must differ for each new lender, so that it does not
    /// accept replies meant for the previous one.
    pub fn new(bounds: QuotaBounds, first_fill: FirstFill, first: AskId) -> Self {
        Self {
            bounds,
            first_fill,
            teams: HashMap::new(),
            asks: first.0,
            open: HashMap::new(),
        }
    }

    /// Applies the quotas in force. If a quota was lowered, tokens above the new capacity cannot be
    /// lent any more.
    pub fn set_quotas(&mut self, quotas: &Quotas, now: Duration) {
        for (team, known) in &mut self.teams {
            known.fill(&self.bounds, now);
            let quota = quotas.get(team).copied();
            if quota.is_some() != known.quota.is_some() {
                known.quota_since = now;
            }
            known.quota = quota;
        }
        self.teams.retain(|_, known| {
            known.quota.is_some() || now.saturating_sub(known.quota_since) < FORGET_AFTER
        });
        for (team, quota) in quotas {
            if !self.teams.contains_key(team) {
                let level = match self.first_fill {
                    FirstFill::Full => self.bounds.lender_capacity(*quota),
                    FirstFill::Empty => 0.0,
                };
                let known = TeamBucket::new(*quota, level, now);
                self.teams.insert(team.clone(), known);
            }
        }
    }

    /// Lends to a node: all tokens that it needs, and extra ones if there are enough; or none.
    pub fn ask(&mut self, ask: &Ask, now: Duration) -> Lent {
        let bounds = self.bounds;
        let Some(team) = self.teams.get_mut(&ask.team) else {
            return lent(ask, 0.0, Duration::ZERO);
        };
        team.fill(&bounds, now);
        let need = f64::from(ask.need_tokens);
        let level = team.bucket.level_tokens();
        if level < need {
            team.unmet = Some(Unmet {
                tokens: need,
                at: now,
            });
            return lent(ask, 0.0, team.wait(&bounds, need, now));
        }
        let kept = KEPT_SHARE * team.capacity(&bounds);
        let spare = (level - need - kept).max(0.0).floor();
        let tokens = need + spare.min(f64::from(ask.extra_tokens));
        team.bucket.take(tokens);
        lent(ask, tokens, Duration::ZERO)
    }

    /// Lends to the lender of another failure domain whose callers need more than that domain's
    /// share of the rate.
    pub fn lender_ask(&mut self, ask: &Ask, now: Duration) -> Lent {
        let bounds = self.bounds;
        let Some(team) = self.teams.get_mut(&ask.team) else {
            return lent(ask, 0.0, Duration::ZERO);
        };
        team.fill(&bounds, now);
        let kept = KEPT_SHARE * team.capacity(&bounds);
        let spare = (team.bucket.level_tokens() - kept).max(0.0).floor();
        let tokens = spare.min(f64::from(ask.need_tokens));
        team.bucket.take(tokens);
        lent(ask, tokens, Duration::ZERO)
    }

    /// The tokens in the bucket of each team that has a quota.
    pub fn levels(&mut self, now: Duration) -> Vec<(TeamName, f64)> {
        let mut levels = Vec::new();
        for (name, team) in &mut self.teams {
            team.fill(&self.bounds, now);
            if team.quota.is_some() {
                levels.push((name.clone(), team.bucket.level_tokens()));
            }
        }
        levels
    }

    /// Creates a request to each of `lenders` other lenders for the tokens that the team's last
    /// refused request lacked. Empty if none was refused recently, or if the other lenders were
    /// asked a moment ago.
    pub fn borrow(&mut self, team: &TeamName, lenders: usize, now: Duration) -> Vec<Ask> {
        let Some(short) = self.short_of(team, now) else {
            return Vec::new();
        };
        self.open
            .retain(|_, asked_at| now.saturating_sub(*asked_at) < GRANT_LIFE);
        let asks = (0..lenders).map(|_| {
            self.asks = self.asks.wrapping_add(1);
            let id = AskId(self.asks);
            self.open.insert(id, now);
            Ask {
                id,
                team: team.clone(),
                need_tokens: short.ceil() as u32,
                extra_tokens: 0,
            }
        });
        asks.collect()
    }

    /// The number of tokens that `team`'s bucket lacks, if other lenders should be asked now.
    fn short_of(&mut self, team: &TeamName, now: Duration) -> Option<f64> {
        let known = self.teams.get_mut(team)?;
        let unmet = known.unmet_at(now)?;
        let is_early = |at| now.saturating_sub(at) < BORROW_INTERVAL;
        if known.borrowed_at.is_some_and(is_early) {
            return None;
        }
        known.borrowed_at = Some(now);
        Some((unmet - known.bucket.level_tokens()).max(1.0))
    }

    /// Adds the tokens that another lender has lent. A duplicate reply, or one to an unknown
    /// request, is ignored: its tokens would be counted twice.
    pub fn take_lent(&mut self, lent: &Lent, now: Duration) {
        if self.open.remove(&lent.id).is_none() {
            return;
        }
        if let Some(team) = self.teams.get_mut(&lent.team) {
            team.fill(&self.bounds, now);
            team.bucket.put(f64::from(lent.tokens));
        }
    }
}

impl TeamBucket {
    fn new(quota: Quota, level_tokens: f64, now: Duration) -> Self {
        Self {
            quota: Some(quota),
            quota_since: now,
            bucket: Bucket::new(level_tokens, now),
            unmet: None,
            returns_until: Duration::ZERO,
            borrowed_at: None,
        }
    }

    fn capacity(&self, bounds: &QuotaBounds) -> f64 {
        self.quota
            .map_or(0.0, |quota| bounds.lender_capacity(quota))
    }

    fn fill(&mut self, bounds: &QuotaBounds, now: Duration) {
        let rate = self.quota.map_or(0.0, |quota| bounds.lender_rate(quota));
        let unmet = self.unmet_at(now).unwrap_or(0.0);
        let capacity = self.capacity(bounds);
        // Refilling stops at the capacity; only borrowed tokens can exceed it.
        let level = self.bucket.level_tokens();
        let filled_to = capacity.max(level.min(unmet));
        self.bucket.fill(rate, filled_to, now);
    }

    fn unmet_at(&self, now: Duration) -> Option<f64> {
        let unmet = self.unmet?;
        (now.saturating_sub(unmet.at) < NEED_LIFE).then_some(unmet.tokens)
    }

    /// How long a refused node should wait until there are enough tokens for it and for all nodes
    /// refused before it.
    fn wait(&mut self, bounds: &QuotaBounds, need_tokens: f64, now: Duration) -> Duration {
        let rate = self.quota.map_or(0.0, |quota| bounds.lender_rate(quota));
        if rate <= 0.0 {
            return LONGEST_WAIT;
        }
        let level = self.bucket.level_tokens();
        let missing_s = (need_tokens - level).max(0.0) / rate;
        let first = now + Duration::from_secs_f64(missing_s.min(LONGEST_WAIT.as_secs_f64()));
        let after_others_s = (need_tokens / rate).min(LONGEST_WAIT.as_secs_f64());
        let after_others = self.returns_until + Duration::from_secs_f64(after_others_s);
        let at = first.max(after_others).min(now + LONGEST_WAIT);
        self.returns_until = at;
        at.saturating_sub(now)
    }
}

fn lent(ask: &Ask, tokens: f64, wait: Duration) -> Lent {
    Lent {
        id: ask.id,
        team: ask.team.clone(),
        tokens: tokens as u32,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}
