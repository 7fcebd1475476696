//! Borrows tokens of teams' quotas from the nodes that lend them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::TeamName;
use nutmegsail_quota::{Account, AskId, GRANT_LIFE, Lent, QuotaMessage, Reservation};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::gateway::Gateway;
use crate::clock::boot_time;
use crate::control::QuotaDatagram;

/// How long one lender is waited for before another is asked as well. An answer takes a millisecond or two, and
/// up to a tenth of a second where the lender's processor share is used up.
const HEDGE_AFTER: Duration = Duration::from_millis(40);

/// How long a request waits for tokens in all. Its caller waits some hundred milliseconds for a first event.
const ASK_LIMIT: Duration = Duration::from_millis(240);

/// How long a node waits before it asks a lender again that had too few tokens and borrows them meanwhile.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(12);

/// How often lenders may answer that they have too few before a request is refused.
const SHORT_ANSWERS: u32 = 3;

/// How long a lender that did not answer is asked last.
const SILENT_FOR: Duration = Duration::from_millis(1_000);

/// The largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 2_048;

/// Why a request gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoTokens {
    /// The team's quota is spent; tokens will be there after this time.
    Spent(Duration),
    /// No lender answered.
    Unknown,
}

/// The tokens that this node has borrowed, and its asks for more.
pub(crate) struct QuotaClient {
    socket: UdpSocket,
    account: RefCell<Account>,
    waiting: RefCell<HashMap<AskId, Waiting>>,
    silent: RefCell<HashMap<SocketAddr, Instant>>,
}

/// Tokens of a request that was not sent yet. Dropped, they go back.
pub(crate) struct TokenLease {
    client: Rc<QuotaClient>,
    /// Present until it is spent.
    reservation: Option<Reservation>,
}

impl TokenLease {
    /// Whether the tokens may still be spent.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|reservation| reservation.is_valid(now))
    }

    /// The tokens, which now go with the request.
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

struct Waiting {
    asked_at: Duration,
    answered: oneshot::Sender<Lent>,
}

impl QuotaClient {
    pub(crate) fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            account: RefCell::new(Account::new(AskId(rand::random()))),
            waiting: RefCell::default(),
            silent: RefCell::default(),
        }
    }

    /// Sets tokens aside for a request, borrowed from `lenders` if too few are held.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        team: &TeamName,
        tokens: u32,
        lenders: &[SocketAddr],
    ) -> Result<TokenLease, NoTokens> {
        let began = Instant::now();
        self.account
            .borrow_mut()
            .note_demand(team, tokens, boot_time());
        let lenders = self.in_order(lenders);
        let (mut turn, mut short_answers) = (0, 0);
        loop {
            if let Some(reservation) = self.take(team, tokens) {
                return Ok(TokenLease {
                    client: Rc::clone(self),
                    reservation: Some(reservation),
                });
            }
            let left = ASK_LIMIT.saturating_sub(began.elapsed());
            if left.is_zero() || lenders.is_empty() {
                return Err(NoTokens::Unknown);
            }
            let lender = lenders[turn % lenders.len()];
            match self.ask(team, tokens, lender, left.min(HEDGE_AFTER)).await {
                Some(lent) if lent.tokens > 0 => {}
                Some(lent) => {
                    short_answers += 1;
                    if short_answers >= SHORT_ANSWERS {
                        let wait = Duration::from_millis(u64::from(lent.wait_ms));
                        return Err(NoTokens::Spent(wait));
                    }
                    sleep(ASK_AGAIN_AFTER).await;
                }
                None => {
                    self.silent.borrow_mut().insert(lender, Instant::now());
                    turn += 1;
                }
            }
        }
    }

    /// Puts back what a request did not spend.
    pub(crate) fn give_back(&self, reservation: Reservation) {
        let mut account = self.account.borrow_mut();
        account.give_back(reservation, boot_time());
    }

    fn take(&self, team: &TeamName, tokens: u32) -> Option<Reservation> {
        let mut account = self.account.borrow_mut();
        account.take(team, tokens, boot_time())
    }

    /// Lenders with those that were silent lately behind.
    fn in_order(&self, lenders: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, at| at.elapsed() < SILENT_FOR);
        let mut lenders = lenders.to_vec();
        lenders.sort_by_key(|lender| silent.contains_key(lender));
        lenders
    }

    async fn ask(
        &self,
        team: &TeamName,
        tokens: u32,
        lender: SocketAddr,
        patience: Duration,
    ) -> Option<Lent> {
        let asked_at = boot_time();
        let ask = self.account.borrow_mut().ask(team, tokens, asked_at);
        let answer = self.expect_answer(ask.id, asked_at);
        let message = QuotaDatagram(QuotaMessage::Ask(ask)).to_bytes()?;
        // One that cannot go now is as good as lost.
        let _ = self.socket.try_send_to(&message, lender);
        timeout(patience, answer).await.ok()?.ok()
    }

    fn expect_answer(&self, ask: AskId, asked_at: Duration) -> oneshot::Receiver<Lent> {
        let (answered, answer) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, waiting| asked_at.saturating_sub(waiting.asked_at) < GRANT_LIFE);
        waiting.insert(ask, Waiting { asked_at, answered });
        answer
    }

    /// Takes in an answer. One that came too late for its request serves the next.
    fn take_lent(&self, lent: Lent) {
        let Some(waiting) = self.waiting.borrow_mut().remove(&lent.id) else {
            return;
        };
        self.account.borrow_mut().put(&lent, waiting.asked_at);
        let _ = waiting.answered.send(lent);
    }
}

/// Takes in what lenders answer, for ever.
pub(crate) async fn take_lent(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = gateway.quotas.socket.recv_from(&mut buffer).await else {
            // An address that nobody listens at; the datagram after it is read as usual.
            continue;
        };
        if let Some(QuotaMessage::Lent(lent)) = QuotaDatagram::parse(&buffer[..length]) {
            gateway.quotas.take_lent(lent);
        }
    }
}
