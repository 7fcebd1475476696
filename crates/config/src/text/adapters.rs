//! Parses lists and patterns of adapters, in the main file and in included files.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use nutmegsail_base::{AdapterName, AdapterVersion};
use serde_spanned::Spanned;
use toml::de::{DeTable, DeValue};

use super::collector::{FaultCollector, did_you_mean};
use super::service::check_name;
use super::table::{Table, integer, list, string, strings, table};
use crate::{AdapterSet, FaultKind};

/// The maximum number of adapters per service. It keeps a typo in a pattern from exhausting the
/// memory of every node.
const MAX_ADAPTERS: usize = 100_000;
const EXAMPLE: &str = "adapters = [{ names = \"note-{0001..1500}\", versions = [1] }]";

/// A service's adapters and the span that faults about them point at.
pub(super) struct ReadAdapters {
    pub(super) adapters: AdapterSet,
    pub(super) at: Range<usize>,
}

/// Parses the keys `adapters` and `include` of a service.
pub(super) fn read(
    section: &mut Table<'_, '_>,
    includes: &BTreeMap<Arc<str>, Arc<str>>,
    collector: &mut FaultCollector<'_>,
) -> ReadAdapters {
    let mut found = BTreeMap::new();
    let mut at = section.span.clone();
    let faults_before = collector.count();
    if let Some(value) = section.read("adapters") {
        at = value.span();
        read_list(value, &mut found, collector);
    }
    if let Some(value) = section.read("include") {
        let names = match value.get_ref() {
            DeValue::Array(_) => strings("include", value, collector),
            _ => string("include", value, collector)
                .map(|name| Spanned::new(value.span(), name))
                .into_iter()
                .collect(),
        };
        for name in names {
            read_include(&name, includes, &mut found, collector);
        }
    }
    if found.is_empty() && collector.count() == faults_before {
        let message = format!("{} has no adapters", section.label);
        let fix = format!("write `{EXAMPLE}`");
        collector.add(at.clone(), FaultKind::MissingKey, message, fix);
    }
    let adapters = AdapterSet {
        entries: found.into_iter().collect(),
    };
    ReadAdapters { adapters, at }
}

/// The names of the files that the services of `text` include, also if the text has faults.
pub(crate) fn included_names(text: &str) -> Vec<String> {
    let (top, _) = DeTable::parse_recoverable(text);
    let Some(DeValue::Table(services)) = top.get_ref().get("services").map(Spanned::get_ref) else {
        return Vec::new();
    };
    let mut names = Vec::new();
    for service in services.values() {
        let DeValue::Table(service) = service.get_ref() else {
            continue;
        };
        match service.get("include").map(Spanned::get_ref) {
            Some(DeValue::String(name)) => names.push(name.to_string()),
            Some(DeValue::Array(list)) => {
                let list = list.iter().map(Spanned::get_ref);
                names.extend(list.filter_map(|name| match name {
                    DeValue::String(name) => Some(name.to_string()),
                    _ => None,
                }));
            }
            _ => {}
        }
    }
    names
}

type VersionsByAdapter = BTreeMap<AdapterName, Vec<AdapterVersion>>;

fn read_include(
    name: &Spanned<&str>,
    includes: &BTreeMap<Arc<str>, Arc<str>>,
    found: &mut VersionsByAdapter,
    collector: &mut FaultCollector<'_>,
) {
    let Some(text) = includes.get(*name.get_ref()) else {
        let message = format!("the included file `{}` was not given", name.get_ref());
        let given = includes.keys().map(|name| name.as_ref());
        let fix = match includes.len() {
            0 => "put it beside this file".to_owned(),
            _ => did_you_mean(name.get_ref(), given),
        };
        collector.add(name.span(), FaultKind::MissingInclude, message, fix);
        return;
    };
    let mut inner = FaultCollector::new(name.get_ref(), text);
    let (entries, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        inner.add_syntax_error(error);
    }
    if syntax_errors.is_empty() {
        let label = format!("the included file `{}`", name.get_ref());
        let mut section = Table::new(label, 0..0, entries.get_ref());
        if let Some(value) = section.require("adapters", EXAMPLE, &mut inner) {
            read_list(value, found, &mut inner);
        }
        section.finish(&mut inner);
    }
    collector.absorb(inner);
}

fn read_list(
    value: &Spanned<DeValue<'_>>,
    found: &mut VersionsByAdapter,
    collector: &mut FaultCollector<'_>,
) {
    for entry in list("adapters", value, collector) {
        let Some(entries) = table("adapters", entry, collector) else {
            continue;
        };
        let mut section = Table::new("an entry of `adapters`".to_owned(), entry.span(), entries);
        let versions = read_versions(&mut section, collector);
        if let Some(names) = section.require("names", "names = [\"my-adapter\"]", collector) {
            let names = match names.get_ref() {
                DeValue::Array(_) => strings("names", names, collector),
                _ => string("names", names, collector)
                    .map(|name| Spanned::new(names.span(), name))
                    .into_iter()
                    .collect(),
            };
            for pattern in names {
                add_pattern(&pattern, &versions, found, collector);
            }
        }
        section.finish(collector);
    }
}

fn read_versions(
    section: &mut Table<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Vec<AdapterVersion> {
    let mut versions = Vec::new();
    let Some(value) = section.read("versions") else {
        report_no_versions(section.span.clone(), collector);
        return versions;
    };
    let entries = list("versions", value, collector);
    if entries.is_empty() {
        report_no_versions(value.span(), collector);
    }
    for entry in entries {
        let version = integer("versions", entry, 1..=u64::from(u32::MAX), collector)
            .and_then(|version| u32::try_from(version).ok())
            .map(AdapterVersion);
        let Some(version) = version else {
            continue;
        };
        if versions.contains(&version) {
            let message = format!("version {version} stands here twice");
            collector.add(
                entry.span(),
                FaultKind::DuplicateName,
                message,
                "remove one of the two",
            );
        } else {
            versions.push(version);
        }
    }
    versions.sort_unstable();
    versions
}

fn report_no_versions(at: Range<usize>, collector: &mut FaultCollector<'_>) {
    let message = "these adapters have no versions";
    collector.add(at, FaultKind::NoVersions, message, "write `versions = [1]`");
}

fn add_pattern(
    pattern: &Spanned<&str>,
    versions: &[AdapterVersion],
    found: &mut VersionsByAdapter,
    collector: &mut FaultCollector<'_>,
) {
    let Some(expanded) = expand(pattern.get_ref(), MAX_ADAPTERS - found.len()) else {
        let message = format!("the pattern `{}` cannot be read", pattern.get_ref());
        let fix = format!(
            "write one range of equal widths and at most {MAX_ADAPTERS} names, such as \"note-{{0001..1500}}\""
        );
        collector.add(pattern.span(), FaultKind::BadPattern, message, fix);
        return;
    };
    if let Some(first) = expanded.first() {
        check_name("adapter", first, pattern.span(), collector);
    }
    let mut duplicates = expanded
        .into_iter()
        .map(AdapterName::from)
        .filter(|name| found.insert(name.clone(), versions.to_vec()).is_some());
    if let Some(first) = duplicates.next() {
        let others = duplicates.count();
        let message = match others {
            0 => format!("the adapter `{first}` stands in this service twice"),
            _ => format!("`{first}` and {others} more adapters stand in this service twice"),
        };
        let fix = "name each adapter once, with all its versions";
        collector.add(pattern.span(), FaultKind::DuplicateName, message, fix);
    }
}

/// Expands a pattern into names; `None` if it is malformed or has more than `max_names` names.
///
/// `note-{0001..1500}` expands to `note-0001` to `note-1500`. Numbers are zero-padded to the width
/// of the lower bound.
fn expand(pattern: &str, max_names: usize) -> Option<Vec<String>> {
    let Some((prefix, rest)) = pattern.split_once('{') else {
        let is_name = !pattern.contains('}') && max_names > 0;
        return is_name.then(|| vec![pattern.to_owned()]);
    };
    let (range, suffix) = rest.split_once('}')?;
    let (low, high) = range.split_once("..")?;
    if suffix.contains(['{', '}']) || (low.starts_with('0') && low.len() != high.len()) {
        return None;
    }
    let digits = |text: &str| text.chars().all(|c| c.is_ascii_digit());
    if !digits(low) || !digits(high) {
        return None;
    }
    let (first, last): (u32, u32) = (low.parse().ok()?, high.parse().ok()?);
    let count = usize::try_from(last.checked_sub(first)?)
        .ok()?
        .checked_add(1)?;
    if count > max_names {
        return None;
    }
    let width = low.len();
    let name = |number| format!("{prefix}{number:0width$}{suffix}");
    Some((first..=last).map(name).collect())
}
