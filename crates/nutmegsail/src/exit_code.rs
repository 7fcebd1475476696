//! What the process exits with.

/// The exit codes of `nutmegsail`, stable over releases. `docs/operators/command-line.md` lists them.
///
/// ```
/// use nutmegsail::ExitCode;
/// assert_eq!(ExitCode::Conflict as u8, 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// The text has faults; nothing was changed.
    TextFaults = 1,
    /// The command line is wrong, names something that is not there, or a file cannot be read.
    Usage = 2,
    /// Another operator changed the text first; nothing was changed.
    Conflict = 3,
    /// The text was accepted, but not every node was seen to run it in time.
    NotInForce = 4,
    /// The platform's key-value service cannot be reached or refused; nothing was changed.
    PlatformUnavailable = 5,
    /// No answer came to a write; it may have taken effect.
    OutcomeUnknown = 6,
    /// A node cannot be reached or refused to answer.
    NodeUnreachable = 7,
    /// The demonstration saw a promise broken.
    PromiseBroken = 8,
}
