//! Reads the keys of one TOML table and reports those that nothing read.

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use serde_spanned::Spanned;
use toml::de::{DeTable, DeValue};

use super::gather::{Gather, did_you_mean};
use crate::FaultKind;

/// The longest time that a text may name, in milliseconds: 30 days.
const TIME_MAX_MS: u64 = 30 * 24 * 3600 * 1000;

/// One table of the text. Every `read` names a key; [`Table::finish`] reports the others.
pub(super) struct Table<'a, 't> {
    /// How messages call the table, such as ``service `spa-desk` ``.
    pub(super) label: String,
    /// Where the table stands.
    pub(super) span: Range<usize>,
    entries: &'a DeTable<'t>,
    known: Vec<&'static str>,
}

impl<'a, 't> Table<'a, 't> {
    pub(super) fn new(label: String, span: Range<usize>, entries: &'a DeTable<'t>) -> Self {
        Self {
            label,
            span,
            entries,
            known: Vec::new(),
        }
    }

    /// The value of `key`, if it is there.
    pub(super) fn read(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'t>>> {
        self.known.push(key);
        self.entries.get(key)
    }

    /// The value of `key`; reports it as missing, with `example` as the line to write.
    pub(super) fn require(
        &mut self,
        key: &'static str,
        example: &str,
        gather: &mut Gather<'_>,
    ) -> Option<&'a Spanned<DeValue<'t>>> {
        let value = self.read(key);
        if value.is_none() {
            let message = format!("{} lacks `{key}`", self.label);
            let fix = format!("write `{example}`");
            gather.add(self.span.clone(), FaultKind::MissingKey, message, fix);
        }
        value
    }

    /// A whole number within `range`, or `default` if the key is not there.
    pub(super) fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        gather: &mut Gather<'_>,
    ) -> u64 {
        match self.read(key) {
            Some(value) => integer(key, value, range, gather).unwrap_or(default),
            None => default,
        }
    }

    /// [`Table::integer`] for keys that hold 32 bits.
    pub(super) fn integer_u32(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
        gather: &mut Gather<'_>,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.integer(key, range, u64::from(default), gather);
        u32::try_from(value).unwrap_or(default)
    }

    /// A time in milliseconds, at least 1.
    pub(super) fn millis(
        &mut self,
        key: &'static str,
        default: Duration,
        gather: &mut Gather<'_>,
    ) -> Duration {
        match self.read(key) {
            Some(value) => {
                integer(key, value, 1..=TIME_MAX_MS, gather).map_or(default, Duration::from_millis)
            }
            None => default,
        }
    }

    /// A number within `range`, whole or not, or `default` if the key is not there.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
        gather: &mut Gather<'_>,
    ) -> f64 {
        let Some(value) = self.read(key) else {
            return default;
        };
        let parsed = match value.get_ref() {
            DeValue::Integer(number) => number.as_str().parse().ok(),
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => {
                wrong_type(key, value, "a number", gather);
                return default;
            }
        };
        match parsed {
            Some(number) if range.contains(&number) => number,
            _ => {
                out_of_range(key, value, range.start(), range.end(), gather);
                default
            }
        }
    }

    /// A number from 0 to 1, or `default` if the key is not there.
    pub(super) fn share(
        &mut self,
        key: &'static str,
        default: f64,
        gather: &mut Gather<'_>,
    ) -> f64 {
        self.number(key, 0.0..=1.0, default, gather)
    }

    /// `true` or `false`, or `default` if the key is not there.
    pub(super) fn boolean(
        &mut self,
        key: &'static str,
        default: bool,
        gather: &mut Gather<'_>,
    ) -> bool {
        match self.read(key).map(|value| (value, value.get_ref())) {
            Some((_, DeValue::Boolean(value))) => *value,
            Some((value, _)) => {
                wrong_type(key, value, "true or false", gather);
                default
            }
            None => default,
        }
    }

    /// Reports keys that nothing read.
    pub(super) fn finish(self, gather: &mut Gather<'_>) {
        for key in self.entries.keys() {
            let name = key.get_ref().as_ref();
            if !self.known.contains(&name) {
                let message = format!("{} has no key `{name}`", self.label);
                let fix = did_you_mean(name, self.known.iter().copied());
                gather.add(key.span(), FaultKind::UnknownKey, message, fix);
            }
        }
    }
}

/// The string in `value`.
pub(super) fn string<'a>(
    key: &str,
    value: &'a Spanned<DeValue<'_>>,
    gather: &mut Gather<'_>,
) -> Option<&'a str> {
    if let DeValue::String(text) = value.get_ref() {
        return Some(text.as_ref());
    }
    wrong_type(key, value, "a string", gather);
    None
}

/// The table in `value`.
pub(super) fn table<'a, 't>(
    key: &str,
    value: &'a Spanned<DeValue<'t>>,
    gather: &mut Gather<'_>,
) -> Option<&'a DeTable<'t>> {
    if let DeValue::Table(entries) = value.get_ref() {
        return Some(entries);
    }
    wrong_type(key, value, "a table", gather);
    None
}

/// The entries of the list in `value`.
pub(super) fn list<'a, 't>(
    key: &str,
    value: &'a Spanned<DeValue<'t>>,
    gather: &mut Gather<'_>,
) -> &'a [Spanned<DeValue<'t>>] {
    if let DeValue::Array(entries) = value.get_ref() {
        return entries;
    }
    wrong_type(key, value, "a list", gather);
    &[]
}

/// The strings of a list, each with its place.
pub(super) fn strings<'a>(
    key: &str,
    value: &'a Spanned<DeValue<'_>>,
    gather: &mut Gather<'_>,
) -> Vec<Spanned<&'a str>> {
    let mut found = Vec::new();
    for entry in list(key, value, gather) {
        if let Some(text) = string(key, entry, gather) {
            found.push(Spanned::new(entry.span(), text));
        }
    }
    found
}

/// The whole number in `value`, if it is within `range`.
pub(super) fn integer(
    key: &str,
    value: &Spanned<DeValue<'_>>,
    range: RangeInclusive<u64>,
    gather: &mut Gather<'_>,
) -> Option<u64> {
    let DeValue::Integer(number) = value.get_ref() else {
        wrong_type(key, value, "a whole number", gather);
        return None;
    };
    let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
    let within = parsed.filter(|number| range.contains(number));
    if within.is_none() {
        out_of_range(key, value, range.start(), range.end(), gather);
    }
    within
}

fn out_of_range(
    key: &str,
    value: &Spanned<DeValue<'_>>,
    low: impl std::fmt::Display,
    high: impl std::fmt::Display,
    gather: &mut Gather<'_>,
) {
    let written = match value.get_ref() {
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        _ => "the value".to_owned(),
    };
    let message = format!("`{key}` cannot be {written}");
    let fix = format!("write a value from {low} to {high}");
    gather.add(value.span(), FaultKind::ImpossibleLimit, message, fix);
}

fn wrong_type(key: &str, value: &Spanned<DeValue<'_>>, expected: &str, gather: &mut Gather<'_>) {
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
    gather.add(value.span(), FaultKind::WrongType, message, fix);
}
