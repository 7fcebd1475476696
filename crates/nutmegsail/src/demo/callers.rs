//! The callers: each begins a request every so often, whatever became of the earlier ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::future::join_all;
use nutmegsail_base::Class;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::bookings::BookingCall;
use super::callers_client::CallersClient;
use super::load::{BOOK_EVERY, BOOKING_PATH, CALLERS_PER_KIND, STREAM_LOADS, StreamLoad, adapter};
use super::streams::StreamCall;
use super::{BookingRecord, Outcome, StreamRecord};

/// All callers at work.
pub(crate) struct Callers {
    is_changed: Arc<AtomicBool>,
    streams: Vec<JoinHandle<Vec<StreamRecord>>>,
    bookings: Vec<JoinHandle<Vec<BookingRecord>>>,
}

/// What one caller needs to begin requests.
#[derive(Clone)]
struct Caller {
    name: String,
    client: CallersClient,
    ends_at: Instant,
    is_changed: Arc<AtomicBool>,
}

impl Callers {
    /// Starts them. None begins a request after `ends_at`.
    pub(crate) fn start(client: &CallersClient, ends_at: Instant) -> Self {
        let is_changed: Arc<AtomicBool> = Arc::default();
        let caller = |kind: &str, number: u64| Caller {
            name: format!("{kind}-{number}"),
            client: client.clone(),
            ends_at,
            is_changed: Arc::clone(&is_changed),
        };
        let mut streams = Vec::new();
        let mut bookings = Vec::new();
        for number in 1..=CALLERS_PER_KIND {
            for load in STREAM_LOADS {
                let kind = match load.class {
                    Class::Urgent => "tablet",
                    Class::Routine => "writer",
                };
                streams.push(tokio::spawn(caller(kind, number).stream(load)));
            }
            bookings.push(tokio::spawn(caller("desk", number).book()));
        }
        Self {
            is_changed,
            streams,
            bookings,
        }
    }

    /// Lets callers ask for what only the changed text has.
    pub(crate) fn use_changed_text(&self) {
        self.is_changed.store(true, Ordering::Relaxed);
    }

    /// Waits until every request has its outcome.
    pub(crate) async fn finish(self) -> (Vec<StreamRecord>, Vec<BookingRecord>) {
        let streams = join_all(self.streams).await;
        let bookings = join_all(self.bookings).await;
        (
            streams.into_iter().flat_map(joined).collect(),
            bookings.into_iter().flat_map(joined).collect(),
        )
    }
}

impl Caller {
    async fn stream(self, load: StreamLoad) -> Vec<StreamRecord> {
        let mut calls = Vec::new();
        let mut number = 0;
        while Instant::now() < self.ends_at {
            number += 1;
            let call = self.stream_call(load, number);
            calls.push(tokio::spawn(call.run(self.client.for_request())));
            sleep(load.every).await;
        }
        finished(calls).await
    }

    fn stream_call(&self, load: StreamLoad, number: u64) -> StreamCall {
        let asked = StreamRecord {
            caller: self.name.clone(),
            class: load.class,
            adapter: adapter(number, self.is_changed.load(Ordering::Relaxed)),
            own_id: String::new(),
            asked_pieces: load.pieces,
            outcome: Outcome::NoAnswer,
            pieces: Vec::new(),
            count: None,
            answered_by: Vec::new(),
            first_token: None,
            resumed: 0,
            tries: 0,
            refusals: Vec::new(),
        };
        StreamCall::new(asked, format!("{}-{number}", self.name))
    }

    async fn book(self) -> Vec<BookingRecord> {
        let mut calls = Vec::new();
        let mut number: u64 = 0;
        while Instant::now() < self.ends_at {
            number += 1;
            let call = self.booking_call(number);
            calls.push(tokio::spawn(call.run(self.client.for_request())));
            sleep(BOOK_EVERY).await;
        }
        finished(calls).await
    }

    fn booking_call(&self, number: u64) -> BookingCall {
        BookingCall::new(BookingRecord {
            caller: self.name.clone(),
            key: Uuid::now_v7().to_string(),
            path: format!("{BOOKING_PATH}?guest={}-{number}", self.name),
            outcome: Outcome::NoAnswer,
            answers: Vec::new(),
            first_answer: None,
            tries: 0,
            lost: 0,
            refusals: Vec::new(),
        })
    }
}

/// A caller that panicked would leave a gap in the evidence, so it ends the demonstration.
fn joined<R>(result: Result<R, JoinError>) -> R {
    result.expect("a caller does not panic")
}

async fn finished<R>(calls: Vec<JoinHandle<R>>) -> Vec<R> {
    let records = join_all(calls).await;
    records.into_iter().map(joined).collect()
}
