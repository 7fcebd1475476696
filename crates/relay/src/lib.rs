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
mod backoff;
mod begun_parts;
mod brittle_services;
mod call_kind;
mod concurrency_limit;
mod copies;
mod crash_watch;
mod demand;
mod dispatcher;
mod domain_contacts;
mod dropped_adapters;
mod eligibility;
mod engine_demand;
mod era_watch;
mod event_scanner;
mod event_splitter;
mod forward_peers;
mod health;
mod holdings;
mod idle_filter;
mod load_plan;
mod load_queue;
mod load_times;
mod local_weights;
mod model_plan;
mod model_ref;
mod origin_batch;
mod origin_batches;
mod origin_search;
mod overload;
mod ownership;
mod ownership_watch;
mod prompt;
mod rate_bucket;
mod rate_limits;
mod readers;
mod remote_load_filter;
mod request_digest;
mod request_traits;
mod requested_backoff;
mod retry_after;
mod retry_budget;
mod route;
mod route_table;
mod served_versions;
mod service;
mod slot_gate;
mod software_rule;
mod software_version;
mod stall;
mod stored_suspect;
mod stream_keepers;
mod stream_key;
mod stream_origins;
mod suspect_collectors;
mod suspect_record;
mod suspect_trait;
mod suspect_update;
mod suspects;
mod suspicion;
mod team;
mod tracked;
mod upstream;
mod upstream_list;
mod upstream_notices;
mod upstream_reach;
mod usual_timeout;
mod versions;

pub use access::{AccessDenied, AccessRules, Caller};
pub use assignment::{NodeRecord, unowned_to_claim};
pub use brittle_services::{BrittleServices, BrittleUpdate};
pub use call_kind::CallKind;
pub use concurrency_limit::ConcurrencyLimit;
pub use copies::{CopyScope, LoadCandidate};
pub use crash_watch::{
    BrokenRequest, BrokenRequestAction, CrashWatch, PART_STARTUP_PERIOD, ProbeResult,
    STARTUP_PERIOD,
};
pub use demand::Demand;
pub use dispatcher::{Choice, ChooseError, DispatchRequest, Dispatcher};
pub use domain_contacts::{DomainAge, DomainContacts};
pub use dropped_adapters::DroppedAdapters;
pub use eligibility::ServiceOverview;
pub use engine_demand::{EngineDemand, EngineLoadSample, WantedCopies};
pub use era_watch::{EraRise, EraUpdate, EraWatch, TextVersion};
pub use event_scanner::{EventScanner, ScannedEvent};
pub use event_splitter::{EventOutOfOrder, EventSplitter, MAX_EVENT_BYTES};
pub use forward_peers::{ForwardPeers, Peer, PeerAnswer};
pub use health::{Health, Outcome};
pub use holdings::{HeldAdapter, HeldModel, Holdings};
pub use idle_filter::IdleFilter;
pub use load_plan::{EngineCapacity, EngineContents, LoadPlan, LoadRefusal, LoadStep, plan_load};
pub use load_queue::{
    LoadDecision, LoadPurpose, LoadQueue, LoadSource, LoadTicket, WaitingLoad, WeightStoreLoads,
};
pub use load_times::LoadTimes;
pub use local_weights::{CopySource, LocalWeights};
pub use model_plan::{HostedModel, ModelChange, ModelHost, ModelPlan};
pub use model_ref::{ModelDigest, ModelRef};
pub use origin_batch::{OriginBatch, OriginBatchFault};
pub use origin_batches::{OriginBatches, origin_write_interval};
pub use origin_search::{OriginRecord, OriginSearch, OriginVerdict, StoreAnswer};
pub use overload::OverloadGate;
pub use ownership::{OrderPermit, Ownership, OwnershipRules, Predecessor};
pub use ownership_watch::{ConcernChange, OwnersNow, OwnershipConcern, OwnershipWatch};
pub use prompt::{CachedPrompts, PromptPart, PromptPrefix};
pub use rate_bucket::RateBucket;
pub use rate_limits::{AnnouncedLimit, LimitChange, LimitUpdate, RateLimits};
pub use readers::{aggregator_for, reader_for, readers_by_domain, retry_pause};
pub use remote_load_filter::RemoteLoadFilter;
pub use request_digest::{RequestContent, RequestDigest};
pub use request_traits::RequestTraits;
pub use requested_backoff::RequestedBackoff;
pub use retry_after::jittered_retry_after;
pub use retry_budget::{RetryBudget, RetryBudgetRules};
pub use route::{Route, WeightedService};
pub use route_table::{CallerLimits, RouteTable, StreamService};
pub use served_versions::{EraView, ServedVersions, ServedVersionsWatch};
pub use service::{EngineSpec, ModelSpec, Service};
pub use slot_gate::{SlotAnswer, SlotEnd, SlotGate, SlotRequest};
pub use software_rule::SoftwareRule;
pub use software_version::SoftwareVersion;
pub use stall::StallWatch;
pub use stored_suspect::{ClockPair, StoreChange, StoredSuspect};
pub use stream_keepers::{KeeperCounts, is_stream_keeper, stream_keepers};
pub use stream_key::StreamKey;
pub use stream_origins::{KnownOrigin, StreamOrigin, StreamOrigins};
pub use suspect_collectors::collectors_of;
pub use suspect_trait::SuspectTrait;
pub use suspect_update::{Recipients, SuspectUpdate};
pub use suspects::{STRIKES_LIMIT, Suspects};
pub use suspicion::{SuspectedPart, Suspicion};
pub use team::{CallerKey, KeyDigest, QuotaUnit, Team, TeamEntry, TeamFault, TeamQuota, Teams};
pub use tracked::{AdapterChange, HoldingsReport, LoadReport, Tracked};
pub use upstream::{Upstream, UpstreamState};
pub use upstream_list::{EntryFault, UpstreamEntry, UpstreamList};
pub use upstream_notices::UpstreamNotices;
pub use upstream_reach::{DueProbe, FailedOpen, ReachChange, UpstreamReach};
pub use usual_timeout::UsualTimeout;
pub use versions::{VersionRule, Versions};
