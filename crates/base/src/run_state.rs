//! Whether a request ran.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a caller is told about whether its request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request did not run and never will.
    #[display("not_run")]
    NotRun,
    /// The request was sent, and nobody can say whether it ran.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran.
    #[display("ran")]
    Ran,
}
