//! Why a command failed.

use nutmegsail_base::ResultCode;
use nutmegsail_config::{Changes, Faults, FetchError, Generation, PublishError};
use nutmegsail_store::KeyValueError;
use serde::Serialize;
use thiserror::Error;

use crate::ExitCode;

/// Why a command failed. Each failure has an exit code, and most have a numbered result.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("`{path}` cannot be read: {why}")]
    File {
        /// The file.
        path: String,
        /// What the operating system says.
        why: String,
    },
    /// No log has a line of the request.
    #[error(
        "no line of the request `{request}` is in these logs; {unreadable} lines could not be read"
    )]
    NotInLogs {
        /// The request's id.
        request: String,
        /// Lines that were cut off or are no JSON.
        unreadable: usize,
    },
    /// The text has faults.
    #[error("{0}")]
    Text(Faults),
    /// The accepted text could not be read from the platform.
    #[error("{0}")]
    Fetch(FetchError),
    /// The platform holds no text yet.
    #[error("no text was accepted yet")]
    NoTextAccepted,
    /// The text was not accepted, or is not known to be.
    #[error("{error}{}", advice(error, *base))]
    Publish {
        /// Why.
        error: PublishError,
        /// The generation that the change was made from.
        base: Option<Generation>,
    },
    /// The platform's key-value service did not do what it was asked.
    #[error("{0}")]
    Store(KeyValueError),
    /// A node gave no answer.
    #[error("the node at {address} cannot be reached: {why}")]
    NodeUnreachable {
        /// Its operators' listener.
        address: String,
        /// How that showed.
        why: String,
    },
    /// A node answered with an error.
    #[error("the node at {address} refused: {message}")]
    NodeRefused {
        /// Its operators' listener.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The number of its result, if it gave one.
        number: Option<u16>,
        /// What it said.
        message: String,
    },
}

/// A failure as `--json` prints it.
#[derive(Serialize)]
pub(crate) struct ErrorJson<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<String>,
    exit_code: u8,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    faults: Option<&'a Faults>,
    #[serde(skip_serializing_if = "Option::is_none")]
    conflict: Option<ConflictJson<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    writer: Option<&'a str>,
}

/// What another operator changed first.
#[derive(Serialize)]
struct ConflictJson<'a> {
    generation: Generation,
    changes: &'a Changes,
}

impl CommandError {
    /// What the process exits with.
    ///
    /// ```
    /// use nutmegsail::{CommandError, ExitCode};
    /// let error = CommandError::Usage("`--node` is missing".to_owned());
    /// assert_eq!(error.exit_code(), ExitCode::Usage);
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::File { .. } | Self::NoTextAccepted | Self::NotInLogs { .. } => {
                ExitCode::Usage
            }
            Self::Text(_) => ExitCode::TextFaults,
            Self::Fetch(_) => ExitCode::PlatformUnavailable,
            Self::Publish { error, .. } => publish_exit_code(error),
            Self::Store(KeyValueError::Ambiguous) => ExitCode::OutcomeUnknown,
            Self::Store(_) => ExitCode::PlatformUnavailable,
            // What the operator named is not there, so asking again won't help.
            Self::NodeRefused { status, .. } if (400..500).contains(status) => ExitCode::Usage,
            Self::NodeRefused { .. } | Self::NodeUnreachable { .. } => ExitCode::NodeUnreachable,
        }
    }

    /// The numbered result as `NS1234`, where there is one.
    pub fn code(&self) -> Option<String> {
        match self {
            Self::Usage(_) | Self::File { .. } | Self::NotInLogs { .. } => None,
            Self::Text(faults) => Some(faults.code().to_string()),
            Self::Fetch(error) => Some(error.code().to_string()),
            Self::NoTextAccepted => Some(ResultCode::NoTextInForce.to_string()),
            Self::Publish { error, .. } => Some(error.code().to_string()),
            Self::Store(error) => Some(error.code().to_string()),
            Self::NodeUnreachable { .. } => Some(ResultCode::NodeUnreachable.to_string()),
            Self::NodeRefused { number, .. } => number.map(|number| format!("NS{number}")),
        }
    }

    pub(crate) fn to_json(&self) -> ErrorJson<'_> {
        ErrorJson {
            error: ErrorFields {
                code: self.code(),
                exit_code: self.exit_code() as u8,
                message: self.headline(),
                faults: self.faults(),
                conflict: self.conflict(),
                writer: self.writer(),
            },
        }
    }

    /// The message without what `--json` prints in fields of its own.
    fn headline(&self) -> String {
        if let Some(faults) = self.faults() {
            return format!("the text has {} faults", faults.0.len());
        }
        match self.conflict() {
            Some(conflict) => {
                let generation = conflict.generation;
                format!("another operator published generation {generation} meanwhile")
            }
            None => self.to_string(),
        }
    }

    fn faults(&self) -> Option<&Faults> {
        match self {
            Self::Text(faults)
            | Self::Publish {
                error: PublishError::Invalid(faults),
                ..
            } => Some(faults),
            _ => None,
        }
    }

    fn conflict(&self) -> Option<ConflictJson<'_>> {
        let Self::Publish {
            error: PublishError::Conflict(conflict),
            ..
        } = self
        else {
            return None;
        };
        Some(ConflictJson {
            generation: conflict.head.generation,
            changes: &conflict.changes,
        })
    }

    fn writer(&self) -> Option<&str> {
        match self {
            Self::Publish {
                error: PublishError::Undecided { writer },
                ..
            } => Some(&writer.0),
            _ => None,
        }
    }
}

fn publish_exit_code(error: &PublishError) -> ExitCode {
    match error {
        PublishError::Invalid(_) => ExitCode::TextFaults,
        PublishError::Conflict(_) => ExitCode::Conflict,
        PublishError::NotAccepted(_) if error.code() == ResultCode::TextTooLarge => {
            ExitCode::TextFaults
        }
        PublishError::NotAccepted(_) | PublishError::StoreBehind { .. } => {
            ExitCode::PlatformUnavailable
        }
        PublishError::Undecided { .. } => ExitCode::OutcomeUnknown,
    }
}

/// What the operator can do next, where that is not plain.
fn advice(error: &PublishError, base: Option<Generation>) -> String {
    let base = base.unwrap_or_default();
    match error {
        PublishError::Conflict(conflict) => {
            let theirs = conflict.head.generation;
            format!("\ntake their change into your text, then apply it with --base {theirs}")
        }
        PublishError::Undecided { writer } => format!(
            "\napply the same text with --base {base} --resume {writer} to learn the outcome"
        ),
        _ => String::new(),
    }
}
