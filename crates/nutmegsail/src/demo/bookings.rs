//! One booking confirmation, as a caller goes about it.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use nutmegsail_base::ResultCode;
use tokio::time::{Instant, sleep};

use super::callers_client::{CallersClient, PAUSE, Reply, read_whole};
use super::load::{BOOKING_SERVICE, PATIENCE};
use super::{BookingRecord, CallerRefusal, Outcome};

/// The answer, and the answer of its repeat.
const ANSWERS_WANTED: usize = 2;

/// What the caller does next.
enum Next {
    /// It has its outcome.
    End(Outcome),
    /// It sends the same request with the same key after this pause.
    Again(Duration),
}

/// One booking confirmation under way.
///
/// It is sent again only with the same key, which the product must run at most once.
pub(crate) struct BookingCall {
    record: BookingRecord,
    began: Instant,
}

impl BookingCall {
    pub(crate) fn new(asked: BookingRecord) -> Self {
        Self {
            record: asked,
            began: Instant::now(),
        }
    }

    /// Goes on until the booking was confirmed twice over or is lost, or the caller's patience ends.
    pub(crate) async fn run(mut self, client: CallersClient) -> BookingRecord {
        let mut outcome = None;
        while outcome.is_none() && self.began.elapsed() < PATIENCE {
            match self.step(&client).await {
                Next::End(end) => outcome = Some(end),
                Next::Again(wait) => sleep(wait).await,
            }
        }
        let is_confirmed = !self.record.answers.is_empty();
        self.record.outcome = match outcome {
            // The booking stands, whatever became of its repeat.
            _ if is_confirmed => Outcome::Whole,
            Some(outcome) => outcome,
            None => self.given_up(),
        };
        self.record
    }

    async fn step(&mut self, client: &CallersClient) -> Next {
        let Ok(request) = self.request() else {
            return Next::End(Outcome::NoAnswer);
        };
        self.record.tries += 1;
        match client.send(request).await {
            Reply::Answer(answer) => match read_whole(answer.into_body()).await {
                Some(body) => self.take(&body),
                None => self.lost(),
            },
            Reply::Refused(refusal) => self.refused(refusal),
            Reply::Lost => self.lost(),
        }
    }

    fn request(&self) -> http::Result<Request<Full<Bytes>>> {
        Request::post(format!("/svc/{BOOKING_SERVICE}{}", self.record.path))
            .header("idempotency-key", &self.record.key)
            .header("nutmegsail-caller", &self.record.caller)
            .body(Full::from(r#"{"therapists":2}"#))
    }

    fn take(&mut self, body: &Bytes) -> Next {
        self.record.first_answer.get_or_insert(self.began.elapsed());
        let body = String::from_utf8_lossy(body).into_owned();
        self.record.answers.push(body);
        if self.record.answers.len() < ANSWERS_WANTED {
            // The repeat: the next send goes to another node.
            return Next::Again(Duration::ZERO);
        }
        Next::End(Outcome::Whole)
    }

    fn lost(&mut self) -> Next {
        self.record.lost += 1;
        Next::Again(PAUSE)
    }

    fn refused(&mut self, refusal: CallerRefusal) -> Next {
        let may_repeat = refusal.retry_helps || refusal.is(ResultCode::InProgress);
        let (is_not_run, wait) = (refusal.is_not_run(), refusal.wait());
        self.record.refusals.push(refusal);
        match (may_repeat, is_not_run) {
            (true, _) => Next::Again(wait),
            (false, true) => Next::End(Outcome::Refused),
            (false, false) => Next::End(Outcome::Unknown),
        }
    }

    fn given_up(&self) -> Outcome {
        let refusals = &self.record.refusals;
        let is_never_run = refusals.iter().all(CallerRefusal::is_not_run);
        match (refusals.is_empty(), is_never_run && self.record.lost == 0) {
            (true, _) => Outcome::NoAnswer,
            (false, true) => Outcome::Refused,
            (false, false) => Outcome::Unknown,
        }
    }
}
