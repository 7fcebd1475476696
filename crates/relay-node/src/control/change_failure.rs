//! Why a change of an engine's base models failed.

use derive_more::Display;

/// Why a change of an engine's base models failed. The next plan starts from the state that is
/// known then.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ChangeFailure {
    /// The engine is no longer listed.
    #[display("the engine is gone")]
    EngineGone,
    /// Adapters are being loaded whose base model might be unloaded before they are ready.
    #[display("adapters are being loaded")]
    AdaptersComing,
    /// The engine's report could not be read.
    #[display("its report could not be read")]
    NoReport,
    /// The engine is executing another order.
    #[display("it is executing another order")]
    Busy,
    /// The engine's holdings leave no room for the new model, or already include it.
    #[display("its holdings differ from what the plan assumed")]
    OtherHoldings,
    /// The ownership is too new or could not be confirmed.
    #[display("orders are not permitted now")]
    NotPermitted,
    /// The engine refused an order.
    #[display("it refused the order")]
    Refused,
    /// It is unknown whether an order was accepted.
    #[display("the order had no answer")]
    NoAnswer,
    /// Requests for a model to be unloaded have not ended in time.
    #[display("a model to be unloaded is still in use")]
    StillInUse,
}
