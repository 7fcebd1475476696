//! Which adapters are loaded on which engine: owners, pins, load orders.
//!
//! [`Placement`] decides which engines this node owns, which adapter is loaded next and where, and
//! what is evicted. It takes configurations, live nodes, claims, engine reports, demand and pin
//! requests as [`PlacementEvent`]s and returns [`PlacementAction`]s; it does no I/O and reads no
//! clock. It never evicts an adapter that a request may be using. [`PinCache`] is the side of the
//! pin holder: this node's pins on engines, whichever node owns them. Start reading at
//! [`Placement::handle`].

mod action;
mod claims;
mod demand;
mod domain_view;
mod engine_owner;
mod event;
mod eviction;
mod load_scheduler;
mod message;
mod note;
mod owner_choice;
mod ownership;
mod pending_load;
mod pin_cache;
mod pin_table;
mod placement;
mod plan;
mod settings;
mod slot_map;
mod store_budget;

pub use action::{OrderId, PlacementAction, Presence};
pub use demand::DemandEstimate;
pub use event::PlacementEvent;
pub use message::{DemandCount, LoadOutcome, PlacementMessage};
pub use note::{DisownCause, PlacementNote};
pub use owner_choice::{first_choice, next_fence};
pub use pin_cache::{PinCache, PinCacheAction, PinCacheSettings, PinUse};
pub use placement::Placement;
pub use plan::{EnginePlan, PlacementPlan};
pub use settings::PlacementSettings;
pub use store_budget::StoreUse;
