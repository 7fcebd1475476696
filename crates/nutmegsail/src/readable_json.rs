//! Shows a JSON document to a person.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

/// A JSON document that prints as indented lines; lists of alike objects print as tables.
///
/// ```
/// let json = br#"{"candidates":[{"at":"a","score":1},{"at":"b","score":20}],"class":"urgent"}"#;
/// let readable = nutmegsail::ReadableJson::parse(json)?;
/// let lines = ["candidates:", "  at  score", "  a   1", "  b   20", "class: urgent"];
/// assert_eq!(readable.to_string(), lines.join("\n"));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ReadableJson(Value);

impl ReadableJson {
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// The bytes are no JSON.
    pub fn parse(json: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(json).map(Self)
    }
}

impl fmt::Display for ReadableJson {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = Vec::new();
        write_value(&self.0, 0, &mut lines);
        f.write_str(&lines.join("\n"))
    }
}

fn write_value(value: &Value, depth: usize, lines: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                write_field(name, value, depth, lines);
            }
        }
        Value::Array(items) => match table(items) {
            Some(rows) => lines.extend(rows.iter().map(|row| format!("{indent}{row}"))),
            None => items.iter().for_each(|item| write_item(item, depth, lines)),
        },
        scalar => lines.push(format!("{indent}{}", one_line(scalar))),
    }
}

fn write_field(name: &str, value: &Value, depth: usize, lines: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    if is_nested(value) {
        lines.push(format!("{indent}{name}:"));
        write_value(value, depth + 1, lines);
    } else {
        lines.push(format!("{indent}{name}: {}", one_line(value)));
    }
}

fn write_item(item: &Value, depth: usize, lines: &mut Vec<String>) {
    let start = lines.len();
    write_value(item, depth + 1, lines);
    if let Some(first) = lines.get_mut(start) {
        let mark = 2 * depth;
        first.replace_range(mark..=mark, "-");
    }
}

/// Whether a value needs lines of its own.
fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => items.iter().any(|item| item.is_object() || item.is_array()),
        _ => false,
    }
}

/// A value that needs no lines of its own.
fn one_line(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => items.iter().map(one_line).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// The rows of a table, if the items are objects with the same fields and nothing nested.
fn table(items: &[Value]) -> Option<Vec<String>> {
    let objects: Vec<&Map<String, Value>> =
        items.iter().map(Value::as_object).collect::<Option<_>>()?;
    let names: Vec<&String> = objects.first()?.keys().collect();
    let is_alike = |object: &&Map<String, Value>| object.keys().eq(names.iter().copied());
    let is_flat = |object: &&Map<String, Value>| !object.values().any(is_nested);
    if !objects.iter().all(is_alike) || !objects.iter().all(is_flat) {
        return None;
    }
    let mut rows = vec![names.iter().map(|name| (*name).clone()).collect::<Vec<_>>()];
    rows.extend(
        objects
            .iter()
            .map(|object| object.values().map(one_line).collect()),
    );
    let widths: Vec<usize> = (0..names.len())
        .map(|column| {
            rows.iter()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    Some(rows.iter().map(|row| aligned(row, &widths)).collect())
}

fn aligned(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
