//! What an operator asks a node.

/// What an operator asks a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorsQuery {
    /// How the node and what it knows stand.
    Status,
    /// Why a request of this kind would go where it would go.
    Explain {
        /// The service.
        service: Option<String>,
        /// The adapter, as `name@version`.
        adapter: Option<String>,
        /// The kind of call.
        call: Option<String>,
        /// The class, in place of the derived one.
        class: Option<String>,
    },
    /// Finish what is in progress and leave.
    Drain,
}
