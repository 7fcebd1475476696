//! What each connection holds, and which one ends when there is no room.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::{ConnectionLimits, Door};

/// Up to this size a connection and its request may use the last part of the memory, so that bodies
/// which are large leave room for ordinary callers.
const SMALL_BYTES: usize = 64 * 1024;

/// The fraction of the memory that is kept for small holders.
const SMALL_RESERVE_DIVISOR: usize = 8;

/// The fraction of a door's connections that may be open beyond its limit, while others end.
const ENDING_DIVISOR: usize = 8;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HolderUse {
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
    Opened(HolderId),
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
pub type Evictions = Vec<HolderId>;

#[derive(Clone, Copy, Debug)]
struct Holder {
    door: Door,
    current_use: HolderUse,
    /// When `current_use` began.
    since: Instant,
    bytes: usize,
    is_evicted: bool,
}

impl Holder {
    /// What ending it frees, weighted with how long its client has kept it. The largest goes first.
    fn cost(&self, more_bytes: usize, now: Instant) -> u128 {
        (self.bytes + more_bytes) as u128 * self.age(now).as_micros()
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}

/// Connections and requests at a door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DoorCount {
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
///     Admission, ConnectionLimits, Door, Growth, HolderUse, Ledger, LedgerLimits,
/// };
/// let connections = ConnectionLimits::within(1_024);
/// let mut ledger = Ledger::new(LedgerLimits { bytes: 8_000_000, connections });
/// let start = Instant::now();
/// let mut open = || match ledger.open(Door::Callers, 0, start) {
///     (Admission::Opened(id), _) => id,
///     _ => unreachable!(),
/// };
/// let (stalled, other) = (open(), open());
/// ledger.set_use(stalled, HolderUse::Unfinished, start);
/// assert_eq!(ledger.grow(stalled, 4_000_000, start).0, Growth::Granted);
/// let later = start + Duration::from_secs(1);
/// ledger.set_use(other, HolderUse::Unfinished, later);
/// let (growth, ends) = ledger.grow(other, 4_000_000, later);
/// assert_eq!((growth, ends), (Growth::Wait, vec![stalled]));
/// ledger.close(stalled);
/// assert_eq!(ledger.grow(other, 4_000_000, later).0, Growth::Granted);
/// ```
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    holders: HashMap<HolderId, Holder>,
    next_id: u64,
    held_bytes: usize,
    /// The part of `held_bytes` that connections hold which have to end.
    evicted_bytes: usize,
    doors: [DoorCount; Door::ALL.len()],
}

impl Ledger {
    /// A ledger without connections.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            next_id: 0,
            held_bytes: 0,
            evicted_bytes: 0,
            doors: <[DoorCount; Door::ALL.len()]>::default(),
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

    /// How many connections `door` has open.
    pub fn open_connections(&self, door: Door) -> usize {
        self.doors[door as usize].open
    }

    /// What a connection is used for, and what it holds, in bytes.
    pub fn holder(&self, id: HolderId) -> Option<(HolderUse, usize)> {
        let holder = self.holders.get(&id)?;
        Some((holder.current_use, holder.bytes))
    }

    /// The door of a connection.
    pub fn door(&self, id: HolderId) -> Option<Door> {
        self.holders.get(&id).map(|holder| holder.door)
    }

    /// A connection opens that holds `bytes` by itself. At its door's limit another one ends for it.
    pub fn open(&mut self, door: Door, bytes: usize, now: Instant) -> (Admission, Evictions) {
        let limit = self.limits.connections.of(door);
        let count = self.doors[door as usize];
        let mut evictions = Evictions::new();
        if count.open - count.evicted >= limit {
            let Some(victim) = self.connection_to_end(door, now) else {
                return (Admission::Full, evictions);
            };
            self.evict(victim);
            evictions.push(victim);
        }
        if count.open >= limit + limit.div_ceil(ENDING_DIVISOR) {
            return (Admission::Wait, evictions);
        }
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            door,
            current_use: HolderUse::Idle,
            since: now,
            bytes: 0,
            is_evicted: false,
        };
        self.holders.insert(id, holder);
        self.doors[door as usize].open += 1;
        evictions.extend(self.charge(id, bytes, now));
        (Admission::Opened(id), evictions)
    }

    /// Records that a connection holds `bytes` more, which it does already. Others end if there is
    /// no room, or the connection itself.
    pub fn charge(&mut self, id: HolderId, bytes: usize, now: Instant) -> Evictions {
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
    pub fn grow(&mut self, id: HolderId, bytes: usize, now: Instant) -> (Growth, Evictions) {
        let mut evictions = Evictions::new();
        let Some(holder) = self.holders.get(&id).copied() else {
            return (Growth::Refused, evictions);
        };
        let limit = match holder.bytes + bytes <= SMALL_BYTES {
            true => self.limits.bytes,
            false => self.limits.bytes - self.limits.bytes / SMALL_RESERVE_DIVISOR,
        };
        if holder.is_evicted {
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
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        debug_assert!(bytes <= holder.bytes, "more is released than is held");
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        self.held_bytes -= bytes;
        if holder.is_evicted {
            self.evicted_bytes -= bytes;
        }
    }

    /// Records what a connection is used for from now on.
    pub fn set_use(&mut self, id: HolderId, new_use: HolderUse, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id)
            && holder.current_use != new_use
        {
            holder.current_use = new_use;
            holder.since = now;
        }
    }

    /// Whether a connection has to end.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.is_evicted)
    }

    /// A connection has closed.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.held_bytes -= holder.bytes;
        let count = &mut self.doors[holder.door as usize];
        count.open -= 1;
        if holder.is_evicted {
            self.evicted_bytes -= holder.bytes;
            count.evicted -= 1;
        }
    }

    fn add(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.bytes += bytes;
        self.held_bytes += bytes;
        if holder.is_evicted {
            self.evicted_bytes += bytes;
        }
    }

    fn evict(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id)
            && !holder.is_evicted
        {
            holder.is_evicted = true;
            self.evicted_bytes += holder.bytes;
            self.doors[holder.door as usize].evicted += 1;
        }
    }

    /// Connections that do not have to end yet.
    fn staying(&self) -> impl Iterator<Item = (HolderId, &Holder)> {
        let all = self.holders.iter().map(|(id, holder)| (*id, holder));
        all.filter(|(_, holder)| !holder.is_evicted)
    }

    /// The bytes that connections with unfinished requests hold.
    fn unfinished_bytes(&self) -> usize {
        let staying = self.staying().map(|(_, holder)| holder);
        let unfinished = staying.filter(|holder| holder.current_use == HolderUse::Unfinished);
        unfinished.map(|holder| holder.bytes).sum()
    }

    /// The connection with an unfinished request that ends next for want of memory. `growing` is one
    /// that is to hold more, with how much more that is.
    fn unfinished_to_end(
        &self,
        growing: Option<(HolderId, usize)>,
        now: Instant,
    ) -> Option<HolderId> {
        let more = |id: HolderId| match growing {
            Some((growing, bytes)) if growing == id => bytes,
            _ => 0,
        };
        let unfinished = self.staying();
        let unfinished = unfinished.filter(|(_, of)| of.current_use == HolderUse::Unfinished);
        let costs = unfinished.map(|(id, holder)| (holder.cost(more(id), now), id));
        costs.max().map(|(_, id)| id)
    }

    /// The connection that has been idle for longest.
    fn idle_to_end(&self, now: Instant) -> Option<HolderId> {
        let idle = self.staying();
        let idle = idle.filter(|(_, holder)| holder.current_use == HolderUse::Idle);
        idle.max_by_key(|(id, holder)| (holder.age(now), *id))
            .map(|(id, _)| id)
    }

    /// The connection at `door` that ends for a new one: that whose client has kept it waiting for
    /// longest.
    fn connection_to_end(&self, door: Door, now: Instant) -> Option<HolderId> {
        let waiting = self.staying().filter(|(_, holder)| {
            holder.door == door && holder.current_use != HolderUse::InProgress
        });
        waiting
            .max_by_key(|(id, holder)| (holder.age(now), *id))
            .map(|(id, _)| id)
    }
}
