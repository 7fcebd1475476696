//! What lenders and accounts give each team.

use std::time::Duration;

use nutmegsail_base::TeamName;
use nutmegsail_quota::{
    Account, InitialFill, LOAN_TTL, Lender, LoanId, LoanReply, LoanRequest, Quota, QuotaBounds,
    Quotas,
};

const SECOND: Duration = Duration::from_secs(1);
const QUOTA: Quota = Quota {
    tokens_per_s: 3_000.0,
    burst_tokens: 3_000.0,
};

fn three_domains() -> QuotaBounds {
    QuotaBounds {
        slack_tokens: 11_000.0,
        failure_domains: 3,
        ..QuotaBounds::default()
    }
}

fn quotas(quota: Quota) -> Quotas {
    Quotas::from([("desk".into(), quota)])
}

fn lender(fill: InitialFill) -> Lender {
    let mut lender = Lender::new(three_domains(), fill, LoanId(100));
    lender.set_quotas(&quotas(QUOTA), Duration::ZERO);
    lender
}

fn ask(need_tokens: u32) -> LoanRequest {
    LoanRequest {
        id: LoanId(7),
        team: "desk".into(),
        need_tokens,
        extra_tokens: 0,
    }
}

/// Borrows until the lender refuses; returns the number of tokens lent.
fn drain(lender: &mut Lender, need_tokens: u32, now: Duration) -> u32 {
    let mut all = 0;
    loop {
        let lent = lender.lend_to_node(&ask(need_tokens), now);
        all += lent.tokens;
        if lent.tokens == 0 {
            return all;
        }
    }
}

// Guards against a second burst when a lender is replaced: the new one must not lend tokens that
// the previous one may have lent already.
#[test]
fn a_lender_that_replaces_another_starts_with_empty_buckets() {
    let mut lender = lender(InitialFill::Empty);
    assert_eq!(drain(&mut lender, 100, Duration::ZERO), 0);
    let after = drain(&mut lender, 100, SECOND);
    // Its share of the rate and of the tolerated overrun, per second of the window.
    let most = three_domains().window_limit(QUOTA) / 3.0 / 8.0;
    assert!(
        after >= 900 && f64::from(after) <= most,
        "{after} of {most}"
    );
}

#[test]
fn the_first_lender_starts_with_its_share_of_burst_and_tolerance() {
    let mut lender = lender(InitialFill::Full);
    let all = drain(&mut lender, 100, Duration::ZERO);
    let limit = three_domains().window_limit(QUOTA) / 3.0;
    assert!(all > 1_000 && f64::from(all) < limit, "{all} of {limit}");
}

// Guards against lending the old quota's burst after operators have lowered the quota.
#[test]
fn lowering_a_quota_drops_tokens_above_the_new_capacity() {
    let mut lender = lender(InitialFill::Full);
    let low = Quota {
        tokens_per_s: 30.0,
        burst_tokens: 30.0,
    };
    let strict = QuotaBounds {
        slack_tokens: 0.0,
        ..three_domains()
    };
    let mut strict_lender = Lender::new(strict, InitialFill::Full, LoanId(100));
    strict_lender.set_quotas(&quotas(QUOTA), Duration::ZERO);
    strict_lender.set_quotas(&quotas(low), Duration::ZERO);
    lender.set_quotas(&quotas(low), Duration::ZERO);
    assert!(drain(&mut strict_lender, 1, Duration::ZERO) <= 20);
    assert!(drain(&mut lender, 1, Duration::ZERO) < 5_000);
}

// Guards against a second burst for a team whose quota was removed and restored.
#[test]
fn restoring_a_removed_quota_grants_no_second_burst() {
    let mut lender = lender(InitialFill::Full);
    drain(&mut lender, 1, Duration::ZERO);
    lender.set_quotas(&Quotas::new(), Duration::ZERO);
    lender.set_quotas(&quotas(QUOTA), SECOND / 10);
    let limit = three_domains().window_limit(QUOTA) / 3.0 / 8.0;
    assert!(f64::from(drain(&mut lender, 1, SECOND / 10)) <= limit / 10.0);
}

#[test]
fn refused_requests_get_successively_longer_waits() {
    let mut lender = lender(InitialFill::Empty);
    let waits: Vec<u32> = (0..3)
        .map(|_| lender.lend_to_node(&ask(500), Duration::ZERO).wait_ms)
        .collect();
    assert!(waits[0] > 300, "{waits:?}");
    assert!(waits[1].abs_diff(2 * waits[0]) <= 2, "{waits:?}");
    assert!(waits[2].abs_diff(3 * waits[0]) <= 2, "{waits:?}");
}

// Guards against refusing a team whose callers are all in one failure domain while the other
// domains have unused tokens.
#[test]
fn a_lender_borrows_missing_tokens_from_other_lenders() {
    let (mut borrower, mut other_lender) = (lender(InitialFill::Empty), lender(InitialFill::Full));
    assert_eq!(borrower.lend_to_node(&ask(1_500), Duration::ZERO).tokens, 0);
    let team: TeamName = "desk".into();
    let borrow = borrower.borrow_requests(&team, 1, Duration::ZERO);
    assert!(
        borrower
            .borrow_requests(&team, 1, Duration::ZERO)
            .is_empty(),
        "lenders are not asked for every refused request"
    );
    let lent = other_lender.lend_to_lender(&borrow[0], Duration::ZERO);
    assert_eq!(lent.tokens, 1_500);
    borrower.receive_loan(&lent, Duration::ZERO);
    assert_eq!(
        borrower.lend_to_node(&ask(1_500), Duration::ZERO).tokens,
        1_500
    );
}

// Guards against adding the tokens of a duplicated datagram twice.
#[test]
fn a_duplicate_loan_reply_is_ignored() {
    let (mut borrower, mut other_lender) = (lender(InitialFill::Empty), lender(InitialFill::Full));
    let team = TeamName::from("desk");
    borrower.lend_to_node(&ask(1_500), Duration::ZERO);
    let borrow = borrower.borrow_requests(&team, 1, Duration::ZERO);
    let lent = other_lender.lend_to_lender(&borrow[0], Duration::ZERO);
    borrower.receive_loan(&lent, Duration::ZERO);
    borrower.receive_loan(&lent, Duration::ZERO);
    assert_eq!(
        borrower.lend_to_node(&ask(1_500), Duration::ZERO).tokens,
        1_500
    );
    assert_eq!(borrower.lend_to_node(&ask(1_500), Duration::ZERO).tokens, 0);
}

// Guards against accepting a reply meant for the previous lender, whose tokens count as spent.
#[test]
fn a_new_lender_ignores_replies_to_its_predecessor() {
    let mut other_lender = lender(InitialFill::Full);
    let mut before = lender(InitialFill::Empty);
    before.lend_to_node(&ask(1_500), Duration::ZERO);
    let borrow = before.borrow_requests(&"desk".into(), 1, Duration::ZERO);
    let lent = other_lender.lend_to_lender(&borrow[0], Duration::ZERO);
    let mut borrower = Lender::new(three_domains(), InitialFill::Empty, LoanId(9_000));
    borrower.set_quotas(&quotas(QUOTA), Duration::ZERO);
    borrower.receive_loan(&lent, Duration::ZERO);
    assert_eq!(borrower.lend_to_node(&ask(1), Duration::ZERO).tokens, 0);
}

#[test]
fn a_request_larger_than_one_bucket_is_met_with_borrowed_tokens() {
    let quota = Quota {
        tokens_per_s: 300.0,
        burst_tokens: 300.0,
    };
    let mut lenders: Vec<Lender> = (0..3)
        .map(|_| {
            let mut lender = Lender::new(three_domains(), InitialFill::Full, LoanId(100));
            lender.set_quotas(&quotas(quota), Duration::ZERO);
            lender
        })
        .collect();
    let need = 5_000;
    assert_eq!(
        lenders[0].lend_to_node(&ask(need), Duration::ZERO).tokens,
        0
    );
    let borrow = lenders[0].borrow_requests(&"desk".into(), 2, Duration::ZERO);
    for place in 1..3 {
        let lent = lenders[place].lend_to_lender(&borrow[place - 1], Duration::ZERO);
        lenders[0].receive_loan(&lent, Duration::ZERO);
    }
    assert_eq!(
        lenders[0].lend_to_node(&ask(need), Duration::ZERO).tokens,
        need
    );
}

// Guards against spending expired tokens after a node was frozen or a reply came late.
#[test]
fn borrowed_tokens_expire_relative_to_the_time_of_the_request() {
    let (mut account, team) = (Account::default(), TeamName::from("desk"));
    let lent = LoanReply {
        id: LoanId(1),
        team: team.clone(),
        tokens: 900,
        wait_ms: 0,
    };
    account.add_loan(&lent, SECOND);
    let reserved = account.reserve(&team, 500, SECOND).unwrap();
    assert!(reserved.is_valid(SECOND));
    let late = SECOND + LOAN_TTL;
    assert!(!reserved.is_valid(late));
    account.release(reserved, late);
    assert_eq!(account.available_tokens(&team, late), 0);
}

#[test]
fn returned_tokens_can_be_spent_by_the_next_request() {
    let (mut account, team) = (Account::default(), TeamName::from("desk"));
    let lent = LoanReply {
        id: LoanId(1),
        team: team.clone(),
        tokens: 900,
        wait_ms: 0,
    };
    account.add_loan(&lent, SECOND);
    let reserved = account.reserve(&team, 700, SECOND).unwrap();
    assert!(account.reserve(&team, 700, SECOND).is_none());
    account.release(reserved, SECOND);
    assert!(account.reserve(&team, 700, SECOND).is_some());
}

#[test]
fn a_busy_node_borrows_extra_tokens_for_expected_requests() {
    let (mut account, team) = (Account::default(), TeamName::from("desk"));
    for step in 0..100 {
        account.record_demand(&team, 1_000, SECOND + SECOND * step / 10);
    }
    let ask = account.loan_request(&team, 1_000, SECOND * 11);
    assert!((2_000..4_000).contains(&ask.extra_tokens), "{ask:?}");
}
