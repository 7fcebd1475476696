//! The study's figures as the table of `docs/CAPACITY.md`.

use crate::{Measure, Report};

/// The rows and notes of the study `capacity`, as Markdown.
///
/// ```
/// use nutmegsail_measure::{Measure, Report, Row, capacity_table};
/// let row = Row {
///     deployment: "heartbeats".to_owned(),
///     policy: "6 nodes".to_owned(),
///     measures: vec![Measure::over_seeds("messages_per_s_a_node", vec![4.0, 5.0, 4.5])],
/// };
/// let report = Report { study: "capacity", seeds: vec![1], rows: vec![row], notes: Vec::new() };
/// let line = "| heartbeats | 6 nodes | `messages_per_s_a_node` 4.50 (4..5) |";
/// assert!(capacity_table(&report).contains(line));
/// ```
pub fn capacity_table(report: &Report) -> String {
    let header = ["| duty | size | figures |", "|---|---|---|"].map(str::to_owned);
    let rows = report.rows.iter().map(|row| {
        let cells: Vec<String> = row.measures.iter().map(cell).collect();
        format!(
            "| {} | {} | {} |",
            row.deployment,
            row.policy,
            cells.join("; ")
        )
    });
    let notes = report.notes.iter().map(|note| format!("- {note}"));
    let lines = header.into_iter().chain(rows).chain([String::new()]);
    lines.chain(notes).collect::<Vec<_>>().join("\n") + "\n"
}

fn cell(measure: &Measure) -> String {
    let Measure {
        name,
        median,
        min,
        max,
    } = measure;
    let (median, lowest, highest) = (number(*median), number(*min), number(*max));
    if lowest == highest {
        format!("`{name}` {median}")
    } else {
        format!("`{name}` {median} ({lowest}..{highest})")
    }
}

/// Three figures that count, or whole numbers with commas.
pub(crate) fn number(value: f64) -> String {
    if value.abs() < 0.005 {
        return "0".to_owned();
    }
    if value.abs() < 10.0 && value.fract() != 0.0 {
        return format!("{value:.2}");
    }
    if value.abs() < 100.0 && value.fract() != 0.0 {
        return format!("{value:.1}");
    }
    let digits = format!("{:.0}", value.abs());
    let mut grouped = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if value < 0.0 {
        format!("-{grouped}")
    } else {
        grouped
    }
}
