//! Routing decisions for requests that are forwarded unchanged.
//!
//! From the routes, the upstreams with the adapters they hold, and the outcome of earlier requests,
//! this crate decides which upstream serves a request ([`Dispatcher`]), whether the request may be
//! sent again ([`RetryBudget`]), which adapter is loaded next and which is evicted ([`LoadQueue`]),
//! who may order loads at an upstream ([`Ownership`]), who may call ([`AccessRules`]), and which
//! requests crash the upstreams that run them ([`CrashWatch`], [`Suspects`]). It does no I/O; times
//! and random numbers are passed in. Start at [`RouteTable`] and [`Dispatcher`].

mod access;
mod assignment;
mod at_hand;
mod call_kind;
mod copies;
mod crash_watch;
mod demand;
mod dispatcher;
mod domains_heard;
mod dropped_adapters;
mod eligibility;
mod engine_demand;
mod era_watch;
mod event_splitter;
mod far_news;
mod health;
mod holdings;
mod limits;
mod listing;
mod load_plan;
mod load_queue;
mod load_times;
mod model_plan;
mod model_ref;
mod notices;
mod ownership;
mod ownership_watch;
mod prompt;
mod rate_bucket;
mod readers;
mod request_digest;
mod rest;
mod rest_filter;
mod retry_budget;
mod return_time;
mod route;
mod route_table;
mod service;
mod slot_gate;
mod stall;
mod stated_patience;
mod suspect_homes;
mod suspects;
mod team;
mod tracked;
mod upstream;
mod versions;

pub use access::{AccessRules, Caller, Denied};
pub use assignment::{NodeRecord, unowned_to_claim};
pub use at_hand::{AtHand, CopySource};
pub use call_kind::CallKind;
pub use copies::{CopyPlace, LoadPlace};
pub use crash_watch::{BEGINNING, BrokenRequest, CrashStep, CrashWatch, Reach};
pub use demand::Demand;
pub use dispatcher::{Choice, Dispatcher, Need, Refusal};
pub use domains_heard::{DomainAge, DomainsHeard};
pub use dropped_adapters::DroppedAdapters;
pub use engine_demand::{EngineDemand, EngineLoadNow, WantedCopies};
pub use era_watch::{EraRise, EraTold, EraWatch, TextKnown};
pub use event_splitter::{EventOutOfOrder, EventSplitter};
pub use far_news::FarNews;
pub use health::{Health, Outcome};
pub use holdings::{HeldAdapter, HeldModel, Holdings};
pub use limits::{LimitChange, LimitSaid, LimitTold, Limits};
pub use listing::{EntryFault, Listing, UpstreamEntry};
pub use load_plan::{EngineContents, LoadPlan, LoadRefusal, LoadStep, Room, plan_load};
pub use load_queue::{
    LoadKind, LoadPurpose, LoadQueue, LoadTicket, LoadTurn, StoreUse, WaitingLoad,
};
pub use load_times::LoadTimes;
pub use model_plan::{HostedModel, ModelChange, ModelHost, ModelPlan};
pub use model_ref::{ModelDigest, ModelRef};
pub use notices::{Notices, RestSaid};
pub use ownership::{OrderPermit, Ownership, OwnershipRules, Predecessor};
pub use ownership_watch::{ConcernChange, OwnersNow, OwnershipConcern, OwnershipWatch};
pub use prompt::{CachedPrompts, PromptChain, PromptPart};
pub use rate_bucket::RateBucket;
pub use readers::{reader_for, readers_by_domain, retry_pause};
pub use request_digest::{RequestContent, RequestDigest};
pub use rest_filter::RestFilter;
pub use retry_budget::{RetryBudget, RetryBudgetRules};
pub use return_time::return_after;
pub use route::{Route, WeightedService};
pub use route_table::{CallerLimits, RouteTable};
pub use service::{EngineSpec, ModelSpec, Service};
pub use slot_gate::{SlotAnswer, SlotAsk, SlotGate};
pub use stall::StallWatch;
pub use stated_patience::StatedPatience;
pub use suspect_homes::homes_of;
pub use suspects::{Audience, STRIKES_LIMIT, SuspectTold, Suspects, Suspicion};
pub use team::{CallerKey, KeyDigest, QuotaUnit, Team, TeamEntry, TeamFault, TeamQuota, Teams};
pub use tracked::{AdapterMove, HoldingsTold, Report, Tracked};
pub use upstream::{Upstream, UpstreamState};
pub use versions::{VersionRule, Versions};
