//! Why an engine did not come to hold another base model.

use derive_more::Display;

/// Why an engine did not come to hold another base model. The next plan goes by what is known then.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ChangeFailure {
    /// It is no longer listed.
    #[display("the engine is gone")]
    EngineGone,
    /// Adapters would arrive and find their base model gone.
    #[display("adapters are on their way")]
    AdaptersComing,
    /// Its report could not be read.
    #[display("its report could not be read")]
    NoReport,
    /// It carries out another order.
    #[display("it carries out another order")]
    Busy,
    /// What it holds leaves no room for the change, or is what the change was to bring.
    #[display("it holds something else than was known")]
    OtherHoldings,
    /// The ownership is too new, or could not be confirmed.
    #[display("orders are not permitted now")]
    NotPermitted,
    /// It refused an order.
    #[display("it refused the order")]
    Refused,
    /// An order may or may not have been accepted.
    #[display("the order had no answer")]
    NoAnswer,
    /// Requests for what makes way run on.
    #[display("what makes way is still in use")]
    StillInUse,
}
