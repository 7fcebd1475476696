//! What each connection holds, and which one ends when there is no room.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::{ConnectionLimits, ListenerKind};

/// Up to this size a connection and its request may use the last part of the memory, so that bodies
/// which are large leave room for ordinary callers.
const SMALL_BYTES: usize = 64 * 1024;

/// The fraction of the memory that is kept for small accounts.
const SMALL_RESERVE_DIVISOR: usize = 8;

/// The fraction of a listener's connections that may be open beyond its limit, while others end.
const ENDING_DIVISOR: usize = 8;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountId(u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CurrentUse {
    /// It has no request.
    #[display("idle")]
    Idle,
    /// Its client has not sent a request whole, or does not read an answer.
    #[display("unfinished")]
    Unfinished,
    /// Its request was sent whole, and is being answered.
    #[display("in_progress")]
    InProgress,
}

/// The limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// The most bytes that all connections hold.
    pub bytes: usize,
    /// The most connections.
    pub connections: ConnectionLimits,
}

/// Whether a connection may open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is open.
    Opened(AccountId),
    /// Once others have ended.
    Wait,
    /// It may not: all others have requests in progress.
    Full,
}

/// Whether a connection may hold more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It holds it now.
    Granted,
    /// Once others have ended.
    Wait,
    /// It may not, and ends itself.
    Refused,
}

/// The connections that have to end.
pub type Evictions = Vec<AccountId>;

#[derive(Clone, Copy, Debug)]
struct Account {
    listener: ListenerKind,
    current_use: CurrentUse,
    /// When `current_use` began.
    since: Instant,
    bytes: usize,
    is_evicted: bool,
}

impl Account {
    /// What ending it frees, weighted with how long its client has kept it. The largest goes first.
    fn cost(&self, more_bytes: usize, now: Instant) -> u128 {
        (self.bytes + more_bytes) as u128 * self.age(now).as_micros()
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}

/// Connections and requests at a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListenerCount {
    open: usize,
    /// Those of them that have to end.
    evicted: usize,
}

/// Records what connections hold.
///
/// If there is no room, the unfinished requests that hold the most for longest end first, then idle
/// connections.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_intake::{
///     Admission, ConnectionLimits, ListenerKind, Growth, CurrentUse, Ledger, LedgerLimits,
/// };
/// let connections = ConnectionLimits::within(1_024);
/// let mut ledger = Ledger::new(LedgerLimits { bytes: 8_000_000, connections });
/// let start = Instant::now();
/// let mut open = || match ledger.open(ListenerKind::Callers, 0, start) {
///     (Admission::Opened(id), _) => id,
///     _ => unreachable!(),
/// };
/// let (stalled, other) = (open(), open());
/// ledger.set_use(stalled, CurrentUse::Unfinished, start);
/// assert_eq!(ledger.grow(stalled, 4_000_000, start).0, Growth::Granted);
/// let later = start + Duration::from_secs(1);
/// ledger.set_use(other, CurrentUse::Unfinished, later);
/// let (growth, ends) = ledger.grow(other, 4_000_000, later);
/// assert_eq!((growth, ends), (Growth::Wait, vec![stalled]));
/// ledger.close(stalled);
/// assert_eq!(ledger.grow(other, 4_000_000, later).0, Growth::Granted);
/// ```
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    accounts: HashMap<AccountId, Account>,
    next_id: u64,
    held_bytes: usize,
    /// The part of `held_bytes` that connections hold which have to end.
    evicted_bytes: usize,
    listeners: [ListenerCount; ListenerKind::ALL.len()],
}

impl Ledger {
    /// A ledger without connections.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            accounts: HashMap::new(),
            next_id: 0,
            held_bytes: 0,
            evicted_bytes: 0,
            listeners: <[ListenerCount; ListenerKind::ALL.len()]>::default(),
        }
    }

    /// The limits.
    pub fn limits(&self) -> &LedgerLimits {
        &self.limits
    }

    /// How many bytes all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// How many connections `listener` has open.
    pub fn open_connections(&self, listener: ListenerKind) -> usize {
        self.listeners[listener as usize].open
    }

    /// What a connection is used for, and what it holds, in bytes.
    pub fn account(&self, id: AccountId) -> Option<(CurrentUse, usize)> {
        let account = self.accounts.get(&id)?;
        Some((account.current_use, account.bytes))
    }

    /// The listener of a connection.
    pub fn listener(&self, id: AccountId) -> Option<ListenerKind> {
        self.accounts.get(&id).map(|account| account.listener)
    }

    /// A connection opens that holds `bytes` by itself. At its listener's limit another one ends for it.
    pub fn open(
        &mut self,
        listener: ListenerKind,
        bytes: usize,
        now: Instant,
    ) -> (Admission, Evictions) {
        let limit = self.limits.connections.of(listener);
        let count = self.listeners[listener as usize];
        let mut evictions = Evictions::new();
        if count.open - count.evicted >= limit {
            let Some(victim) = self.connection_to_end(listener, now) else {
                return (Admission::Full, evictions);
            };
            self.evict(victim);
            evictions.push(victim);
        }
        if count.open >= limit + limit.div_ceil(ENDING_DIVISOR) {
            return (Admission::Wait, evictions);
        }
        let id = AccountId(self.next_id);
        self.next_id += 1;
        let account = Account {
            listener,
            current_use: CurrentUse::Idle,
            since: now,
            bytes: 0,
            is_evicted: false,
        };
        self.accounts.insert(id, account);
        self.listeners[listener as usize].open += 1;
        evictions.extend(self.charge(id, bytes, now));
        (Admission::Opened(id), evictions)
    }

    /// Records that a connection holds `bytes` more, which it does already. Others end if there is
    /// no room, or the connection itself.
    pub fn charge(&mut self, id: AccountId, bytes: usize, now: Instant) -> Evictions {
        self.add(id, bytes);
        let mut evictions = Evictions::new();
        while self.held_bytes - self.evicted_bytes > self.limits.bytes {
            let unfinished = self.unfinished_to_end(None, now);
            let Some(victim) = unfinished.or_else(|| self.idle_to_end(now)) else {
                break;
            };
            self.evict(victim);
            evictions.push(victim);
        }
        evictions
    }

    /// Records that a connection is to hold `bytes` more, if there is room.
    pub fn grow(&mut self, id: AccountId, bytes: usize, now: Instant) -> (Growth, Evictions) {
        let mut evictions = Evictions::new();
        let Some(account) = self.accounts.get(&id).copied() else {
            return (Growth::Refused, evictions);
        };
        let limit = match account.bytes + bytes <= SMALL_BYTES {
            true => self.limits.bytes,
            false => self.limits.bytes - self.limits.bytes / SMALL_RESERVE_DIVISOR,
        };
        if account.is_evicted {
            return (Growth::Refused, evictions);
        }
        while self.held_bytes - self.evicted_bytes + bytes > limit {
            let unfinished = self.unfinished_to_end(Some((id, bytes)), now);
            let victim = match unfinished {
                Some(victim) if victim != id => Some(victim),
                _ if self.unfinished_bytes() + bytes <= limit / 2 => self.idle_to_end(now),
                _ => None,
            };
            let Some(victim) = victim else {
                return (Growth::Refused, evictions);
            };
            self.evict(victim);
            evictions.push(victim);
        }
        if self.held_bytes + bytes > limit {
            return (Growth::Wait, evictions);
        }
        self.add(id, bytes);
        (Growth::Granted, evictions)
    }

    /// Records that a connection holds `bytes` less.
    pub fn release(&mut self, id: AccountId, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        debug_assert!(bytes <= account.bytes, "more is released than is held");
        let bytes = bytes.min(account.bytes);
        account.bytes -= bytes;
        self.held_bytes -= bytes;
        if account.is_evicted {
            self.evicted_bytes -= bytes;
        }
    }

    /// Records what a connection is used for from now on.
    pub fn set_use(&mut self, id: AccountId, new_use: CurrentUse, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&id)
            && account.current_use != new_use
        {
            account.current_use = new_use;
            account.since = now;
        }
    }

    /// Whether a connection has to end.
    pub fn is_evicted(&self, id: AccountId) -> bool {
        let account = self.accounts.get(&id);
        account.is_some_and(|account| account.is_evicted)
    }

    /// A connection has closed.
    pub fn close(&mut self, id: AccountId) {
        let Some(account) = self.accounts.remove(&id) else {
            return;
        };
        self.held_bytes -= account.bytes;
        let count = &mut self.listeners[account.listener as usize];
        count.open -= 1;
        if account.is_evicted {
            self.evicted_bytes -= account.bytes;
            count.evicted -= 1;
        }
    }

    fn add(&mut self, id: AccountId, bytes: usize) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        account.bytes += bytes;
        self.held_bytes += bytes;
        if account.is_evicted {
            self.evicted_bytes += bytes;
        }
    }

    fn evict(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.get_mut(&id)
            && !account.is_evicted
        {
            account.is_evicted = true;
            self.evicted_bytes += account.bytes;
            self.listeners[account.listener as usize].evicted += 1;
        }
    }

    /// Connections that do not have to end yet.
    fn staying(&self) -> impl Iterator<Item = (AccountId, &Account)> {
        let all = self.accounts.iter().map(|(id, account)| (*id, account));
        all.filter(|(_, account)| !account.is_evicted)
    }

    /// The bytes that connections with unfinished requests hold.
    fn unfinished_bytes(&self) -> usize {
        let staying = self.staying().map(|(_, account)| account);
        let unfinished = staying.filter(|account| account.current_use == CurrentUse::Unfinished);
        unfinished.map(|account| account.bytes).sum()
    }

    /// The connection with an unfinished request that ends next for want of memory. `growing` is one
    /// that is to hold more, with how much more that is.
    fn unfinished_to_end(
        &self,
        growing: Option<(AccountId, usize)>,
        now: Instant,
    ) -> Option<AccountId> {
        let more = |id: AccountId| match growing {
            Some((growing, bytes)) if growing == id => bytes,
            _ => 0,
        };
        let unfinished = self.staying();
        let unfinished = unfinished.filter(|(_, of)| of.current_use == CurrentUse::Unfinished);
        let costs = unfinished.map(|(id, account)| (account.cost(more(id), now), id));
        costs.max().map(|(_, id)| id)
    }

    /// The connection that has been idle for longest.
    fn idle_to_end(&self, now: Instant) -> Option<AccountId> {
        let idle = self.staying();
        let idle = idle.filter(|(_, account)| account.current_use == CurrentUse::Idle);
        idle.max_by_key(|(id, account)| (account.age(now), *id))
            .map(|(id, _)| id)
    }

    /// The connection at `listener` that ends for a new one: that whose client has kept it waiting for
    /// longest.
    fn connection_to_end(&self, listener: ListenerKind, now: Instant) -> Option<AccountId> {
        let waiting = self.staying().filter(|(_, account)| {
            account.listener == listener && account.current_use != CurrentUse::InProgress
        });
        waiting
            .max_by_key(|(id, account)| (account.age(now), *id))
            .map(|(id, _)| id)
    }
}
