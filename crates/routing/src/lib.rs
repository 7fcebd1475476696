//! Chooses the upstream for each request: scores, classes, queues, limits and retries.
//!
//! [`Router`] handles [`RoutingEvent`]s (arrivals, outcomes, reports, plans) and returns
//! [`RoutingAction`]s: dispatch a request, refuse it, or ask for an adapter. It is a state machine
//! without I/O: the time and the random source are passed in. It guarantees that
//!
//! - a request is never at two upstreams at the same time,
//! - a request that is not idempotent is never sent again after it may have run, and
//! - a leaving upstream gets no new requests.
//!
//! Start at [`Router::handle`]. [`RoutingPlan`] describes the services and upstreams, and
//! [`Router::explain`] explains where a request would be sent, and why.

mod action;
mod adapter_index;
mod apply_plan;
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
