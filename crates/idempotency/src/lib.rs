//! Calls that run at most once: claims, tickets, recorded answers.
//!
//! Decides whether a once-only call may be dispatched, gets the recorded answer of an earlier
//! attempt, or is refused. It is told of calls, outcomes, the store's answers and other nodes'
//! messages. It does no I/O, reads no clock, and never takes a claim over from anybody: a claim
//! belongs to the node incarnation that wrote it, for as long as the claim is kept.
//!
//! Start at [`Claims::handle`]; [`IdempotencyKey`] is what callers send.

mod answer;
mod asks;
mod chain;
mod claims;
mod collector;
mod commit;
mod digest;
mod entry;
mod event;
mod key;
mod lane;
mod operation;
mod own_claims;
mod place;
mod queued;
mod record;
mod settings;
mod shard_writer;
mod tickets;
mod token_source;
mod verdict;
mod writers;

pub use answer::{ClaimOutcome, RecordedAnswer, RecordedHeader};
pub use claims::Claims;
pub use digest::RequestDigest;
pub use entry::{ClaimEntry, ClaimState, Claimant};
pub use event::{
    ClaimAction, ClaimEvent, ClaimToken, ForwardResult, LiveNode, StoreFault, StoredRecord,
    SwapFault,
};
pub use key::{IdempotencyKey, KeyError, Ticket};
pub use operation::{ClaimOperation, OperationResult, WriterEntry, WriterResult};
pub use place::{BUCKET_MS, CLAIMS_PREFIX, ChainPlace, SHARDS, is_past_retention, writer_of};
pub use record::{ClaimRecord, RecordError};
pub use settings::ClaimSettings;
