//! One streamed generation, as a caller goes about it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use nutmegsail_base::{Class, ResultCode};
use nutmegsail_http_pool::PooledBody;
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::callers_client::{CallersClient, GAP_TIMEOUT, PAUSE, Reply};
use super::load::{PATIENCE, URGENT_CALL};
use super::{CallerRefusal, EventReader, Outcome, Piece, SentEvent, StreamRecord};

/// What the caller does next.
enum Next {
    /// It has its outcome.
    End(Outcome),
    /// It tries again after this pause.
    Again(Duration),
}

/// One streamed generation under way.
pub(crate) struct StreamCall {
    record: StreamRecord,
    id: String,
    handle: Option<String>,
    began: Instant,
}

#[derive(Deserialize)]
struct PieceJson {
    choices: Vec<ChoiceJson>,
}

#[derive(Deserialize)]
struct ChoiceJson {
    text: String,
}

#[derive(Deserialize)]
struct EndJson {
    count: u64,
}

impl StreamCall {
    /// A stream that `asked` describes; `id` is the caller's own name for it.
    pub(crate) fn new(asked: StreamRecord, id: String) -> Self {
        Self {
            record: asked,
            id,
            handle: None,
            began: Instant::now(),
        }
    }

    /// Goes on until the answer is whole or lost, or the caller's patience ends.
    pub(crate) async fn run(mut self, client: CallersClient) -> StreamRecord {
        while self.began.elapsed() < PATIENCE {
            match self.step(&client).await {
                Next::End(outcome) => {
                    self.record.outcome = outcome;
                    return self.record;
                }
                Next::Again(wait) => sleep(wait).await,
            }
        }
        self.record.outcome = self.given_up();
        self.record
    }

    async fn step(&mut self, client: &CallersClient) -> Next {
        match self.handle.clone() {
            None => self.ask(client).await,
            Some(handle) => self.resume(client, &handle).await,
        }
    }

    /// Sends the request anew. No piece of it has come, and running a generation twice does no harm.
    async fn ask(&mut self, client: &CallersClient) -> Next {
        self.record.tries += 1;
        self.record.own_id = format!("{}-{}", self.id, self.record.tries);
        let Ok(request) = self.request() else {
            return Next::End(Outcome::NoAnswer);
        };
        match client.send(request).await {
            Reply::Answer(answer) => {
                self.handle = header(answer.headers(), "nutmegsail-answer");
                if self.handle.is_none() {
                    return Next::End(Outcome::Cut);
                }
                self.read(*answer).await
            }
            Reply::Refused(refusal) => {
                let (retry_helps, wait) = (refusal.retry_helps, refusal.wait());
                self.record.refusals.push(refusal);
                if retry_helps {
                    Next::Again(wait)
                } else {
                    Next::End(Outcome::Refused)
                }
            }
            Reply::Lost => Next::Again(PAUSE),
        }
    }

    fn request(&self) -> http::Result<Request<Full<Bytes>>> {
        let body = serde_json::json!({
            "model": self.record.adapter.to_string(),
            "prompt": format!("Guest {}", self.id),
            "max_tokens": self.record.asked_pieces,
            "stream": true,
        });
        let mut request = Request::post("/v1/completions")
            .header("nutmegsail-request-id", &self.record.own_id)
            .header("nutmegsail-caller", &self.record.caller);
        if self.record.class == Class::Urgent {
            request = request.header("nutmegsail-call", URGENT_CALL);
        }
        request.body(Full::from(body.to_string()))
    }

    async fn resume(&mut self, client: &CallersClient, handle: &str) -> Next {
        let last_id = self.record.pieces.last().map_or(0, |piece| piece.id);
        let request = Request::get(format!("/v1/answers/{handle}"))
            .header("last-event-id", last_id)
            .header("nutmegsail-caller", &self.record.caller)
            .body(Full::default());
        let Ok(request) = request else {
            return Next::End(Outcome::Cut);
        };
        match client.send(request).await {
            Reply::Answer(answer) => {
                self.record.resumed += 1;
                self.read(*answer).await
            }
            Reply::Refused(refusal) => self.refused_resume(refusal),
            Reply::Lost => Next::Again(PAUSE),
        }
    }

    fn refused_resume(&mut self, refusal: CallerRefusal) -> Next {
        let is_gone = refusal.is(ResultCode::UnknownAnswer);
        let (retry_helps, wait) = (refusal.retry_helps, refusal.wait());
        self.record.refusals.push(refusal);
        if is_gone && self.record.pieces.is_empty() {
            // Nothing came of the run that is gone, so there is nothing to splice.
            self.handle = None;
            return Next::Again(PAUSE);
        }
        if retry_helps {
            Next::Again(wait)
        } else {
            Next::End(Outcome::Cut)
        }
    }

    async fn read(&mut self, answer: Response<PooledBody>) -> Next {
        let adapter = header(answer.headers(), "nutmegsail-adapter");
        self.record.answered_by.push(adapter.unwrap_or_default());
        let mut body = answer.into_body();
        let mut reader = EventReader::default();
        loop {
            let Ok(Some(Ok(frame))) = timeout(GAP_TIMEOUT, body.frame()).await else {
                return Next::Again(PAUSE);
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            for event in reader.push(&bytes) {
                if let Some(next) = self.take(&event) {
                    return next;
                }
            }
        }
    }

    fn take(&mut self, event: &SentEvent) -> Option<Next> {
        match event.name.as_str() {
            "end" => {
                let end: Option<EndJson> = serde_json::from_str(&event.data).ok();
                self.record.count = end.map(|end| end.count);
                Some(Next::End(Outcome::Whole))
            }
            "error" => {
                let refusal = CallerRefusal::read(event.data.as_bytes());
                let wait = refusal.wait();
                self.record.refusals.push(refusal);
                Some(Next::Again(wait))
            }
            _ => {
                self.record.first_token.get_or_insert(self.began.elapsed());
                self.record.pieces.push(piece(event));
                None
            }
        }
    }

    fn given_up(&self) -> Outcome {
        match (self.record.pieces.is_empty(), self.record.refusals.last()) {
            (false, _) => Outcome::Cut,
            (true, Some(_)) => Outcome::Refused,
            (true, None) => Outcome::NoAnswer,
        }
    }
}

fn piece(event: &SentEvent) -> Piece {
    let json: Option<PieceJson> = serde_json::from_str(&event.data).ok();
    let choice = json.and_then(|json| json.choices.into_iter().next());
    Piece {
        id: event.id.unwrap_or_default(),
        text: choice.map(|choice| choice.text).unwrap_or_default(),
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
