//! Borrows quota tokens of teams from the nodes that lend them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::TeamName;
use nutmegsail_quota::{
    Account, LOAN_TTL, LoanId, LoanReply, LoanRequest, QuotaMessage, Reservation,
};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::peer_socket::PeerSocket;
use crate::clock::boot_time;
use crate::traffic_message::TrafficMessage;

/// How long to wait for one lender before another is asked as well. An answer takes a millisecond
/// or two, and up to 100 ms if the lender has used up its CPU share.
const HEDGE_AFTER: Duration = Duration::from_millis(40);

/// The shortest time that a request waits for lenders that do not answer.
const MIN_LENDER_WAIT: Duration = Duration::from_millis(150);

/// How much longer than its wait limit a request may wait while this process gets too little
/// processor time to send its requests to lenders and to receive the answers.
const MAX_WAIT_RATIO: u32 = 3;

/// The time between two loans that are borrowed ahead for one team.
const EARLY_LOAN_INTERVAL: Duration = Duration::from_millis(100);

/// The wait before a lender with too few tokens is asked again; it borrows more in the meantime.
const LENDER_RETRY_DELAY: Duration = Duration::from_millis(12);

/// How long a lender that did not answer is tried last.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_000);

/// A request that gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotaRefusal {
    pub(crate) why: NoTokens,
    /// How many times lenders were asked.
    pub(crate) asks: u32,
    /// How long the request waited.
    pub(crate) waited: Duration,
}

/// Why a request gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoTokens {
    /// The team's quota is used up; tokens will be available after this time.
    Spent(Duration),
    /// No lender answered.
    Unknown,
}

/// The tokens that this node has borrowed, and its open requests for more.
pub(crate) struct QuotaClient {
    peer_socket: Rc<PeerSocket>,
    account: RefCell<Account>,
    pending: RefCell<HashMap<LoanId, PendingAsk>>,
    unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
    /// When tokens were last borrowed ahead for each team.
    early_loans: RefCell<HashMap<TeamName, Duration>>,
}

/// Tokens reserved for a request that was not sent yet. They are returned on drop.
pub(crate) struct TokenLease {
    client: Rc<QuotaClient>,
    /// `None` once the tokens were spent.
    reservation: Option<Reservation>,
}

impl TokenLease {
    /// Whether the tokens may still be spent.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|reservation| reservation.is_valid(now))
    }

    /// Spends the tokens with the request, so that they are not returned.
    pub(crate) fn spend(mut self) -> Option<Reservation> {
        self.reservation.take()
    }
}

impl Drop for TokenLease {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.client.give_back(reservation);
        }
    }
}

struct PendingAsk {
    asked_at: Duration,
    answered: oneshot::Sender<LoanReply>,
}

impl QuotaClient {
    pub(crate) fn new(peer_socket: Rc<PeerSocket>) -> Self {
        Self {
            peer_socket,
            account: RefCell::new(Account::new(LoanId(rand::random()))),
            pending: RefCell::default(),
            unresponsive: RefCell::default(),
            early_loans: RefCell::default(),
        }
    }

    /// Reserves tokens for a request, borrowed from `lenders` if this node holds too few.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        team: &TeamName,
        tokens: u32,
        lenders: &[SocketAddr],
        wait_limit: Duration,
    ) -> Result<TokenLease, QuotaRefusal> {
        let began = Instant::now();
        self.account
            .borrow_mut()
            .record_demand(team, tokens, boot_time());
        let lenders = self.by_responsiveness(lenders);
        let wait_limit = wait_limit.max(MIN_LENDER_WAIT);
        let (mut next_lender, mut stated_wait) = (0, None);
        let (mut asks, mut unanswered) = (0, 0);
        let refusal = |why, asks| QuotaRefusal {
            why,
            asks,
            waited: began.elapsed(),
        };
        loop {
            if let Some(reservation) = self.take(team, tokens) {
                if let Some(lender) = lenders.first() {
                    self.borrow_early(team, tokens, *lender);
                }
                return Ok(TokenLease {
                    client: Rc::clone(self),
                    reservation: Some(reservation),
                });
            }
            // Time in which this process did not run is no silence of a lender.
            let unanswered_for = HEDGE_AFTER * unanswered;
            let waited = began.elapsed();
            let is_silent = unanswered_for >= wait_limit || waited >= wait_limit * MAX_WAIT_RATIO;
            let is_spent = stated_wait.is_some() && waited >= wait_limit;
            if is_silent || is_spent || lenders.is_empty() {
                let why = stated_wait.map_or(NoTokens::Unknown, NoTokens::Spent);
                return Err(refusal(why, asks));
            }
            let lender = lenders[next_lender % lenders.len()];
            asks += 1;
            match self.ask(team, tokens, lender, HEDGE_AFTER).await {
                Some(lent) if lent.tokens > 0 => {}
                Some(lent) => {
                    unanswered = 0;
                    let wait = Duration::from_millis(u64::from(lent.wait_ms));
                    let left = wait_limit.saturating_sub(began.elapsed());
                    match stated_wait.replace(wait) {
                        // The lender may have borrowed the missing tokens a moment later.
                        None => sleep(LENDER_RETRY_DELAY.min(left)).await,
                        Some(_) if wait > left => return Err(refusal(NoTokens::Spent(wait), asks)),
                        Some(_) => sleep(wait.max(LENDER_RETRY_DELAY).min(left)).await,
                    }
                }
                None => {
                    self.unresponsive
                        .borrow_mut()
                        .insert(lender, Instant::now());
                    next_lender += 1;
                    unanswered += 1;
                }
            }
        }
    }

    /// Borrows tokens for the requests that are expected next, without waiting for them.
    fn borrow_early(&self, team: &TeamName, tokens: u32, lender: SocketAddr) {
        let now = boot_time();
        let mut early_loans = self.early_loans.borrow_mut();
        early_loans.retain(|_, at| now.saturating_sub(*at) < EARLY_LOAN_INTERVAL);
        if early_loans.contains_key(team) {
            return;
        }
        let request = self
            .account
            .borrow_mut()
            .early_loan_request(team, tokens, now);
        if let Some(request) = request {
            early_loans.insert(team.clone(), now);
            self.send_request(request, lender, now);
        }
    }

    /// Returns the tokens that a request did not spend.
    pub(crate) fn give_back(&self, reservation: Reservation) {
        let mut account = self.account.borrow_mut();
        account.release(reservation, boot_time());
    }

    fn take(&self, team: &TeamName, tokens: u32) -> Option<Reservation> {
        let mut account = self.account.borrow_mut();
        account.reserve(team, tokens, boot_time())
    }

    /// The lenders, those that did not answer lately last.
    fn by_responsiveness(&self, lenders: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|_, at| at.elapsed() < UNRESPONSIVE_TIME);
        let mut lenders = lenders.to_vec();
        lenders.sort_by_key(|lender| unresponsive.contains_key(lender));
        lenders
    }

    async fn ask(
        &self,
        team: &TeamName,
        tokens: u32,
        lender: SocketAddr,
        wait_limit: Duration,
    ) -> Option<LoanReply> {
        let asked_at = boot_time();
        let ask = self
            .account
            .borrow_mut()
            .loan_request(team, tokens, asked_at);
        let answer = self.send_request(ask, lender, asked_at);
        timeout(wait_limit, answer).await.ok()?.ok()
    }

    fn send_request(
        &self,
        request: LoanRequest,
        lender: SocketAddr,
        asked_at: Duration,
    ) -> oneshot::Receiver<LoanReply> {
        let answer = self.register_ask(request.id, asked_at);
        let message = TrafficMessage::Quota(QuotaMessage::LoanRequest(request));
        self.peer_socket.send(message, lender);
        answer
    }

    fn register_ask(&self, ask: LoanId, asked_at: Duration) -> oneshot::Receiver<LoanReply> {
        let (answered, answer) = oneshot::channel();
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, pending| asked_at.saturating_sub(pending.asked_at) < LOAN_TTL);
        pending.insert(ask, PendingAsk { asked_at, answered });
        answer
    }

    /// Processes a lender's answer. Tokens that arrive too late for their request are used for the
    /// next.
    pub(super) fn receive_lent(&self, lent: LoanReply) {
        let Some(pending) = self.pending.borrow_mut().remove(&lent.id) else {
            return;
        };
        self.account.borrow_mut().add_loan(&lent, pending.asked_at);
        let _ = pending.answered.send(lent);
    }
}
