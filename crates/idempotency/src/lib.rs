//! Once-only calls, which run at most once: claims, tickets and recorded answers.
//!
//! For each once-only call, this crate decides whether the call may be dispatched, gets the
//! recorded answer of an earlier attempt, or is refused. Its input is events: arriving calls,
//! outcomes, results of store calls, and messages of other nodes. It does no I/O and reads no
//! clock. A claim belongs to the node incarnation that made it until the claim's record is deleted;
//! it is never taken over.
//!
//! Start at [`Claims::handle`]. Callers send an [`IdempotencyKey`].

mod answer;
mod chain;
mod chain_writer;
mod claims;
mod commit;
mod digest;
mod entry;
mod event;
mod garbage_collector;
mod key;
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
mod writer_requests;
mod writer_selector;

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
