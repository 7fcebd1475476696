//! Reads the `[[services.NAME.calls]]` tables.

use std::time::Duration;

use nutmegsail_base::{CallName, Class};
use serde_spanned::Spanned;
use toml::de::DeValue;

use super::gather::{Gather, did_you_mean};
use super::service::{check_name, check_target, read_class};
use super::table::{Table, list, string, table};
use crate::{Call, FaultKind};

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// What a call takes from its service if it says nothing itself.
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
    gather: &mut Gather<'_>,
) -> Vec<Call> {
    let Some(value) = section.read("calls") else {
        return Vec::new();
    };
    let mut calls: Vec<Call> = Vec::new();
    for entry in list("calls", value, gather) {
        let Some(call) = read_call(entry, defaults, gather) else {
            continue;
        };
        if calls.iter().any(|other| other.name == call.name) {
            let message = format!("{} has two calls `{}`", section.label, call.name);
            gather.add(
                entry.span(),
                FaultKind::DuplicateName,
                message,
                "rename one of the two",
            );
        } else if let Some(other) = calls.iter().find(|other| same_route(other, &call)) {
            let message = format!("`{}` and `{}` take the same path", other.name, call.name);
            let fix = "give one of them another method or path";
            gather.add(entry.span(), FaultKind::DuplicateName, message, fix);
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
    gather: &mut Gather<'_>,
) -> Option<Call> {
    let entries = table("calls", entry, gather)?;
    let mut section = Table::new("a call".to_owned(), entry.span(), entries);
    let name = match section.require("name", "name = \"my-call\"", gather) {
        Some(value) => {
            let name = string("name", value, gather).unwrap_or_default();
            check_name("call", name, value.span(), gather);
            section.label = format!("call `{name}`");
            CallName::from(name)
        }
        None => CallName::from(""),
    };
    let method = read_method(&mut section, defaults.is_engine, gather);
    let path = read_path(&mut section, defaults.is_engine, gather);
    let class = read_class(&mut section, defaults.class, gather);
    let deadline = section.millis("deadline_ms", defaults.deadline, gather);
    let target = read_target(&mut section, deadline, defaults.target, gather);
    check_target(&section, deadline, target, gather);
    let once_only = section.boolean("once_only", false, gather);
    let idempotent = read_idempotent(&mut section, method.as_deref(), once_only, gather);
    section.finish(gather);
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

/// The service's target, unless the call's own deadline is shorter than that.
fn read_target(
    section: &mut Table<'_, '_>,
    deadline: Duration,
    default: Duration,
    gather: &mut Gather<'_>,
) -> Duration {
    section.millis("target_ms", default.min(deadline), gather)
}

fn read_method(
    section: &mut Table<'_, '_>,
    is_engine: bool,
    gather: &mut Gather<'_>,
) -> Option<String> {
    if is_engine {
        refuse_for_engine(section, "method", gather);
        return None;
    }
    let value = section.require("method", "method = \"POST\"", gather)?;
    let method = string("method", value, gather)?;
    if !METHODS.contains(&method) {
        let message = format!("there is no method `{method}`");
        let fix = did_you_mean(method, METHODS);
        gather.add(value.span(), FaultKind::BadValue, message, fix);
    }
    Some(method.to_owned())
}

fn read_path(
    section: &mut Table<'_, '_>,
    is_engine: bool,
    gather: &mut Gather<'_>,
) -> Option<String> {
    if is_engine {
        refuse_for_engine(section, "path", gather);
        return None;
    }
    let value = section.require("path", "path = \"/confirm\"", gather)?;
    let path = string("path", value, gather)?;
    let inner = path.strip_suffix("/*").unwrap_or(path);
    let is_plain = !inner.contains(['*', '?', '#', ' ']);
    if !path.starts_with('/') || !is_plain {
        let message = format!("`{path}` is not a path");
        let fix = "write a path such as \"/confirm\" or \"/slots/*\"";
        gather.add(value.span(), FaultKind::BadValue, message, fix);
    }
    Some(path.to_owned())
}

/// Engines answer at the OpenAI-shaped paths; a call names only its class and deadline there.
fn refuse_for_engine(section: &mut Table<'_, '_>, key: &'static str, gather: &mut Gather<'_>) {
    if let Some(value) = section.read(key) {
        let message = format!("`{key}` means nothing for a call on engines");
        gather.add(value.span(), FaultKind::BadValue, message, "remove it");
    }
}

/// A call that runs at most once is never sent a second time, so it cannot be idempotent as well.
fn read_idempotent(
    section: &mut Table<'_, '_>,
    method: Option<&str>,
    once_only: bool,
    gather: &mut Gather<'_>,
) -> bool {
    let reads_only = matches!(method, Some("GET" | "HEAD"));
    let idempotent = section.boolean("idempotent", reads_only && !once_only, gather);
    if idempotent && once_only {
        let message = format!("{} is both once_only and idempotent", section.label);
        let fix = "remove `idempotent = true`";
        gather.add(section.span.clone(), FaultKind::BadValue, message, fix);
    }
    idempotent && !once_only
}
