//! Whether a request has run on an upstream.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request has run, as reported to its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request did not run and never will.
    #[display("not_run")]
    NotRun,
    /// The request was sent, and it is unknown whether it ran.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran.
    #[display("ran")]
    Ran,
}
