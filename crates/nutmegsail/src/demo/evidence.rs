//! What callers and operators saw during the demonstration.

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_config::Generation;
use serde::Serialize;

use super::{CallerRefusal, Ledgers};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came.
    #[display("whole")]
    Whole,
    /// A part of the answer came, and the caller was told that the rest is lost.
    #[display("cut")]
    Cut,
    /// The caller was refused for good.
    #[display("refused")]
    Refused,
    /// The caller was told that nobody can say whether it ran.
    #[display("unknown")]
    Unknown,
    /// The caller's patience ended without an answer.
    #[display("no answer")]
    NoAnswer,
}

/// One piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The event's id.
    pub id: u64,
    /// The text, which the stand-in writes as `REQUEST/ADAPTER@VERSION/N `.
    pub text: String,
}

/// What a caller got for one streamed generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Who asked.
    pub caller: String,
    /// The class of the request.
    pub class: Class,
    /// The adapter and version asked for.
    pub adapter: AdapterRef,
    /// The caller's own id of the request that was answered.
    pub own_id: String,
    /// How many pieces were asked for.
    pub asked_pieces: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The pieces, over all resumes.
    pub pieces: Vec<Piece>,
    /// The count of the end event, if it came.
    pub count: Option<u64>,
    /// What the answer and each of its resumes named as the adapter.
    pub answered_by: Vec<String>,
    /// When the first piece came, after the first try.
    pub first_token: Option<Duration>,
    /// How often the answer was resumed.
    pub resumed: u32,
    /// How often the request was sent anew.
    pub tries: u32,
    /// Everything that the caller was refused with, the last one last.
    pub refusals: Vec<CallerRefusal>,
}

/// What a caller got for one booking confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingRecord {
    /// Who asked.
    pub caller: String,
    /// The idempotency key of all its tries.
    pub key: String,
    /// The path asked for.
    pub path: String,
    /// How it ended.
    pub outcome: Outcome,
    /// The bodies of the first answer and of its repeat through another node.
    pub answers: Vec<String>,
    /// When the first answer came, after the first try.
    pub first_answer: Option<Duration>,
    /// How often it was sent.
    pub tries: u32,
    /// How many tries got no answer at all.
    pub lost: u32,
    /// Everything that the caller was refused with, the last one last.
    pub refusals: Vec<CallerRefusal>,
}

/// One look at a node's generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// When the node was asked, since the demonstration began.
    pub asked_at: Duration,
    /// The generation in force, 0 for none; `None` if the node gave no answer.
    pub generation: Option<Generation>,
}

/// All looks at one node's generation, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodePolls {
    /// The node's operators' listener.
    pub node: String,
    /// The looks.
    pub polls: Vec<Poll>,
}

/// The change of the text under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextChange {
    /// The generation of the changed text.
    pub generation: Generation,
    /// When `apply` was begun, since the demonstration began.
    pub asked_at: Duration,
}

/// Everything that the checks look at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoEvidence {
    /// Every streamed generation.
    pub streams: Vec<StreamRecord>,
    /// Every booking confirmation.
    pub bookings: Vec<BookingRecord>,
    /// Every node's generations.
    pub polls: Vec<NodePolls>,
    /// What the upstreams really ran.
    pub ledgers: Ledgers,
    /// The change of the text.
    pub change: TextChange,
}

impl DemoEvidence {
    /// Every refusal that a caller was told.
    pub fn refusals(&self) -> impl Iterator<Item = &CallerRefusal> {
        let of_streams = self.streams.iter().flat_map(|record| &record.refusals);
        let of_bookings = self.bookings.iter().flat_map(|record| &record.refusals);
        of_streams.chain(of_bookings)
    }
}
