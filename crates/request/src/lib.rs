//! The state machine of a request, and the refusals that are sent to callers.
//!
//! This crate decides when a caller may be told "not run". That needs the [`NotRunProof`] of a
//! [`Request`] that was never sent, or that certainly did not run at any upstream it was sent to;
//! [`Refusal::not_run`] takes this proof. The crate only records what happened to the request: it
//! does no I/O and chooses no upstream. [`PieceCount`] checks that an answer is complete, and
//! [`AnswerHandle`] identifies an answer so that its caller can resume it through any node.
//!
//! Start at [`Request::accept`]:
//!
//! ```
//! use nutmegsail_base::{ResultCode, RunState};
//! use nutmegsail_request::{Refusal, Request};
//!
//! let request = Request::accept("018f3a".into()).queue();
//! let refusal = Refusal::not_run(request.not_run(), ResultCode::QueueFull, "400 requests wait");
//! assert_eq!(refusal.run_state(), RunState::NotRun);
//! ```
//!
//! A dispatched request gives no proof that it did not run:
//!
//! ```compile_fail,E0599
//! # use nutmegsail_request::Request;
//! let request = Request::accept("018f3a".into()).queue().dispatch("10.0.0.1:9000".into());
//! let proof = request.not_run();
//! ```
//!
//! Other crates cannot construct a proof:
//!
//! ```compile_fail,E0451
//! # use nutmegsail_request::NotRunProof;
//! let proof = NotRunProof { request: "018f3a".into() };
//! ```

mod answer_handle;
mod not_run_proof;
mod piece_count;
mod refusal;
mod request;

pub use answer_handle::{AnswerHandle, AnswerHandleError};
pub use not_run_proof::NotRunProof;
pub use piece_count::{PieceCount, PieceError};
pub use refusal::Refusal;
pub use request::{
    Accepted, AfterFailure, Answering, Dispatched, Ended, Outcome, Queued, Request, Uncertain,
};
