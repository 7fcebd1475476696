//! The life of a request, from accepted to ended, and the words in which its caller is refused.
//!
//! This crate decides when a caller may be told "not run": only a [`Request`] that was never sent,
//! or that every upstream it was sent to refused for certain, gives the [`NotRunProof`] that
//! [`Refusal::not_run`] takes. It is told what happened to the request, does no I/O and never
//! chooses an upstream. [`PieceCount`] checks that an answer is whole, and [`AnswerHandle`] names
//! an answer so that its caller can resume it through any node.
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
//! Once a request has been dispatched, it can no longer be called "not run":
//!
//! ```compile_fail,E0599
//! # use nutmegsail_request::Request;
//! let request = Request::accept("018f3a".into()).queue().dispatch("10.0.0.1:9000".into());
//! let proof = request.not_run();
//! ```
//!
//! Nor can a proof be made up:
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
pub use piece_count::{PieceCount, PieceFault};
pub use refusal::Refusal;
pub use request::{
    Accepted, AfterFailure, Answering, Dispatched, Ended, Outcome, Queued, Request, Uncertain,
};
