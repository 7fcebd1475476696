//! The listeners of a process.

use derive_more::Display;

/// A listener, or several for the same kind of client.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ListenerKind {
    /// Callers.
    #[display("callers")]
    Callers,
    /// Other nodes.
    #[display("nodes")]
    Nodes,
    /// Operators, and the platform's checks of readiness and metrics.
    #[display("pages")]
    Pages,
}

impl ListenerKind {
    /// All listeners.
    pub const ALL: [Self; 3] = [Self::Callers, Self::Nodes, Self::Pages];
}
