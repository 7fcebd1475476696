//! `nutmegsail trace`: one request's story, from the nodes' logs.

use std::collections::BTreeSet;
use std::fmt;
use std::io::Read;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::CommandError;

/// Stands for standard input among the logs.
const STANDARD_INPUT: &str = "-";

/// Events that tell of an adapter or an upstream and belong to the story of a request for it.
const OF_MODEL: [&str; 3] = ["LoadOrdered", "LoadFinished", "LoadFailed"];
const OF_UPSTREAM: [&str; 7] = [
    "LimitNamed",
    "LimitEnded",
    "UpstreamEnded",
    "UpstreamLeaving",
    "EngineOwned",
    "EngineReleased",
    "OrderRefused",
];

/// Events of a whole node that explain what happened to its requests.
const OF_NODE: [&str; 8] = [
    "LenderReleased",
    "LenderTaken",
    "TextInForce",
    "NodeResumed",
    "NodeLeaving",
    "PlatformUnavailable",
    "PlatformReturned",
    "LinesLeftOut",
];

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceLine {
    /// The time that the node's clock showed.
    pub at: String,
    /// The log that the line stands in.
    pub log: String,
    /// The event's number and name.
    pub event: String,
    /// Whether the line is the request's own; others tell of what it waited for.
    pub is_own: bool,
    /// The line's other values.
    pub values: Map<String, Value>,
}

/// A request's story, in the order of the lines' times.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceReport {
    /// The request's id.
    pub request: String,
    /// The lines.
    pub lines: Vec<TraceLine>,
    /// Lines that were cut off or are no JSON.
    pub unreadable: usize,
}

impl fmt::Display for TraceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.lines {
            let mark = if line.is_own { "*" } else { " " };
            write!(f, "{mark} {} {} {}", line.at, line.log, line.event)?;
            for (name, value) in &line.values {
                write!(f, " {name}={}", plain(value))?;
            }
            writeln!(f)?;
        }
        write!(
            f,
            "* of the request itself; the others tell of what it waited for"
        )?;
        if self.unreadable > 0 {
            write!(f, "\n{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Reads logs of any number of nodes and tells what happened to `request`.
///
/// Lines may have anything before their first brace, as log collectors put it there. Times are those of
/// the nodes' clocks, which may differ; within one log the order is right.
///
/// # Errors
///
/// [`CommandError`] if a log cannot be read, or none has a line of the request.
pub fn trace(request: &str, logs: &[PathBuf]) -> Result<TraceReport, CommandError> {
    let standard_input = [PathBuf::from(STANDARD_INPUT)];
    let logs = if logs.is_empty() {
        &standard_input
    } else {
        logs
    };
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for log in logs {
        let text = read(log)?;
        let name = log.display().to_string();
        for text in text.lines().filter(|text| text.contains('{')) {
            match parse(text, &name) {
                Some(line) => lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    tell(request, lines, unreadable)
}

fn read(log: &Path) -> Result<String, CommandError> {
    let mut bytes = Vec::new();
    let result = match log == Path::new(STANDARD_INPUT) {
        true => std::io::stdin().read_to_end(&mut bytes).map(|_| ()),
        false => std::fs::read(log).map(|read| bytes = read),
    };
    result.map_err(|error| CommandError::File {
        path: log.display().to_string(),
        why: error.to_string(),
    })?;
    // A log may be cut in the middle of a character.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn parse(text: &str, log: &str) -> Option<TraceLine> {
    let json = &text[text.find('{')?..];
    let mut values: Map<String, Value> = serde_json::from_str(json).ok()?;
    let mut take = |name: &str| {
        let value = values.remove(name);
        value.as_ref().map(plain).unwrap_or_default()
    };
    let (at, name, number) = (take("ts"), take("msg"), take("event"));
    take("level");
    Some(TraceLine {
        at,
        log: log.to_owned(),
        event: format!("{number} {name}"),
        is_own: false,
        values,
    })
}

/// Picks the lines of a request, and between its first and its last those of what it waited for.
fn tell(
    request: &str,
    mut lines: Vec<TraceLine>,
    unreadable: usize,
) -> Result<TraceReport, CommandError> {
    for line in &mut lines {
        line.is_own = line.value("request") == Some(request);
    }
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let own: Vec<&TraceLine> = lines.iter().filter(|line| line.is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CommandError::NotInLogs {
            request: request.to_owned(),
            unreadable,
        });
    };
    let of = |name: &str| -> BTreeSet<String> {
        let values = own.iter().filter_map(|line| line.value(name));
        values.map(str::to_owned).collect()
    };
    let (models, upstreams, logs) = (of("model"), of("upstream"), logs_of(&own));
    let (from, until) = (begin(first), last.at.clone());
    let belongs = |line: &TraceLine| {
        let is_of = |names: &[&str]| names.iter().any(|name| line.event.ends_with(name));
        let names_model = line.names_any("model", &models) || line.names_any("order", &models);
        line.is_own
            || (line.at >= from && line.at <= until)
                && (is_of(&OF_MODEL) && names_model
                    || is_of(&OF_UPSTREAM) && line.names_any("upstream", &upstreams)
                    || is_of(&OF_NODE) && logs.contains(&line.log))
    };
    let lines = lines.iter().filter(|line| belongs(line)).cloned().collect();
    Ok(TraceReport {
        request: request.to_owned(),
        lines,
        unreadable,
    })
}

fn logs_of(lines: &[&TraceLine]) -> BTreeSet<String> {
    lines.iter().map(|line| line.log.clone()).collect()
}

/// The minute in which a story begins: a request's first line is often written at its end.
fn begin(first: &TraceLine) -> String {
    const TO_THE_MINUTE: usize = "2026-01-01T00:00".len();
    first.at.chars().take(TO_THE_MINUTE).collect()
}

impl TraceLine {
    fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).and_then(Value::as_str)
    }

    /// Whether the value of `name` is one of `wanted`, or names the adapter of one of them.
    fn names_any(&self, name: &str, wanted: &BTreeSet<String>) -> bool {
        self.value(name).is_some_and(|value| {
            wanted.iter().any(|wanted| {
                let adapter = wanted.rsplit('/').next().unwrap_or(wanted);
                value == wanted || value.contains(&format!("\"{adapter}\""))
            })
        })
    }
}
