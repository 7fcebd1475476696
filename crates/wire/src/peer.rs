//! The sending end towards one peer.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};

use crate::{MessageKind, Traffic, WireError};

/// Messages that wait for one peer before the oldest is dropped: so many while it is not
/// connected, and as many again inside nng while it does not read.
pub const QUEUE_MESSAGES: usize = 64;
/// Bytes that wait for a peer that is not connected before the oldest messages are dropped.
const QUEUE_BYTES: usize = 4 * 1024 * 1024;
const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_secs(1);

/// The sending end towards one peer: a socket of its own, and what waits until it is connected.
///
/// The sockets are nng's Pub and Sub, with each sender dialling its one receiver. Push would be the
/// natural choice, but nng 1.4 keeps a closed connection among Push's ready ones if the close meets
/// the end of a send; the next send uses freed memory and aborts the process. Pub checks for it.
pub(crate) struct Peer {
    outbox: Arc<Outbox>,
}

impl Peer {
    /// Dials `url` without waiting for the connection; nng goes on trying.
    pub(crate) fn dial(url: &str, traffic: Arc<Traffic>) -> Result<Self, WireError> {
        let socket = Socket::new(Protocol::Pub0)?;
        socket.set_opt::<SendBufferSize>(QUEUE_MESSAGES as i32)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let outbox = Arc::new(Outbox::new(traffic));
        let notified = Arc::clone(&outbox);
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => notified.connected(),
            PipeEvent::RemovePost => notified.disconnected(),
            _ => {}
        })?;
        outbox.lock().socket = Some(socket.clone());
        socket.dial_async(url)?;
        Ok(Self { outbox })
    }

    /// Sends a message, or keeps it until the peer is connected. Never waits.
    pub(crate) fn send(&self, kind: MessageKind, bytes: Vec<u8>) {
        self.outbox.send(Waiting { kind, bytes });
    }
}

impl Drop for Peer {
    /// The socket holds the outbox in its callback and the outbox the socket, so the outbox lets go
    /// of it here. Its lock must be free by then: closing waits for the callback.
    fn drop(&mut self) {
        let socket = self.outbox.lock().socket.take();
        if let Some(socket) = socket {
            socket.close();
        }
    }
}

struct Waiting {
    kind: MessageKind,
    bytes: Vec<u8>,
}

struct Outbox {
    state: Mutex<OutboxState>,
    traffic: Arc<Traffic>,
}

#[derive(Default)]
struct OutboxState {
    socket: Option<Socket>,
    is_connected: bool,
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
}

impl Outbox {
    fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            state: Mutex::default(),
            traffic,
        }
    }

    fn lock(&self) -> MutexGuard<'_, OutboxState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, message: Waiting) {
        let mut state = self.lock();
        if state.is_connected {
            self.hand_over(&state, &message);
        } else {
            self.keep(&mut state, message);
        }
    }

    /// A peer that is cut off would fill the memory with what it missed. The oldest messages go,
    /// because a newer heartbeat or answer is worth more than an older one.
    fn keep(&self, state: &mut OutboxState, message: Waiting) {
        state.waiting_bytes += message.bytes.len();
        state.waiting.push_back(message);
        while state.waiting.len() > QUEUE_MESSAGES || state.waiting_bytes > QUEUE_BYTES {
            let Some(oldest) = state.waiting.pop_front() else {
                break;
            };
            state.waiting_bytes -= oldest.bytes.len();
            self.traffic.add_dropped_sending();
        }
    }

    fn connected(&self) {
        let mut state = self.lock();
        state.is_connected = true;
        state.waiting_bytes = 0;
        for message in std::mem::take(&mut state.waiting) {
            self.hand_over(&state, &message);
        }
    }

    fn disconnected(&self) {
        self.lock().is_connected = false;
    }

    /// Hands a message to nng, which never waits on a Pub socket.
    fn hand_over(&self, state: &OutboxState, message: &Waiting) {
        let sent = state
            .socket
            .as_ref()
            .map(|socket| socket.try_send(message.bytes.as_slice()));
        match sent {
            Some(Ok(())) => self.traffic.add_sent(message.kind, message.bytes.len()),
            _ => self.traffic.add_dropped_sending(),
        }
    }
}
