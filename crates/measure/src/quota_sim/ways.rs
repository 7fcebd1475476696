//! Ways to keep a quota over many nodes.

use std::time::Duration;

use nutmegsail_base::TeamName;
use nutmegsail_quota::{
    Account, InitialFill, Lender, LoanId, LoanRequest, Quota, QuotaBounds, Quotas,
};

/// How often nodes tell each other their demand, where shares follow it.
const NEWS_INTERVAL: Duration = Duration::from_millis(200);

/// How often a request looks for tokens before it is refused.
const LOOKS: usize = 3;

/// How a quota is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaWay {
    /// Each node has the same share.
    EqualShares,
    /// Shares follow the demand that nodes told a moment ago.
    DemandShares,
    /// Nodes borrow from lenders.
    Lenders,
}

/// The nodes of a fleet and what they hold of each team's quota.
pub(crate) enum Keeper {
    Shares(Shares),
    Lent(Lent),
}

impl Keeper {
    pub(crate) fn new(way: QuotaWay, bounds: QuotaBounds, quotas: &[Quota], nodes: usize) -> Self {
        match way {
            QuotaWay::EqualShares => Self::Shares(Shares::new(bounds, quotas, nodes, false)),
            QuotaWay::DemandShares => Self::Shares(Shares::new(bounds, quotas, nodes, true)),
            QuotaWay::Lenders => Self::Lent(Lent::new(bounds, quotas, nodes)),
        }
    }

    /// Whether a request of `team` at `node` is served; `cut` is the failure domain that is cut off.
    pub(crate) fn ask(
        &mut self,
        node: usize,
        team: usize,
        tokens: u32,
        cut: Option<usize>,
        now: Duration,
    ) -> bool {
        match self {
            Self::Shares(shares) => shares.ask(node, team, tokens, cut, now),
            Self::Lent(lent) => lent.ask(node, team, tokens, cut, now),
        }
    }

    /// Messages between nodes so far.
    pub(crate) fn messages(&self) -> u64 {
        match self {
            Self::Shares(shares) => shares.messages,
            Self::Lent(lent) => lent.messages,
        }
    }
}

/// A bucket at each node, whose rate is a share of the quota.
pub(crate) struct Shares {
    bounds: QuotaBounds,
    quotas: Vec<Quota>,
    nodes: usize,
    follows_demand: bool,
    /// By team, then node.
    buckets: Vec<Vec<NodeBucket>>,
    news_at: Duration,
    messages: u64,
}

#[derive(Clone, Copy)]
struct NodeBucket {
    share: f64,
    level: f64,
    at: Duration,
    /// Tokens asked for since the last news.
    asked: f64,
}

impl Shares {
    fn new(bounds: QuotaBounds, quotas: &[Quota], nodes: usize, follows_demand: bool) -> Self {
        let share = 1.0 / nodes as f64;
        let buckets = quotas.iter().map(|quota| {
            let bucket = NodeBucket {
                share,
                level: capacity(bounds, *quota) * share,
                at: Duration::ZERO,
                asked: 0.0,
            };
            vec![bucket; nodes]
        });
        Self {
            bounds,
            quotas: quotas.to_vec(),
            nodes,
            follows_demand,
            buckets: buckets.collect(),
            news_at: Duration::ZERO,
            messages: 0,
        }
    }

    fn ask(
        &mut self,
        node: usize,
        team: usize,
        tokens: u32,
        cut: Option<usize>,
        now: Duration,
    ) -> bool {
        if self.follows_demand && now >= self.news_at + NEWS_INTERVAL {
            self.news_at = now;
            self.share_anew(cut);
        }
        let quota = self.quotas[team];
        let all = capacity(self.bounds, quota);
        let bucket = &mut self.buckets[team][node];
        let passed_s = now.saturating_sub(bucket.at).as_secs_f64();
        bucket.at = now;
        bucket.level += quota.tokens_per_s * bucket.share * passed_s;
        bucket.level = bucket.level.min(all * bucket.share);
        bucket.asked += f64::from(tokens);
        let has_room = bucket.level >= f64::from(tokens);
        if has_room {
            bucket.level -= f64::from(tokens);
        }
        has_room
    }

    /// Shares by the demand since the last news; nodes that are cut off keep what they have.
    fn share_anew(&mut self, cut: Option<usize>) {
        for buckets in &mut self.buckets {
            let is_heard = |node: usize| Some(node % DOMAINS) != cut;
            let heard = buckets
                .iter()
                .enumerate()
                .filter(|(node, _)| is_heard(*node));
            let (mut asked, mut shares) = (0.0, 0.0);
            for (_, bucket) in heard {
                asked += bucket.asked;
                shares += bucket.share;
            }
            for (node, bucket) in buckets.iter_mut().enumerate() {
                if is_heard(node) && asked > 0.0 {
                    // Half of the old share stays, so that one busy moment does not take it all.
                    bucket.share = 0.5 * bucket.share + 0.5 * shares * bucket.asked / asked;
                }
                bucket.asked = 0.0;
            }
        }
        self.messages += 2 * self.nodes as u64;
    }
}

/// Failure domains of the fleets.
pub(crate) const DOMAINS: usize = 3;

/// The lenders and accounts that nodes run.
pub(crate) struct Lent {
    lenders: Vec<Lender>,
    accounts: Vec<Account>,
    teams: Vec<TeamName>,
    messages: u64,
}

impl Lent {
    fn new(bounds: QuotaBounds, quotas: &[Quota], nodes: usize) -> Self {
        let teams: Vec<TeamName> = (0..quotas.len())
            .map(|team| format!("team-{team}").into())
            .collect();
        let by_name: Quotas = teams.iter().cloned().zip(quotas.iter().copied()).collect();
        let lender = || {
            let mut lender = Lender::new(bounds, InitialFill::Full, LoanId(0));
            lender.set_quotas(&by_name, Duration::ZERO);
            lender
        };
        Self {
            lenders: (0..DOMAINS).map(|_| lender()).collect(),
            accounts: vec![Account::default(); nodes],
            teams,
            messages: 0,
        }
    }

    fn ask(
        &mut self,
        node: usize,
        team: usize,
        tokens: u32,
        cut: Option<usize>,
        now: Duration,
    ) -> bool {
        let team = self.teams[team].clone();
        let home = node % DOMAINS;
        self.accounts[node].record_demand(&team, tokens, now);
        for _ in 0..LOOKS {
            if self.accounts[node].reserve(&team, tokens, now).is_some() {
                return true;
            }
            let ask = self.accounts[node].loan_request(&team, tokens, now);
            let lent = self.lenders[home].lend_to_node(&ask, now);
            self.messages += 2;
            self.accounts[node].add_loan(&lent, now);
            if lent.tokens == 0 {
                self.borrow_requests(&team, home, cut, now);
            }
        }
        false
    }

    fn borrow_requests(&mut self, team: &TeamName, home: usize, cut: Option<usize>, now: Duration) {
        let asks: Vec<LoanRequest> = self.lenders[home].borrow_requests(team, DOMAINS - 1, now);
        let others = (0..DOMAINS).filter(|other| *other != home);
        for (other, ask) in others.zip(asks) {
            if cut != Some(home) && cut != Some(other) {
                let lent = self.lenders[other].lend_to_lender(&ask, now);
                self.lenders[home].receive_loan(&lent, now);
                self.messages += 2;
            }
        }
    }
}

/// What all buckets of a team hold at most, in every way.
pub(crate) fn capacity(bounds: QuotaBounds, quota: Quota) -> f64 {
    let within = quota.tokens_per_s * bounds.window.as_secs_f64() + quota.burst_tokens;
    quota.burst_tokens + within * bounds.over_ratio + bounds.slack_tokens
}
