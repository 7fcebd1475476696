//! The sending end towards one peer.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Aio, AioResult, Protocol, Socket};

use crate::{MessageKind, Traffic, WireError};

/// Messages that wait for one peer before the oldest is dropped.
const QUEUE_MESSAGES: usize = 64;
/// Bytes that wait for one peer before the oldest messages are dropped.
const QUEUE_BYTES: usize = 4 * 1024 * 1024;
const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_secs(1);

/// The sending end towards one peer: a socket, the one send under way, and what waits behind it.
pub(crate) struct Peer {
    socket: Socket,
    aio: Aio,
    queue: Arc<SendQueue>,
}

impl Peer {
    /// Dials `url` without waiting for the connection; nng goes on trying.
    pub(crate) fn dial(url: &str, traffic: Arc<Traffic>) -> Result<Self, WireError> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(0)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let queue = Arc::new(SendQueue::new(traffic));
        let aio = send_aio(&socket, &queue)?;
        socket.dial_async(url)?;
        Ok(Self { socket, aio, queue })
    }

    /// Queues a message. Never waits.
    pub(crate) fn send(&self, kind: MessageKind, bytes: Vec<u8>) {
        if let Some(next) = self.queue.push(Waiting { kind, bytes }) {
            start_send(&self.socket, &self.aio, &self.queue, &next);
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.socket.close();
    }
}

struct Waiting {
    kind: MessageKind,
    bytes: Vec<u8>,
}

struct SendQueue {
    state: Mutex<QueueState>,
    traffic: Arc<Traffic>,
}

#[derive(Default)]
struct QueueState {
    is_sending: bool,
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
}

impl SendQueue {
    fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            state: Mutex::default(),
            traffic,
        }
    }

    /// Adds a message, and returns it if it is to be sent at once.
    ///
    /// A peer that is cut off would fill the memory with what it missed. The oldest messages go,
    /// because a newer heartbeat or answer is worth more than an older one.
    fn push(&self, message: Waiting) -> Option<Waiting> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.is_sending {
            state.is_sending = true;
            return Some(message);
        }
        state.waiting_bytes += message.bytes.len();
        state.waiting.push_back(message);
        while state.waiting.len() > QUEUE_MESSAGES || state.waiting_bytes > QUEUE_BYTES {
            let Some(oldest) = state.waiting.pop_front() else {
                break;
            };
            state.waiting_bytes -= oldest.bytes.len();
            self.traffic.add_dropped_sending();
        }
        None
    }

    /// The message to send next, if any.
    fn next(&self) -> Option<Waiting> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let next = state.waiting.pop_front();
        match &next {
            Some(message) => state.waiting_bytes -= message.bytes.len(),
            None => state.is_sending = false,
        }
        next
    }
}

fn send_aio(socket: &Socket, queue: &Arc<SendQueue>) -> Result<Aio, WireError> {
    let socket = socket.clone();
    let queue = Arc::clone(queue);
    let aio = Aio::new(move |aio, result| {
        match result {
            AioResult::Send(Ok(())) => {}
            AioResult::Send(Err((_, nng::Error::Closed))) => return,
            _ => queue.traffic.add_dropped_sending(),
        }
        if let Some(next) = queue.next() {
            start_send(&socket, &aio, &queue, &next);
        }
    })?;
    Ok(aio)
}

/// Hands `message` to nng. The queue's lock is not held: nng may call back at once.
fn start_send(socket: &Socket, aio: &Aio, queue: &SendQueue, message: &Waiting) {
    queue.traffic.add_sent(message.kind, message.bytes.len());
    let sent = socket.send_async(aio, message.bytes.as_slice());
    debug_assert!(sent.is_ok(), "one send at a time is under way");
}
