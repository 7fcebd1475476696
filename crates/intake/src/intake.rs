//! A [`Ledger`] that threads share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nutmegsail_base::Clock;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    AccountId, Admission, ConnectionAccount, CurrentUse, Evictions, Growth, Ledger, LedgerLimits,
    ListenerKind,
};

/// Is called when there is no room.
pub trait IntakeObserver: Send + Sync {
    /// A connection at `listener` that held `bytes` ends, so that others have room.
    fn evicted(&self, listener: ListenerKind, ended_use: CurrentUse, bytes: usize);

    /// A request on a connection at `listener` is refused, as there is no room for its body.
    fn refused(&self, listener: ListenerKind);

    /// A new connection at `listener` is closed unread, as all others have requests in progress.
    fn turned_away(&self, listener: ListenerKind);
}

/// What all connections hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeUse {
    /// The bytes that they hold.
    pub held_bytes: usize,
    /// The most bytes that they may hold.
    pub limit_bytes: usize,
    /// How many of them are open at each listener.
    pub connections: [(ListenerKind, usize); ListenerKind::ALL.len()],
}

/// Admits connections to all listeners of a process, within its memory and its descriptors.
///
/// ```
/// # async fn example() {
/// use std::sync::Arc;
/// use nutmegsail_base::SystemClock;
/// use nutmegsail_intake::{
///     ListenerKind, CurrentUse, Intake, IntakeObserver, LimitSettings, ProcessLimits,
/// };
///
/// struct Silent;
/// impl IntakeObserver for Silent {
///     fn evicted(&self, _: ListenerKind, _: CurrentUse, _: usize) {}
///     fn refused(&self, _: ListenerKind) {}
///     fn turned_away(&self, _: ListenerKind) {}
/// }
///
/// let limits = ProcessLimits::detect(&LimitSettings::default()).ledger();
/// let intake = Intake::new(limits, Arc::new(SystemClock), Arc::new(Silent));
/// let account = intake.admit(ListenerKind::Callers, 16 * 1024).await.expect("room for a connection");
/// assert_eq!(intake.current_use().held_bytes, 16 * 1024);
/// drop(account);
/// assert_eq!(intake.current_use().held_bytes, 0);
/// # }
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(example());
/// ```
#[derive(Clone)]
pub struct Intake {
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    observer: Arc<dyn IntakeObserver>,
    /// Notified when there is more room.
    freed: Notify,
}

struct State {
    ledger: Ledger,
    /// Cancelled when the connection has to end.
    evictions: HashMap<AccountId, CancellationToken>,
}

impl std::fmt::Debug for Intake {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Intake").field(&self.current_use()).finish()
    }
}

impl Intake {
    /// An intake without connections.
    pub fn new(
        limits: LedgerLimits,
        clock: Arc<dyn Clock>,
        observer: Arc<dyn IntakeObserver>,
    ) -> Self {
        let state = State {
            ledger: Ledger::new(limits),
            evictions: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                clock,
                observer,
                freed: Notify::new(),
            }),
        }
    }

    /// Admits a connection that holds `bytes` by itself, once there is room. Returns `None` if it has
    /// to be closed.
    pub async fn admit(
        &self,
        listener: ListenerKind,
        bytes: usize,
    ) -> Option<Arc<ConnectionAccount>> {
        loop {
            let freed = self.shared.freed.notified();
            let evicted = CancellationToken::new();
            match self.shared.open(listener, bytes, &evicted) {
                Admission::Opened(id) => {
                    let account = ConnectionAccount::new(Arc::clone(&self.shared), id, evicted);
                    return Some(Arc::new(account));
                }
                Admission::Wait => freed.await,
                Admission::Full => {
                    self.shared.observer.turned_away(listener);
                    return None;
                }
            }
        }
    }

    /// What all connections hold.
    pub fn current_use(&self) -> IntakeUse {
        let state = self.shared.lock();
        let ledger = &state.ledger;
        IntakeUse {
            held_bytes: ledger.held_bytes(),
            limit_bytes: ledger.limits().bytes,
            connections: ListenerKind::ALL
                .map(|listener| (listener, ledger.open_connections(listener))),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends connections, after the lock is released.
    fn end(&self, state: MutexGuard<'_, State>, evictions: &Evictions) {
        if evictions.is_empty() {
            return;
        }
        let ended = evictions.iter().filter_map(|id| {
            let (ended_use, bytes) = state.ledger.account(*id)?;
            let listener = state.ledger.listener(*id)?;
            Some((state.evictions.get(id)?.clone(), listener, ended_use, bytes))
        });
        let ended: Vec<_> = ended.collect();
        drop(state);
        for (evicted, listener, ended_use, bytes) in ended {
            evicted.cancel();
            self.observer.evicted(listener, ended_use, bytes);
        }
    }

    fn open(&self, listener: ListenerKind, bytes: usize, evicted: &CancellationToken) -> Admission {
        let now = self.clock.now();
        let mut state = self.lock();
        let (admission, evictions) = state.ledger.open(listener, bytes, now);
        if let Admission::Opened(id) = admission {
            state.evictions.insert(id, evicted.clone());
        }
        self.end(state, &evictions);
        admission
    }

    fn try_grow(&self, id: AccountId, bytes: usize) -> Growth {
        let now = self.clock.now();
        let mut state = self.lock();
        let (growth, evictions) = state.ledger.grow(id, bytes, now);
        self.end(state, &evictions);
        growth
    }

    pub(crate) fn charge(&self, id: AccountId, bytes: usize) {
        let now = self.clock.now();
        let mut state = self.lock();
        let evictions = state.ledger.charge(id, bytes, now);
        self.end(state, &evictions);
    }

    /// Waits for room for `bytes` more; false if there is none.
    pub(crate) async fn grow(&self, id: AccountId, bytes: usize) -> bool {
        loop {
            let freed = self.freed.notified();
            match self.try_grow(id, bytes) {
                Growth::Granted => return true,
                Growth::Wait => freed.await,
                Growth::Refused => {
                    let listener = self.lock().ledger.listener(id);
                    listener
                        .into_iter()
                        .for_each(|listener| self.observer.refused(listener));
                    return false;
                }
            }
        }
    }

    pub(crate) fn release(&self, id: AccountId, bytes: usize) {
        if bytes > 0 {
            self.lock().ledger.release(id, bytes);
            self.freed.notify_waiters();
        }
    }

    pub(crate) fn set_use(&self, id: AccountId, new_use: CurrentUse) {
        let now = self.clock.now();
        self.lock().ledger.set_use(id, new_use, now);
    }

    pub(crate) fn is_evicted(&self, id: AccountId) -> bool {
        self.lock().ledger.is_evicted(id)
    }

    pub(crate) fn close(&self, id: AccountId) {
        let mut state = self.lock();
        state.ledger.close(id);
        state.evictions.remove(&id);
        drop(state);
        self.freed.notify_waiters();
    }
}
