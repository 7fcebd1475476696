//! Reads the arguments and runs the subcommand that they name.

use std::ffi::OsString;
use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use nutmegsail_base::Class;
use nutmegsail_config::{Generation, WriterId};
use serde::Serialize;

use crate::flags::{Apply, Demo, Diff, Explain, Measure, Nutmegsail, NutmegsailCmd};
use crate::{
    ApplyRequest, CommandError, DemoRequest, ExitCode, ExplainQuery, MeasureRequest, Output, apply,
    check, demo, diff_accepted, diff_files, drain, explain_at_node, explain_text, lift, measure,
    refused, status, trace,
};

/// Runs the command line `args`, without the program's name.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// use nutmegsail::{ExitCode, Output, run};
/// let (mut results, mut messages) = (Vec::new(), Vec::new());
/// let mut output = Output::new(&mut results, &mut messages);
/// let exit_code = run(vec!["check".into(), "no-such.toml".into()], &mut output).await;
/// assert_eq!(exit_code, ExitCode::Usage);
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn run(args: Vec<OsString>, output: &mut Output<'_>) -> ExitCode {
    let flags = match Nutmegsail::from_vec(args) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            output.help(&error.to_string());
            return ExitCode::Done;
        }
        Err(error) => {
            let usage = format!("{error}; see `nutmegsail --help`");
            output.fail(&CommandError::Usage(usage));
            return ExitCode::Usage;
        }
    };
    output.is_json = flags.json;
    match dispatch(flags.subcommand, output).await {
        Ok(exit_code) => exit_code,
        Err(error) => {
            output.fail(&error);
            error.exit_code()
        }
    }
}

async fn dispatch(
    command: NutmegsailCmd,
    output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    match command {
        NutmegsailCmd::Check(flags) => print(check(&flags.text), output),
        NutmegsailCmd::Diff(flags) => diff(flags, output).await,
        NutmegsailCmd::Apply(flags) => apply(&apply_request(flags), output).await,
        NutmegsailCmd::Status(flags) => status(&flags.node, output).await,
        NutmegsailCmd::Trace(flags) => print(trace(&flags.request, &flags.logs), output),
        NutmegsailCmd::Explain(flags) => explain(flags, output).await,
        NutmegsailCmd::Refused(flags) => match flags.lift {
            Some(name) => print(lift(&flags.platform, &name).await, output),
            None => print(refused(&flags.platform).await, output),
        },
        NutmegsailCmd::Drain(flags) => print(drain(flags.node).await, output),
        NutmegsailCmd::Demo(flags) => demo(&demo_request(flags), output).await,
        NutmegsailCmd::Measure(flags) => measure(&measure_request(flags), output),
    }
}

fn print<R: Display + Serialize>(
    report: Result<R, CommandError>,
    output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    output.print(&report?);
    Ok(ExitCode::Done)
}

async fn diff(flags: Diff, output: &mut Output<'_>) -> Result<ExitCode, CommandError> {
    match (flags.platform, flags.texts.as_slice()) {
        (None, [old, new]) => print(diff_files(old, new), output),
        (Some(platform), [new]) => print(diff_accepted(&platform, new).await, output),
        _ => {
            let usage = "write `nutmegsail diff OLD NEW` or \
                         `nutmegsail diff --platform HOST:PORT NEW`";
            Err(CommandError::Usage(usage.to_owned()))
        }
    }
}

fn apply_request(flags: Apply) -> ApplyRequest {
    let mut request = ApplyRequest::new(flags.text, flags.platform);
    request.base = flags.base.map(Generation);
    request.nodes = flags.node;
    request.resume = flags.resume.map(WriterId::from);
    if let Some(wait_ms) = flags.wait_ms {
        request.wait = Duration::from_millis(wait_ms);
    }
    request
}

async fn explain(flags: Explain, output: &mut Output<'_>) -> Result<ExitCode, CommandError> {
    let class = flags.class.as_deref().map(parse_class).transpose()?;
    let subject: Vec<&str> = flags.subject.iter().map(String::as_str).collect();
    match (flags.node, subject.as_slice()) {
        (Some(node), [subject]) => {
            let query = ExplainQuery {
                subject: (*subject).to_owned(),
                call: flags.call,
                class,
            };
            print(explain_at_node(&node, &query).await, output)
        }
        (None, [text, service]) => {
            let call = flags.call.as_deref();
            print(explain_text(Path::new(text), service, call), output)
        }
        (None, [text, service, call]) => {
            print(explain_text(Path::new(text), service, Some(call)), output)
        }
        _ => {
            let usage = "write `nutmegsail explain --node HOST:PORT SERVICE_OR_ADAPTER` or \
                         `nutmegsail explain TEXT SERVICE [CALL]`";
            Err(CommandError::Usage(usage.to_owned()))
        }
    }
}

fn parse_class(class: &str) -> Result<Class, CommandError> {
    match class {
        "urgent" => Ok(Class::Urgent),
        "routine" => Ok(Class::Routine),
        _ => {
            let usage = format!("`--class` is `urgent` or `routine`, not `{class}`");
            Err(CommandError::Usage(usage))
        }
    }
}

fn demo_request(flags: Demo) -> DemoRequest {
    let duration_ms = flags.duration_ms.unwrap_or(16_000);
    let change_after_ms = flags.change_after_ms.unwrap_or(4_500);
    DemoRequest {
        text: flags.text,
        changed_text: flags.changed_text,
        platform: flags.platform,
        stand_ins: flags.stand_ins,
        callers_addresses: flags.callers,
        operators_addresses: flags.node,
        duration: Duration::from_millis(duration_ms),
        change_after: Duration::from_millis(change_after_ms),
    }
}

fn measure_request(flags: Measure) -> MeasureRequest {
    MeasureRequest {
        study: flags.study,
        is_list: flags.list,
        seed: flags.seed,
        report: flags.report,
    }
}
