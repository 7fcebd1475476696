//! Reads the keys of one TOML table and reports unknown keys.

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use serde_spanned::Spanned;
use toml::de::{DeTable, DeValue};

use super::collector::{FaultCollector, did_you_mean};
use crate::FaultKind;

/// The longest duration that a text may set, in milliseconds: 30 days.
const MAX_TIME_MS: u64 = 30 * 24 * 3600 * 1000;

/// A table of the text. Each key that is looked up counts as known; [`Table::finish`] reports all
/// others.
pub(super) struct Table<'a, 't> {
    /// The name of the table in messages, such as ``service `spa-desk` ``.
    pub(super) label: String,
    /// The span that faults about the whole table point at.
    pub(super) span: Range<usize>,
    entries: &'a DeTable<'t>,
    known_keys: Vec<&'static str>,
}

impl<'a, 't> Table<'a, 't> {
    pub(super) fn new(label: String, span: Range<usize>, entries: &'a DeTable<'t>) -> Self {
        Self {
            label,
            span,
            entries,
            known_keys: Vec::new(),
        }
    }

    /// The value of `key`, if it is set.
    pub(super) fn read(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'t>>> {
        self.known_keys.push(key);
        self.entries.get(key)
    }

    /// The value of `key`. If it is not set, reports that, suggesting `example`.
    pub(super) fn require(
        &mut self,
        key: &'static str,
        example: &str,
        collector: &mut FaultCollector<'_>,
    ) -> Option<&'a Spanned<DeValue<'t>>> {
        let value = self.read(key);
        if value.is_none() {
            let message = format!("{} lacks `{key}`", self.label);
            let fix = format!("write `{example}`");
            collector.add(self.span.clone(), FaultKind::MissingKey, message, fix);
        }
        value
    }

    /// An integer within `range`, or `default` if the key is not set.
    pub(super) fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        collector: &mut FaultCollector<'_>,
    ) -> u64 {
        match self.read(key) {
            Some(value) => integer(key, value, range, collector).unwrap_or(default),
            None => default,
        }
    }

    /// [`Table::integer`] for 32-bit values.
    pub(super) fn integer_u32(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
        collector: &mut FaultCollector<'_>,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.integer(key, range, u64::from(default), collector);
        u32::try_from(value).unwrap_or(default)
    }

    /// A duration in milliseconds, at least 1, or `default` if the key is not set.
    pub(super) fn millis(
        &mut self,
        key: &'static str,
        default: Duration,
        collector: &mut FaultCollector<'_>,
    ) -> Duration {
        match self.read(key) {
            Some(value) => integer(key, value, 1..=MAX_TIME_MS, collector)
                .map_or(default, Duration::from_millis),
            None => default,
        }
    }

    /// An integer or a float within `range`, or `default` if the key is not set.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
        collector: &mut FaultCollector<'_>,
    ) -> f64 {
        let Some(value) = self.read(key) else {
            return default;
        };
        let parsed = match value.get_ref() {
            DeValue::Integer(number) => number.as_str().parse().ok(),
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => {
                wrong_type(key, value, "a number", collector);
                return default;
            }
        };
        match parsed {
            Some(number) if range.contains(&number) => number,
            _ => {
                out_of_range(key, value, range.start(), range.end(), collector);
                default
            }
        }
    }

    /// A number from 0 to 1, or `default` if the key is not set.
    pub(super) fn share(
        &mut self,
        key: &'static str,
        default: f64,
        collector: &mut FaultCollector<'_>,
    ) -> f64 {
        self.number(key, 0.0..=1.0, default, collector)
    }

    /// A boolean, or `default` if the key is not set.
    pub(super) fn boolean(
        &mut self,
        key: &'static str,
        default: bool,
        collector: &mut FaultCollector<'_>,
    ) -> bool {
        match self.read(key).map(|value| (value, value.get_ref())) {
            Some((_, DeValue::Boolean(value))) => *value,
            Some((value, _)) => {
                wrong_type(key, value, "true or false", collector);
                default
            }
            None => default,
        }
    }

    /// Reports the keys that were never looked up as unknown.
    pub(super) fn finish(self, collector: &mut FaultCollector<'_>) {
        for key in self.entries.keys() {
            let name = key.get_ref().as_ref();
            if !self.known_keys.contains(&name) {
                let message = format!("{} has no key `{name}`", self.label);
                let fix = did_you_mean(name, self.known_keys.iter().copied());
                collector.add(key.span(), FaultKind::UnknownKey, message, fix);
            }
        }
    }
}

/// The string in `value`; reports a value of another type.
pub(super) fn string<'a>(
    key: &str,
    value: &'a Spanned<DeValue<'_>>,
    collector: &mut FaultCollector<'_>,
) -> Option<&'a str> {
    if let DeValue::String(text) = value.get_ref() {
        return Some(text.as_ref());
    }
    wrong_type(key, value, "a string", collector);
    None
}

/// The table in `value`; reports a value of another type.
pub(super) fn table<'a, 't>(
    key: &str,
    value: &'a Spanned<DeValue<'t>>,
    collector: &mut FaultCollector<'_>,
) -> Option<&'a DeTable<'t>> {
    if let DeValue::Table(entries) = value.get_ref() {
        return Some(entries);
    }
    wrong_type(key, value, "a table", collector);
    None
}

/// The entries of the list in `value`; reports a value of another type.
pub(super) fn list<'a, 't>(
    key: &str,
    value: &'a Spanned<DeValue<'t>>,
    collector: &mut FaultCollector<'_>,
) -> &'a [Spanned<DeValue<'t>>] {
    if let DeValue::Array(entries) = value.get_ref() {
        return entries;
    }
    wrong_type(key, value, "a list", collector);
    &[]
}

/// The strings of a list, each with its span.
pub(super) fn strings<'a>(
    key: &str,
    value: &'a Spanned<DeValue<'_>>,
    collector: &mut FaultCollector<'_>,
) -> Vec<Spanned<&'a str>> {
    let mut found = Vec::new();
    for entry in list(key, value, collector) {
        if let Some(text) = string(key, entry, collector) {
            found.push(Spanned::new(entry.span(), text));
        }
    }
    found
}

/// The integer in `value`; reports a value of another type or out of `range`.
pub(super) fn integer(
    key: &str,
    value: &Spanned<DeValue<'_>>,
    range: RangeInclusive<u64>,
    collector: &mut FaultCollector<'_>,
) -> Option<u64> {
    let DeValue::Integer(number) = value.get_ref() else {
        wrong_type(key, value, "a whole number", collector);
        return None;
    };
    let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
    let within = parsed.filter(|number| range.contains(number));
    if within.is_none() {
        out_of_range(key, value, range.start(), range.end(), collector);
    }
    within
}

fn out_of_range(
    key: &str,
    value: &Spanned<DeValue<'_>>,
    low: impl std::fmt::Display,
    high: impl std::fmt::Display,
    collector: &mut FaultCollector<'_>,
) {
    let written = match value.get_ref() {
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        _ => "the value".to_owned(),
    };
    let message = format!("`{key}` cannot be {written}");
    let fix = format!("write a value from {low} to {high}");
    collector.add(value.span(), FaultKind::ImpossibleLimit, message, fix);
}

fn wrong_type(
    key: &str,
    value: &Spanned<DeValue<'_>>,
    expected: &str,
    collector: &mut FaultCollector<'_>,
) {
    let found = match value.get_ref() {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    };
    let message = format!("`{key}` is {found}");
    let fix = format!("write {expected}");
    collector.add(value.span(), FaultKind::WrongType, message, fix);
}
