//! Parses the `[[services.NAME.calls]]` tables.

use std::time::Duration;

use nutmegsail_base::{CallName, Class};
use serde_spanned::Spanned;
use toml::de::DeValue;

use super::collector::{FaultCollector, did_you_mean};
use super::service::{check_name, check_target, read_class};
use super::table::{Table, list, string, table};
use crate::{Call, FaultKind};

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// The service's values, used for keys that a call does not set.
#[derive(Clone, Copy)]
pub(super) struct CallDefaults {
    pub(super) is_engine: bool,
    pub(super) class: Class,
    pub(super) deadline: Duration,
    pub(super) target: Duration,
}

pub(super) fn read(
    section: &mut Table<'_, '_>,
    defaults: CallDefaults,
    collector: &mut FaultCollector<'_>,
) -> Vec<Call> {
    let Some(value) = section.read("calls") else {
        return Vec::new();
    };
    let mut calls: Vec<Call> = Vec::new();
    for entry in list("calls", value, collector) {
        let Some(call) = read_call(entry, defaults, collector) else {
            continue;
        };
        if calls.iter().any(|other| other.name == call.name) {
            let message = format!("{} has two calls `{}`", section.label, call.name);
            collector.add(
                entry.span(),
                FaultKind::DuplicateName,
                message,
                "rename one of the two",
            );
        } else if let Some(other) = calls.iter().find(|other| same_route(other, &call)) {
            let message = format!("`{}` and `{}` take the same path", other.name, call.name);
            let fix = "give one of them another method or path";
            collector.add(entry.span(), FaultKind::DuplicateName, message, fix);
        }
        calls.push(call);
    }
    calls
}

fn same_route(one: &Call, other: &Call) -> bool {
    one.path.is_some() && one.method == other.method && one.path == other.path
}

fn read_call(
    entry: &Spanned<DeValue<'_>>,
    defaults: CallDefaults,
    collector: &mut FaultCollector<'_>,
) -> Option<Call> {
    let entries = table("calls", entry, collector)?;
    let mut section = Table::new("a call".to_owned(), entry.span(), entries);
    let name = match section.require("name", "name = \"my-call\"", collector) {
        Some(value) => {
            let name = string("name", value, collector).unwrap_or_default();
            check_name("call", name, value.span(), collector);
            section.label = format!("call `{name}`");
            CallName::from(name)
        }
        None => CallName::from(""),
    };
    let method = read_method(&mut section, defaults.is_engine, collector);
    let path = read_path(&mut section, defaults.is_engine, collector);
    let class = read_class(&mut section, defaults.class, collector);
    let deadline = section.millis("deadline_ms", defaults.deadline, collector);
    let target = read_target(&mut section, deadline, defaults.target, collector);
    check_target(&section, deadline, target, collector);
    let once_only = section.boolean("once_only", false, collector);
    let idempotent = read_idempotent(&mut section, method.as_deref(), once_only, collector);
    section.finish(collector);
    Some(Call {
        name,
        method,
        path,
        class,
        deadline,
        target,
        once_only,
        idempotent,
    })
}

/// Defaults to the service's target, limited to the call's own deadline.
fn read_target(
    section: &mut Table<'_, '_>,
    deadline: Duration,
    default: Duration,
    collector: &mut FaultCollector<'_>,
) -> Duration {
    section.millis("target_ms", default.min(deadline), collector)
}

fn read_method(
    section: &mut Table<'_, '_>,
    is_engine: bool,
    collector: &mut FaultCollector<'_>,
) -> Option<String> {
    if is_engine {
        refuse_for_engine(section, "method", collector);
        return None;
    }
    let value = section.require("method", "method = \"POST\"", collector)?;
    let method = string("method", value, collector)?;
    if !METHODS.contains(&method) {
        let message = format!("there is no method `{method}`");
        let fix = did_you_mean(method, METHODS);
        collector.add(value.span(), FaultKind::BadValue, message, fix);
    }
    Some(method.to_owned())
}

fn read_path(
    section: &mut Table<'_, '_>,
    is_engine: bool,
    collector: &mut FaultCollector<'_>,
) -> Option<String> {
    if is_engine {
        refuse_for_engine(section, "path", collector);
        return None;
    }
    let value = section.require("path", "path = \"/confirm\"", collector)?;
    let path = string("path", value, collector)?;
    let inner = path.strip_suffix("/*").unwrap_or(path);
    let is_plain = !inner.contains(['*', '?', '#', ' ']);
    if !path.starts_with('/') || !is_plain {
        let message = format!("`{path}` is not a path");
        let fix = "write a path such as \"/confirm\" or \"/slots/*\"";
        collector.add(value.span(), FaultKind::BadValue, message, fix);
    }
    Some(path.to_owned())
}

/// Engines serve fixed OpenAI-compatible paths, so a call on engines cannot set a method or a path.
fn refuse_for_engine(
    section: &mut Table<'_, '_>,
    key: &'static str,
    collector: &mut FaultCollector<'_>,
) {
    if let Some(value) = section.read(key) {
        let message = format!("`{key}` means nothing for a call on engines");
        collector.add(value.span(), FaultKind::BadValue, message, "remove it");
    }
}

/// A call that runs at most once is never retried, so it cannot be idempotent as well.
fn read_idempotent(
    section: &mut Table<'_, '_>,
    method: Option<&str>,
    once_only: bool,
    collector: &mut FaultCollector<'_>,
) -> bool {
    let reads_only = matches!(method, Some("GET" | "HEAD"));
    let idempotent = section.boolean("idempotent", reads_only && !once_only, collector);
    if idempotent && once_only {
        let message = format!("{} is both once_only and idempotent", section.label);
        let fix = "remove `idempotent = true`";
        collector.add(section.span.clone(), FaultKind::BadValue, message, fix);
    }
    idempotent && !once_only
}
