//! One run of an engine and those who read its answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use nutmegsail_base::{AdapterRef, Incarnation, RequestId};
use nutmegsail_upstream::{AnswerEnd, Attachment, StreamEvent, UpstreamError};
use serde::Serialize;
use tokio::sync::watch;

use crate::engine::EngineShared;

/// Where a run stands in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    Waiting,
    Batched,
    /// Cancelled: it takes no slot, and a resume puts it back.
    Stopped,
    Ended,
}

/// What the readers of a run follow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) made: u64,
    pub(crate) is_ended: bool,
    pub(crate) is_stopped: bool,
    /// How often all connections were cut.
    pub(crate) cuts: u32,
}

#[derive(Debug)]
pub(crate) struct Run {
    /// Tells two runs of one request id apart.
    pub(crate) number: u64,
    pub(crate) adapter: AdapterRef,
    pub(crate) priority: u8,
    pub(crate) arrival: u64,
    pub(crate) total: u64,
    pub(crate) phase: RunPhase,
    pub(crate) is_resumable: bool,
    pub(crate) readers: u32,
    /// The latest reader's.
    pub(crate) attachment: Attachment,
    pub(crate) unread_since: Option<Instant>,
    pub(crate) progress: watch::Sender<Progress>,
}

#[derive(Serialize)]
struct EventJson {
    choices: [ChoiceJson; 1],
}

#[derive(Serialize)]
struct ChoiceJson {
    index: u32,
    text: String,
}

/// The text of one event. It names request, adapter and place, so that a test can prove that
/// streams never mix.
pub(crate) fn event_json(request: &RequestId, adapter: &AdapterRef, id: u64) -> Bytes {
    let text = format!("{request}/{adapter}/{id} ");
    let event = EventJson {
        choices: [ChoiceJson { index: 0, text }],
    };
    Bytes::from(serde_json::to_vec(&event).unwrap_or_default())
}

/// A reader of one run's answer. Dropping it leaves the run, which is cancelled unless it is
/// resumable or its connection had broken.
#[derive(Debug)]
pub struct EngineSubscription {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The adapter that makes the answer.
    pub adapter: AdapterRef,
    /// Which reader of the run this is.
    pub attachment: Attachment,
    pub(crate) request: RequestId,
    pub(crate) run_number: u64,
    pub(crate) sent: u64,
    pub(crate) breaks_after: Option<u64>,
    pub(crate) cuts: u32,
    pub(crate) is_over: bool,
    pub(crate) has_broken: bool,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) engine: Arc<EngineShared>,
}

impl EngineSubscription {
    /// The next event; nothing follows the end or an error.
    pub async fn next(&mut self) -> Option<Result<StreamEvent, UpstreamError>> {
        if self.is_over {
            return None;
        }
        loop {
            let progress = *self.progress.borrow_and_update();
            let is_cut = progress.cuts > self.cuts || self.breaks_after == Some(self.sent);
            if is_cut {
                return self.break_off();
            }
            if self.sent < progress.made {
                self.sent += 1;
                let json = event_json(&self.request, &self.adapter, self.sent);
                return Some(Ok(StreamEvent::Piece {
                    id: self.sent,
                    json,
                }));
            }
            if progress.is_ended {
                self.is_over = true;
                let reason = "stop".to_owned();
                let count = progress.made;
                return Some(Ok(StreamEvent::End(AnswerEnd { count, reason })));
            }
            let engine_is_gone = !progress.is_stopped && self.progress.changed().await.is_err();
            if progress.is_stopped || engine_is_gone {
                return self.break_off();
            }
        }
    }

    fn break_off(&mut self) -> Option<Result<StreamEvent, UpstreamError>> {
        self.is_over = true;
        self.has_broken = true;
        Some(Err(UpstreamError::Broken))
    }
}

impl Drop for EngineSubscription {
    fn drop(&mut self) {
        self.engine
            .leave(&self.request, self.run_number, self.has_broken);
    }
}
