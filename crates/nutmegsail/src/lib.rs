//! The operators' command line.
//!
//! Each subcommand is a module with a function that returns what it found out or a
//! [`CommandError`]; [`run`] reads the arguments, prints the one or the other and says what the
//! process exits with. This crate asks the platform and the nodes and decides nothing for them.
//! Start at [`run`] and [`ExitCode`].

mod apply;
mod apply_report;
mod check;
mod command_error;
mod demo;
mod diff;
mod domain_view;
mod drain;
mod exit_code;
mod explain;
mod flags;
mod fleet_status;
mod measure;
mod node_client;
mod output;
mod readable_json;
mod refused;
mod run;
mod status;
mod text_file;
mod trace;

pub use apply::{ApplyRequest, apply};
pub use apply_report::ApplyReport;
pub use check::{CheckReport, check};
pub use command_error::CommandError;
pub use demo::{
    BookingRecord, CallerRefusal, DemoCheck, DemoEvidence, DemoReport, DemoRequest, EventReader,
    Ledgers, NodePolls, Outcome, Piece, Poll, SentEvent, StreamRecord, TextChange, UpstreamLedger,
    UpstreamRuns, check_evidence, demo,
};
pub use diff::{DiffReport, diff_accepted, diff_files};
pub use drain::{DrainReport, drain};
pub use exit_code::ExitCode;
pub use explain::{ExplainQuery, explain_at_node, explain_text};
pub use fleet_status::{FleetStatus, Unanswered};
pub use measure::{MeasureRequest, measure};
pub use node_client::NodeClient;
pub use output::Output;
pub use readable_json::ReadableJson;
pub use refused::{RefusedEntry, RefusedReport, lift, refused};
pub use run::run;
pub use status::status;
pub use text_file::TextFile;
pub use trace::{TraceLine, TraceReport, trace};
