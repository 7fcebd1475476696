//! Small stand-ins for the platform and the upstreams; never published.
//!
//! Each stand-in keeps one state that is reached two ways: in memory through the traits of
//! `nutmegsail-store` and `nutmegsail-upstream`, and over HTTP on loopback. [`Knobs`] turns its
//! failures on and off; everything random is seeded. Nothing here is a model of load or network.
//! Start at [`FakeKeyValue`] and [`FakeEngine`]; [`StandIns`] runs a whole set as one process.

mod control;
mod engine;
mod engine_http;
mod engine_run;
mod engine_settings;
mod engine_slots;
mod engine_state;
mod fleet;
mod http_server;
mod key_value;
mod key_value_http;
mod key_value_state;
mod knobs;
mod lagged;
mod ledger;
mod plain;
mod rate_limit;
mod stand_ins;
mod tokio_clock;
mod vm_list;
mod weight_store;

pub use control::{ControlOrder, KnobsOrder};
pub use engine::FakeEngine;
pub use engine_run::EngineSubscription;
pub use engine_settings::EngineSettings;
pub use fleet::FakeFleet;
pub use http_server::{HttpReply, HttpServer, loopback, serve};
pub use key_value::FakeKeyValue;
pub use key_value_state::{CallCounts, KeyValueLimits};
pub use knobs::Knobs;
pub use ledger::{Ledger, RunCount};
pub use plain::{FakePlainService, PlainSettings};
pub use stand_ins::{
    EngineEntry, PlainEntry, StandIns, StandInsAddresses, StandInsSettings, StandInsState,
    UpstreamAddress,
};
pub use tokio_clock::TokioClock;
pub use vm_list::FakeVmList;
pub use weight_store::{FakeWeightStore, WeightStoreSettings};
