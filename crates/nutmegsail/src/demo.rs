//! `nutmegsail demo`: the product at work against nodes that `scripts/demo` starts.
//!
//! Callers stream generations and confirm bookings through every node while somebody else kills,
//! freezes and restarts things. [`demo`] applies a text, lets the callers run, changes the text under
//! them and then holds what they were told against the upstreams' own ledgers ([`check_evidence`]).
//! It starts and stops no process, and it decides nothing for the product.

mod bookings;
mod caller_refusal;
mod callers;
mod callers_client;
mod checks;
mod event_reader;
mod evidence;
mod generation_watch;
mod ledgers;
mod load;
mod report;
mod streams;

use std::path::PathBuf;
use std::time::Duration;

use nutmegsail_config::Generation;
use tokio::time::{Instant, sleep_until};

pub use caller_refusal::CallerRefusal;
pub use checks::{DemoCheck, check_evidence};
pub use event_reader::{EventReader, SentEvent};
pub use evidence::{
    BookingRecord, DemoEvidence, NodePolls, Outcome, Piece, Poll, StreamRecord, TextChange,
};
pub use ledgers::{Ledgers, UpstreamLedger, UpstreamRuns};
pub use report::DemoReport;

use crate::apply::apply_text;
use crate::{ApplyReport, ApplyRequest, CommandError, ExitCode, Output};
use callers::Callers;
use callers_client::CallersClient;
use generation_watch::GenerationWatch;

/// What the demonstration drives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoRequest {
    /// The text to begin with. `examples/demo.toml` says what the callers expect of it.
    pub text: PathBuf,
    /// The text that replaces it under load.
    pub changed_text: PathBuf,
    /// The platform's key-value service.
    pub platform: String,
    /// The control address of the stand-ins, for their ledgers.
    pub stand_ins: String,
    /// The callers' listeners of the nodes.
    pub callers_addresses: Vec<String>,
    /// The operators' listeners of the nodes.
    pub operators_addresses: Vec<String>,
    /// How long callers begin new requests.
    pub duration: Duration,
    /// When the text is changed, after the first request.
    pub change_after: Duration,
}

/// Runs the demonstration and prints what each caller got and whether the promises held.
///
/// # Errors
///
/// The text could not be applied, or the stand-ins' ledgers could not be read.
pub async fn demo(
    request: &DemoRequest,
    output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    if request.callers_addresses.is_empty() || request.operators_addresses.is_empty() {
        let usage = "name each node with `--callers HOST:PORT` and `--node HOST:PORT`";
        return Err(CommandError::Usage(usage.to_owned()));
    }
    let began = Instant::now();
    let first = apply(request, &request.text, output).await?;
    if !first.is_in_force {
        output.print(&first);
        return Ok(first.exit_code());
    }
    output.progress("callers begin");
    let evidence = gather(request, began, output).await?;
    let report = DemoReport::new(&evidence);
    output.print(&report);
    Ok(report.exit_code())
}

/// Lets the callers run, changes the text meanwhile, and gathers what everybody saw.
async fn gather(
    request: &DemoRequest,
    began: Instant,
    output: &mut Output<'_>,
) -> Result<DemoEvidence, CommandError> {
    let load_began = Instant::now();
    let watch = GenerationWatch::start(&request.operators_addresses, began);
    let client = CallersClient::new(request.callers_addresses.clone());
    let callers = Callers::start(&client, load_began + request.duration);
    sleep_until(load_began + request.change_after).await;
    let asked_at = began.elapsed();
    let changed = apply(request, &request.changed_text, output).await?;
    callers.use_changed_text();
    output.progress(&in_force_line(&changed, began.elapsed() - asked_at));
    let (streams, bookings) = callers.finish().await;
    output.progress("callers are done");
    Ok(DemoEvidence {
        streams,
        bookings,
        polls: watch.stop().await,
        ledgers: Ledgers::read(&request.stand_ins).await?,
        change: TextChange {
            generation: changed.generation,
            asked_at,
        },
    })
}

async fn apply(
    request: &DemoRequest,
    text: &PathBuf,
    output: &mut Output<'_>,
) -> Result<ApplyReport, CommandError> {
    let mut apply = ApplyRequest::new(text, request.platform.as_str());
    apply.nodes.clone_from(&request.operators_addresses);
    apply_text(&apply, output).await
}

fn in_force_line(changed: &ApplyReport, took: Duration) -> String {
    let Generation(generation) = changed.generation;
    let took_ms = took.as_millis();
    if changed.is_in_force {
        format!("generation {generation} is in force everywhere after {took_ms} ms")
    } else {
        format!("generation {generation} was not seen in force everywhere after {took_ms} ms")
    }
}
