//! One node: its actors, its threads, and how the slices are wired together.
//!
//! This crate decides nothing. It owns the sockets and the clock, runs each decision core in an
//! actor on the control thread, and moves bytes on the traffic threads. Start a node with
//! [`Node::start`] from [`NodeSettings`]; end it with [`Node::shutdown`].

mod attempt;
mod claimed_run;
mod claims_keeper;
mod control;
mod dispatcher;
mod engine_watch;
mod forwarded_call;
mod forwards;
mod gauges;
mod generation;
mod loader;
mod loader_message;
mod measures;
mod node;
mod observed_engine;
mod outside;
mod owners;
mod ownership;
mod peers;
mod pending;
mod pin_desk;
mod pin_hold;
mod plain_calls;
mod plans;
mod request_trace;
mod run_hold;
mod serving;
mod settings;
mod text_keeper;
mod text_watch;

pub use measures::Measures;
pub use node::{Node, NodeError};
pub use outside::Outside;
pub use settings::{
    ControlSettings, NodeSettings, PlatformAddresses, SettingsFault, SettingsFaults,
};
