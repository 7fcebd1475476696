//! What a connection is used for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{Charge, ConnectionAccount, CurrentUse};

/// What a connection holds by itself: its task, and the buffers that the HTTP library keeps.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// What a request holds beside its bytes: its routing state, and a connection to an upstream.
const REQUEST_BYTES: usize = 16 * 1024;

/// What is held while a client does not read its answer: buffers here and in the kernel, on the way
/// from the upstream and to the client.
const UNREAD_ANSWER_BYTES: usize = 640 * 1024;

/// What the kernel may hold of requests that a client sends before it has its answer.
const EARLY_BYTES: usize = 256 * 1024;

/// The part of a request or answer that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Head,
    Body,
    Answer,
}

/// What a connection is used for, as its socket and its service see it.
pub struct ConnectionUse {
    account: Arc<ConnectionAccount>,
    state: Mutex<State>,
}

struct State {
    phase: Phase,
    /// Held for the request, without its body.
    request: Charge,
    /// Held while the client does not read its answer.
    unread_answer: Charge,
    /// Held while the client has sent more than the request that is answered.
    early_bytes: Charge,
    /// Whether a part of the last request's body was not read.
    has_unread_body: bool,
}

impl State {
    fn current_use(&self) -> CurrentUse {
        let keeps_waiting = self.unread_answer.bytes() > 0 || self.early_bytes.bytes() > 0;
        match self.phase {
            _ if keeps_waiting => CurrentUse::Unfinished,
            Phase::Idle => CurrentUse::Idle,
            Phase::Head | Phase::Body => CurrentUse::Unfinished,
            Phase::Answer => CurrentUse::InProgress,
        }
    }
}

impl ConnectionUse {
    /// The use of a connection that has no request yet.
    pub fn new(account: Arc<ConnectionAccount>) -> Self {
        let state = State {
            phase: Phase::Idle,
            request: Charge::empty(&account),
            unread_answer: Charge::empty(&account),
            early_bytes: Charge::empty(&account),
            has_unread_body: false,
        };
        Self {
            account,
            state: Mutex::new(state),
        }
    }

    /// What the connection holds.
    pub fn account(&self) -> &Arc<ConnectionAccount> {
        &self.account
    }

    /// Whether the next bytes belong to the head of a request.
    pub fn is_before_request(&self) -> bool {
        matches!(self.lock().phase, Phase::Idle | Phase::Head)
    }

    /// Whether a part of a head has arrived, and its end has not.
    pub fn is_in_head(&self) -> bool {
        self.lock().phase == Phase::Head
    }

    /// Whether a body arrives, whose reader refuses it if the connection has to end.
    pub fn is_in_body(&self) -> bool {
        self.lock().phase == Phase::Body
    }

    /// Whether the client may still be sending a body that nobody reads.
    pub fn has_unread_body(&self) -> bool {
        self.lock().has_unread_body
    }

    /// Records bytes that were read.
    pub fn record_read(&self, bytes: usize) {
        self.update(|state| match state.phase {
            Phase::Idle | Phase::Head => {
                state.phase = Phase::Head;
                state.request.add(bytes);
            }
            Phase::Body => {}
            Phase::Answer => hold_early_bytes(state),
        });
    }

    /// Records that the client has sent more than the request that is answered.
    pub fn record_early_bytes(&self) {
        if self.lock().phase == Phase::Answer {
            self.update(hold_early_bytes);
        }
    }

    /// Records whether the client keeps a write waiting.
    pub fn set_write_blocked(&self, is_blocked: bool) {
        self.update(|state| {
            let held = state.unread_answer.bytes();
            match is_blocked {
                true => state.unread_answer.add(UNREAD_ANSWER_BYTES - held),
                false => state.unread_answer.shrink(held),
            }
        });
    }

    /// The head of a request has arrived.
    pub fn begin_request(&self, has_body: bool) {
        self.update(|state| {
            // The headers that were parsed are another copy of the head.
            let head_bytes = state.request.bytes();
            state.request.add(head_bytes + REQUEST_BYTES);
            state.early_bytes.shrink(EARLY_BYTES);
            state.phase = match has_body {
                true => Phase::Body,
                false => Phase::Answer,
            };
        });
    }

    /// The request was read to its end. Returns false if the connection has to end, so that the request
    /// may not run.
    #[must_use]
    pub fn begin_answer(&self) -> bool {
        self.update(|state| state.phase = Phase::Answer);
        !self.account.is_evicted()
    }

    /// The request is refused, and its body was not read to its end.
    pub fn record_unread_body(&self) {
        self.update(|state| {
            state.has_unread_body = true;
            state.phase = Phase::Body;
        });
    }

    /// Records that the answer has ended once the result is dropped.
    pub fn answer_in_use(self: &Arc<Self>) -> AnswerInUse {
        AnswerInUse(Arc::clone(self))
    }

    fn end_answer(&self) {
        self.update(|state| {
            let held = state.request.bytes();
            state.request.shrink(held);
            if !state.has_unread_body {
                state.phase = Phase::Idle;
            }
        });
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        let use_before = state.current_use();
        change(&mut state);
        let use_now = state.current_use();
        if use_before != use_now {
            self.account.set_use(use_now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn hold_early_bytes(state: &mut State) {
    if state.early_bytes.bytes() == 0 {
        state.early_bytes.add(EARLY_BYTES);
    }
}

impl Drop for ConnectionUse {
    /// A body may outlast its connection; nothing more can be freed by ending it.
    fn drop(&mut self) {
        self.account.set_use(CurrentUse::InProgress);
    }
}

/// The answer on a connection, until dropped.
pub struct AnswerInUse(Arc<ConnectionUse>);

impl Drop for AnswerInUse {
    fn drop(&mut self) {
        self.0.end_answer();
    }
}
