//! Which reader of a run a cancellation speaks for.

use derive_more::Display;

/// How often the stream of a run had been taken when a reader took it: 1 at the start, one more with
/// each start over or resume at the engine.
///
/// A node that was paused may wake, see that its caller has gone and cancel the run, although
/// another node has resumed it for that caller meanwhile. It shows as an answer that stops in its
/// middle without a cause. A cancellation therefore names the attachment that it is meant for, and
/// the engine refuses one for an earlier attachment than the latest.
///
/// ```
/// use nutmegsail_upstream::Attachment;
/// assert!(Attachment::FIRST < Attachment(2));
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attachment(pub u64);

impl Attachment {
    /// That of a run's first reader. Engines that count none are read as naming this one.
    pub const FIRST: Self = Self(1);
}

/// What an engine says to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The run does not run any more.
    Ended,
    /// Another reader has taken the stream since; the run goes on for it.
    TakenOver,
}
