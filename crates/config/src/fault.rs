//! What is wrong with an operators' text, and what to write instead.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::ResultCode;
use serde::Serialize;

/// The kinds of fault that a text can have. The slug is stable over releases.
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
    /// A key that nothing reads.
    UnknownKey,
    /// A key without which the text means nothing.
    MissingKey,
    /// A value of another type than the key takes.
    WrongType,
    /// A value of the right type that the key does not take.
    BadValue,
    /// The same name twice where names must differ.
    DuplicateName,
    /// A name that stands for nothing in this text.
    DanglingName,
    /// Services that depend on themselves.
    DependencyCycle,
    /// Limits that no service could keep.
    ImpossibleLimit,
    /// Adapters without a version.
    NoVersions,
    /// An adapter that two services would serve.
    AdapterInTwoServices,
    /// A pattern of adapter names that cannot be read.
    BadPattern,
    /// An included file that was not given.
    MissingInclude,
}

impl FaultKind {
    /// Every kind, for the operators' reference.
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

    /// The numbered result that carries this fault.
    pub fn code(self) -> ResultCode {
        match self {
            Self::TooLarge => ResultCode::TextTooLarge,
            _ => ResultCode::TextInvalid,
        }
    }
}

/// One fault of a text.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}:{column}: {}/{kind}: {message}; {fix}", kind.code())]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// The file, as the operators named it.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub fix: String,
}

/// Every fault of a text, in order of file and line. Never empty.
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
    /// The numbered result: that of the first fault.
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
