//! Checks API keys and teams' quotas.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use nutmegsail_base::ResultCode;
use nutmegsail_quota::Reservation;
use nutmegsail_relay::{AccessDenied, Caller, CallerKey, Route, Team};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep;

use super::call::Call;
use super::gateway::Gateway;
use super::quota_client::{NoTokens, TokenLease};
use super::refuse::RefusalReason;
use crate::clock::boot_time;

/// How long a request with an unknown key waits for an update that may contain the key.
const NEW_KEY_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a waiting request checks for updates.
const NEW_KEY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// At most this many requests per node wait for their keys; others are refused at once, so that
/// callers who guess keys cannot fill the node.
const MAX_NEW_KEY_WAITERS: usize = 32;

/// Retry-After when another node may be able to serve the request.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(50);

impl From<AccessDenied> for RefusalReason {
    fn from(denied: AccessDenied) -> Self {
        match denied {
            AccessDenied::NoKey { .. } => Self {
                code: ResultCode::KeyRejected,
                retry_after: None,
            },
            AccessDenied::Stale => Self {
                code: ResultCode::KeysStale,
                retry_after: Some(OTHER_NODE_RETRY_AFTER),
            },
        }
    }
}

impl From<NoTokens> for RefusalReason {
    fn from(why: NoTokens) -> Self {
        match why {
            NoTokens::Spent(wait) => Self {
                code: ResultCode::QuotaSpent,
                retry_after: Some(wait.max(OTHER_NODE_RETRY_AFTER)),
            },
            NoTokens::Unknown => Self {
                code: ResultCode::QuotaUnknown,
                retry_after: Some(OTHER_NODE_RETRY_AFTER),
            },
        }
    }
}

/// The state of a request's quota tokens.
#[derive(Default)]
pub(crate) struct QuotaTokens(RefCell<TokenState>);

#[derive(Default)]
enum TokenState {
    /// No tokens are needed, or none have been reserved yet.
    #[default]
    None,
    /// Reserved; returned if the request is dropped before it is sent.
    Reserved(TokenLease),
    /// Spent: the request was sent and may have run.
    Sent(Reservation),
}

impl Gateway {
    /// Finds the caller that `key` belongs to on `route`.
    ///
    /// An unknown key may have been added just now. It is rejected only once this node's data is
    /// newer than the request. If no update arrives in time, the caller is sent to another node,
    /// which may know the key.
    pub(super) async fn identify_caller(
        &self,
        route: &Route,
        key: &CallerKey,
    ) -> Result<Caller, AccessDenied> {
        let began = Instant::now();
        loop {
            let authenticated = self.authenticate(route, key);
            let may_be_new = matches!(authenticated, Err(AccessDenied::NoKey { may_be_new: true }));
            if !may_be_new || self.shared.data_age() < began.elapsed() {
                return authenticated;
            }
            if began.elapsed() >= NEW_KEY_TIMEOUT || self.key_waiters.get() >= MAX_NEW_KEY_WAITERS {
                return Err(AccessDenied::Stale);
            }
            let _wait = super::model_wait::WaiterCount::begin(&self.key_waiters);
            sleep(NEW_KEY_POLL_INTERVAL).await;
        }
    }

    fn authenticate(&self, route: &Route, key: &CallerKey) -> Result<Caller, AccessDenied> {
        // Read the age before the view: a view published between the two reads is then newer than
        // `age` says, never older.
        let age = self.shared.data_age();
        let view = self.shared.view.load();
        let Some(table) = &view.table else {
            return Err(AccessDenied::Stale);
        };
        self.shared.access().caller_on(table, route, key, age)
    }

    pub(super) fn log_denied(
        &self,
        request: &str,
        route: &Route,
        key: &CallerKey,
        denied: AccessDenied,
    ) {
        let view = self.shared.view.load();
        let version = view.table.as_ref().map(|table| table.version);
        let why = match (denied, key) {
            (AccessDenied::Stale, _) => "news too old",
            (_, CallerKey::Absent) => "no key",
            (_, CallerKey::Malformed) => "malformed key",
            (_, CallerKey::Given(_)) => "key unknown",
        };
        log_event!(
            self.log, Event::KeyRejected,
            "request" => request.to_owned(), "route" => route.name.to_string(), "why" => why,
            "version" => version, "news_ms" => self.shared.data_age().as_millis()
        );
    }

    /// Checks whether `call` may be sent now: its key is still valid and its team's quota has
    /// tokens left.
    pub(super) async fn admit(&self, call: &Call) -> Result<(), RefusalReason> {
        let Some(team) = call.caller.team() else {
            return Ok(());
        };
        let caller = self.authenticate(&call.route, &call.meta.key);
        let is_same = |caller: &Caller| caller.team().is_some_and(|now| now.name == team.name);
        match caller {
            Ok(caller) if is_same(&caller) => {}
            Ok(_) => return Err(self.deny(call, AccessDenied::NoKey { may_be_new: false })),
            Err(denied) => return Err(self.deny(call, denied)),
        }
        self.reserve_tokens(call, team).await
    }

    fn deny(&self, call: &Call, denied: AccessDenied) -> RefusalReason {
        self.log_denied(&call.id, &call.route, &call.meta.key, denied);
        denied.into()
    }

    async fn reserve_tokens(&self, call: &Call, team: &Team) -> Result<(), RefusalReason> {
        let Some(quota) = &team.quota else {
            return Ok(());
        };
        match &*call.tokens.0.borrow() {
            // A retry of the same request is charged only once.
            TokenState::Sent(_) => return Ok(()),
            TokenState::Reserved(lease) if lease.is_valid(boot_time()) => return Ok(()),
            TokenState::Reserved(_) | TokenState::None => {}
        }
        let tokens = quota.cost_tokens(call.meta.all_tokens);
        let lenders = self.shared.view.load().lenders.clone();
        // A longer wait would use up the request's latency objective before it is sent.
        let wait_limit = call.route.latency_objective / 2;
        let reserved = self
            .quotas
            .reserve(&team.name, tokens, &lenders, wait_limit);
        match reserved.await {
            Ok(lease) => {
                call.tokens.0.replace(TokenState::Reserved(lease));
                Ok(())
            }
            Err(refusal) => {
                log_event!(
                    self.log, Event::QuotaRefused,
                    "request" => call.id.to_string(), "team" => team.name.to_string(),
                    "tokens" => tokens, "limit_per_s" => quota.quota.tokens_per_s,
                    "burst" => quota.quota.burst_tokens, "window_s" => self.bounds.quota_window_s,
                    "why" => format!("{:?}", refusal.why), "asks" => refusal.asks,
                    "waited_ms" => refusal.waited.as_millis(), "lenders" => lenders.len()
                );
                Err(refusal.why.into())
            }
        }
    }

    /// Marks the tokens of `call` as spent, because it is being sent.
    pub(super) fn spend_tokens(&self, call: &Call) {
        let held = match call.tokens.0.take() {
            TokenState::Reserved(lease) => {
                self.count_tokens(call);
                lease.spend().map_or(TokenState::None, TokenState::Sent)
            }
            held => held,
        };
        call.tokens.0.replace(held);
    }

    fn count_tokens(&self, call: &Call) {
        let team = call.caller.team();
        if let Some((team, quota)) = team.and_then(|team| Some((team, team.quota.as_ref()?))) {
            let tokens = quota.cost_tokens(call.meta.all_tokens);
            self.shared.metrics.teams.spent(&team.name, tokens);
        }
    }

    /// Returns the tokens that are reserved for a request which is not sent from this node.
    pub(super) fn drop_reserved_tokens(&self, call: &Call) {
        let mut tokens = call.tokens.0.borrow_mut();
        if matches!(*tokens, TokenState::Reserved(_)) {
            *tokens = TokenState::None;
        }
    }

    /// Returns the tokens of a request that has not run.
    pub(super) fn return_tokens(&self, call: &Call) {
        if let TokenState::Sent(reservation) = call.tokens.0.take() {
            self.quotas.give_back(reservation);
        }
    }
}
