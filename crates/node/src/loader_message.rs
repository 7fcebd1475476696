//! What the loader is told.

use nutmegsail_base::{AdapterRef, Class, NodeId, UpstreamId};
use nutmegsail_placement::PlacementEvent;
use nutmegsail_wire::NodeMessage;
use tokio::sync::oneshot;
use xtra::Address;

use crate::loader::Loader;
use crate::pin_hold::PinHold;

/// Routing wants an adapter on an engine.
pub(crate) struct Wanted {
    /// Where it would serve best.
    pub(crate) engine: UpstreamId,
    /// The adapter.
    pub(crate) adapter: AdapterRef,
    /// The class of the most urgent request that waits for it.
    pub(crate) class: Class,
}

/// A request asks for a pin before its bytes go out.
pub(crate) struct TakePin {
    /// The engine.
    pub(crate) engine: UpstreamId,
    /// The adapter.
    pub(crate) adapter: AdapterRef,
    /// The request's class.
    pub(crate) class: Class,
    /// Where the pin is given back.
    pub(crate) loader: Address<Loader>,
    /// Gets the pin. Dropped without a word if the owner refuses.
    pub(crate) held: oneshot::Sender<PinHold>,
}

/// A request that held a pin has ended at its engine.
pub(crate) struct ReturnPin {
    /// The engine.
    pub(crate) engine: UpstreamId,
    /// The adapter.
    pub(crate) adapter: AdapterRef,
}

/// Something that placement is told.
pub(crate) struct Placed(pub(crate) PlacementEvent);

/// A message of another node about pins or loads.
pub(crate) struct FromPeer {
    /// The node.
    pub(crate) from: NodeId,
    /// Its message.
    pub(crate) message: NodeMessage,
}

/// The live nodes of the own failure domain changed.
pub(crate) struct LivePeers(pub(crate) Vec<NodeId>);

/// Time has passed.
pub(crate) struct LoaderTick;
