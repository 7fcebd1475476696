//! What the demonstration prints.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use nutmegsail_base::Class;
use serde::Serialize;

use super::check_evidence;
use super::{BookingRecord, CallerRefusal, DemoCheck, DemoEvidence, Outcome, StreamRecord};
use crate::ExitCode;

/// What each caller got and whether the promises held.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemoReport {
    /// A row for each caller.
    pub callers: Vec<CallerRow>,
    /// A row for each request that did not go straight through.
    pub incidents: Vec<IncidentRow>,
    /// The promises.
    pub checks: Vec<DemoCheck>,
}

/// What one caller got.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallerRow {
    /// The caller.
    pub caller: String,
    /// What it asks for.
    pub asks_for: &'static str,
    /// How often each outcome came.
    pub outcomes: BTreeMap<Outcome, usize>,
    /// The median of the time to the first piece, or to the answer, in milliseconds.
    pub first_token_median_ms: u128,
    /// The longest such time, in milliseconds.
    pub first_token_max_ms: u128,
    /// How often answers were resumed.
    pub resumed: u32,
    /// How often each numbered result came.
    pub codes: BTreeMap<String, usize>,
}

/// A request that did not go straight through.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IncidentRow {
    /// The caller.
    pub caller: String,
    /// What it asked for.
    pub asked_for: String,
    /// How it ended.
    pub outcome: Outcome,
    /// The time to the first piece, or to the answer, in milliseconds.
    pub first_token_ms: Option<u128>,
    /// How often it was sent.
    pub tries: u32,
    /// How often the answer was resumed.
    pub resumed: u32,
    /// The numbered results, in order.
    pub codes: Vec<String>,
}

/// One request, whatever its kind.
struct Asked<'a> {
    caller: &'a str,
    asks_for: &'static str,
    asked_for: String,
    outcome: Outcome,
    first_token: Option<Duration>,
    tries: u32,
    straight_tries: u32,
    resumed: u32,
    refusals: &'a [CallerRefusal],
}

impl DemoReport {
    /// Sums up and checks `evidence`.
    pub fn new(evidence: &DemoEvidence) -> Self {
        let streams = evidence.streams.iter().map(Asked::of_stream);
        let bookings = evidence.bookings.iter().map(Asked::of_booking);
        let asked: Vec<Asked<'_>> = streams.chain(bookings).collect();
        let mut by_caller: BTreeMap<&str, Vec<&Asked<'_>>> = BTreeMap::new();
        for one in &asked {
            by_caller.entry(one.caller).or_default().push(one);
        }
        let incidents = asked.iter().filter(|one| !one.is_straight());
        Self {
            callers: by_caller
                .values()
                .filter_map(|of| CallerRow::of(of))
                .collect(),
            incidents: incidents.map(IncidentRow::of).collect(),
            checks: check_evidence(evidence),
        }
    }

    /// What the process exits with.
    pub fn exit_code(&self) -> ExitCode {
        if self.checks.iter().all(DemoCheck::holds) {
            ExitCode::Done
        } else {
            ExitCode::PromiseBroken
        }
    }
}

impl<'a> Asked<'a> {
    fn of_stream(record: &'a StreamRecord) -> Self {
        let asks_for = match record.class {
            Class::Urgent => "urgent stream",
            Class::Routine => "routine stream",
        };
        Self {
            caller: &record.caller,
            asks_for,
            asked_for: record.adapter.to_string(),
            outcome: record.outcome,
            first_token: record.first_token,
            tries: record.tries,
            straight_tries: 1,
            resumed: record.resumed,
            refusals: &record.refusals,
        }
    }

    fn of_booking(record: &'a BookingRecord) -> Self {
        Self {
            caller: &record.caller,
            asks_for: "booking, twice",
            asked_for: record.path.clone(),
            outcome: record.outcome,
            first_token: record.first_answer,
            tries: record.tries,
            straight_tries: 2,
            resumed: 0,
            refusals: &record.refusals,
        }
    }

    fn is_straight(&self) -> bool {
        let is_first_try = self.tries <= self.straight_tries && self.resumed == 0;
        self.outcome == Outcome::Whole && is_first_try && self.refusals.is_empty()
    }

    fn codes(&self) -> impl Iterator<Item = String> {
        self.refusals
            .iter()
            .map(|refusal| format!("NS{}", refusal.number))
    }
}

impl CallerRow {
    fn of(asked: &[&Asked<'_>]) -> Option<Self> {
        let first = asked.first()?;
        let mut outcomes = BTreeMap::new();
        let mut codes = BTreeMap::new();
        for one in asked {
            *outcomes.entry(one.outcome).or_default() += 1;
            for code in one.codes() {
                *codes.entry(code).or_default() += 1;
            }
        }
        let first_tokens = asked.iter().filter_map(|one| one.first_token);
        let mut first_tokens: Vec<u128> = first_tokens.map(|time| time.as_millis()).collect();
        first_tokens.sort_unstable();
        Some(Self {
            caller: first.caller.to_owned(),
            asks_for: first.asks_for,
            outcomes,
            first_token_median_ms: first_tokens
                .get(first_tokens.len() / 2)
                .copied()
                .unwrap_or(0),
            first_token_max_ms: first_tokens.last().copied().unwrap_or(0),
            resumed: asked.iter().map(|one| one.resumed).sum(),
            codes,
        })
    }
}

impl IncidentRow {
    fn of(asked: &Asked<'_>) -> Self {
        Self {
            caller: asked.caller.to_owned(),
            asked_for: asked.asked_for.clone(),
            outcome: asked.outcome,
            first_token_ms: asked.first_token.map(|time| time.as_millis()),
            tries: asked.tries,
            resumed: asked.resumed,
            codes: asked.codes().collect(),
        }
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "What each caller got (first token in ms: median / longest)"
        )?;
        for row in &self.callers {
            writeln!(f, "  {row}")?;
        }
        writeln!(f, "Requests that were tried again, resumed or refused")?;
        for row in &self.incidents {
            writeln!(f, "  {row}")?;
        }
        write!(f, "Promises")?;
        for check in &self.checks {
            write!(f, "\n  {check}")?;
        }
        Ok(())
    }
}

impl fmt::Display for CallerRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcomes = counted(&self.outcomes);
        let (median, max) = (self.first_token_median_ms, self.first_token_max_ms);
        let line = format!(
            "{:<9} {:<15} {outcomes:<26} {median:>5} / {max:<5} resumed {:>3}  {}",
            self.caller,
            self.asks_for,
            self.resumed,
            counted(&self.codes)
        );
        f.write_str(line.trim_end())
    }
}

fn counted(counts: &BTreeMap<impl fmt::Display, usize>) -> String {
    let parts = counts.iter().map(|(what, count)| format!("{count} {what}"));
    parts.collect::<Vec<_>>().join(", ")
}

impl fmt::Display for IncidentRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.first_token_ms;
        let first = first.map_or_else(|| "-".to_owned(), |time_ms| format!("{time_ms} ms"));
        let line = format!(
            "{:<9} {:<36} {:<9} first token {first:>8}, sent {}, resumed {}  {}",
            self.caller,
            self.asked_for,
            self.outcome.to_string(),
            self.tries,
            self.resumed,
            self.codes.join(" ")
        );
        f.write_str(line.trim_end())
    }
}

impl fmt::Display for DemoCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.holds() { "held  " } else { "BROKEN" };
        write!(f, "{verdict} {} ({})", self.promise, self.seen)?;
        for violation in &self.violations {
            write!(f, "\n         {violation}")?;
        }
        Ok(())
    }
}
