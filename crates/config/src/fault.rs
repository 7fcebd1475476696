//! Faults of an operators' text, with suggested fixes.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::ResultCode;
use serde::Serialize;

/// The kinds of fault that a text can have. Their kebab-case names are stable across releases.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The text is not TOML.
    Syntax,
    /// The text is not UTF-8.
    Encoding,
    /// The text is larger than the platform's values allow.
    TooLarge,
    /// A key that does not exist in this table.
    UnknownKey,
    /// A required key is missing.
    MissingKey,
    /// A value of the wrong type.
    WrongType,
    /// A value of the right type that the key does not accept.
    BadValue,
    /// A name used twice where names must be unique.
    DuplicateName,
    /// A reference to a name that the text does not define.
    DanglingName,
    /// Services that depend on each other in a cycle.
    DependencyCycle,
    /// A limit or target that cannot be met, or a number out of its range.
    ImpossibleLimit,
    /// Adapters without versions.
    NoVersions,
    /// An adapter listed in two services.
    AdapterInTwoServices,
    /// A malformed pattern of adapter names, or one with too many names.
    BadPattern,
    /// An included file that was not found.
    MissingInclude,
}

impl FaultKind {
    /// All kinds, to check that the operators' reference lists them.
    pub const ALL: [Self; 15] = [
        Self::Syntax,
        Self::Encoding,
        Self::TooLarge,
        Self::UnknownKey,
        Self::MissingKey,
        Self::WrongType,
        Self::BadValue,
        Self::DuplicateName,
        Self::DanglingName,
        Self::DependencyCycle,
        Self::ImpossibleLimit,
        Self::NoVersions,
        Self::AdapterInTwoServices,
        Self::BadPattern,
        Self::MissingInclude,
    ];

    /// The result code of a text with this fault.
    pub fn code(self) -> ResultCode {
        match self {
            Self::TooLarge => ResultCode::TextTooLarge,
            _ => ResultCode::TextInvalid,
        }
    }
}

/// A fault of a text.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}:{column}: {}/{kind}: {message}; {fix}", kind.code())]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// The name of the file, as the operators gave it.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: u32,
    /// The column in characters, counted from 1.
    pub column: u32,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub fix: String,
}

/// All faults of a text, sorted by position, those of the main file first. Never empty.
///
/// ```
/// use nutmegsail_config::Deployment;
///
/// let faults = Deployment::parse("[deploymnt]", "mine.toml").unwrap_err();
/// assert!(faults.to_string().contains("mine.toml:1:2: NS5001/unknown-key"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// The result code of the first fault.
    pub fn code(&self) -> ResultCode {
        self.0
            .first()
            .map_or(ResultCode::TextInvalid, |fault| fault.kind.code())
    }
}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
