//! Which upstream answers a request, and when: scores, classes, queues, limits, retries.
//!
//! [`Router`] is told arrivals, outcomes, reports and plans as [`RoutingEvent`]s and answers with
//! [`RoutingAction`]s: send this request there, refuse that one, ask for an adapter. It reads no
//! clock, does no I/O and draws no random number that is not passed in. It never sends a request to
//! two upstreams at a time, never sends a call that is not idempotent again after it may have run,
//! and never gives a leaving upstream new work.
//!
//! Start at [`Router::handle`]. [`RoutingPlan`] says what it routes between, and
//! [`Router::explain`] says why a request would go where it would go.

mod action;
mod adapter_index;
mod arrive;
mod candidate;
mod class_queue;
mod dispatch;
mod drain_rate;
mod ended;
mod event;
mod explain;
mod explanation;
mod fill;
mod outlier;
mod plan;
mod prefix_table;
mod replan;
mod request_state;
mod retry_budget;
mod router;
mod routine_floor;
mod score;
mod service_state;
mod settings;
mod tick;
mod upstream_events;
mod upstream_state;

pub use action::RoutingAction;
pub use event::{AdapterAvailability, Arrival, Outcome, RoutingEvent};
pub use explanation::{CandidateExplanation, Explanation, Standing};
pub use plan::{RoutingPlan, RoutingWeights, ServicePlan, UpstreamPlan};
pub use router::Router;
pub use score::Score;
pub use settings::RouterSettings;
