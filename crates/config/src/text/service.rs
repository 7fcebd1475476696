//! Parses a `[services.NAME]` table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{Class, FailureDomain, ServiceName, UpstreamId};
use serde_spanned::Spanned;
use toml::de::{DeString, DeValue};

use super::adapters::ReadAdapters;
use super::collector::{FaultCollector, did_you_mean};
use super::table::{Table, string, strings, table};
use super::{adapters, calls};
use crate::{FaultKind, Service, ServiceKind, UpstreamEntry};

/// Used when the deadline is missing or invalid, so that parsing can go on and find further faults.
const FALLBACK_DEADLINE: Duration = Duration::from_secs(30);
/// The default target is the deadline divided by this.
const DEFAULT_TARGET_DIVISOR: u32 = 10;
const DEFAULT_PLAIN_IN_FLIGHT: u32 = 32;
const DEFAULT_ADAPTER_SLOTS: u32 = 4;
const DEFAULT_BATCH_SLOTS: u32 = 16;
const DEFAULT_QUEUE_PER_CLASS: u32 = 256;
const DEFAULT_URGENT_HEADROOM: f64 = 0.25;
const DEFAULT_ROUTINE_FLOOR: f64 = 0.1;
const DEFAULT_RETRY_BUDGET: f64 = 0.1;
const MAX_COUNT: u32 = 100_000;

/// What a service's table may refer to in the rest of the text.
pub(super) struct ServiceContext<'c> {
    pub(super) failure_domains: &'c [FailureDomain],
    pub(super) includes: &'c BTreeMap<Arc<str>, Arc<str>>,
}

/// A parsed service with the spans that faults of the checks across services point at.
pub(super) struct ReadService {
    pub(super) service: Service,
    pub(super) name_span: Range<usize>,
    pub(super) depends_on: Vec<(ServiceName, Range<usize>)>,
    pub(super) upstream_spans: Vec<Range<usize>>,
    pub(super) adapters_span: Range<usize>,
}

pub(super) fn read(
    name: &Spanned<DeString<'_>>,
    value: &Spanned<DeValue<'_>>,
    context: &ServiceContext<'_>,
    collector: &mut FaultCollector<'_>,
) -> Option<ReadService> {
    let entries = table(name.get_ref(), value, collector)?;
    let label = format!("service `{}`", name.get_ref());
    let mut section = Table::new(label, name.span(), entries);
    check_name("service", name.get_ref(), name.span(), collector);
    let is_engine = read_is_engine(&mut section, collector);
    let depends_on = read_depends_on(&mut section, collector);
    let class = read_class(&mut section, Class::default(), collector);
    let deadline = read_deadline(&mut section, collector);
    let target = section.millis("target_ms", deadline / DEFAULT_TARGET_DIVISOR, collector);
    check_target(&section, deadline, target, collector);
    let (upstreams, upstream_spans) = read_upstreams(&mut section, context, collector);
    let (kind, adapters_span) = read_kind(&mut section, is_engine, context, collector);
    let defaults = calls::CallDefaults {
        is_engine,
        class,
        deadline,
        target,
    };
    let calls = calls::read(&mut section, defaults, collector);
    let limits = read_service_limits(&mut section, &kind, collector);
    let service = Service {
        name: ServiceName::from(name.get_ref().as_ref()),
        kind,
        depends_on: depends_on.iter().map(|(name, _)| name.clone()).collect(),
        class,
        deadline,
        target,
        calls,
        upstreams,
        in_flight_per_upstream: limits.in_flight_per_upstream,
        urgent_headroom: limits.urgent_headroom,
        queue_per_class: limits.queue_per_class,
        routine_floor: limits.routine_floor,
        retry_budget: limits.retry_budget,
    };
    check_headroom(&service, name.span(), collector);
    section.finish(collector);
    Some(ReadService {
        service,
        name_span: name.span(),
        depends_on,
        upstream_spans,
        adapters_span,
    })
}

struct ServiceLimits {
    in_flight_per_upstream: u32,
    urgent_headroom: f64,
    queue_per_class: u32,
    routine_floor: f64,
    retry_budget: f64,
}

fn read_service_limits(
    section: &mut Table<'_, '_>,
    kind: &ServiceKind,
    collector: &mut FaultCollector<'_>,
) -> ServiceLimits {
    let in_flight = match kind {
        ServiceKind::Engine { batch_slots, .. } => *batch_slots,
        ServiceKind::Plain => DEFAULT_PLAIN_IN_FLIGHT,
    };
    let counts = 1..=MAX_COUNT;
    let key = "in_flight_per_upstream";
    let in_flight = section.integer_u32(key, counts.clone(), in_flight, collector);
    let queue = section.integer_u32(
        "queue_per_class",
        counts,
        DEFAULT_QUEUE_PER_CLASS,
        collector,
    );
    ServiceLimits {
        in_flight_per_upstream: in_flight,
        urgent_headroom: section.share("urgent_headroom", DEFAULT_URGENT_HEADROOM, collector),
        queue_per_class: queue,
        routine_floor: section.share("routine_floor", DEFAULT_ROUTINE_FLOOR, collector),
        retry_budget: section.share("retry_budget", DEFAULT_RETRY_BUDGET, collector),
    }
}

/// Names appear in headers, paths and metrics, so they may only contain characters that have no
/// special meaning there.
pub(super) fn check_name(
    what: &str,
    name: &str,
    at: Range<usize>,
    collector: &mut FaultCollector<'_>,
) {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.is_empty() && name.len() <= 100 && name.chars().all(fits) {
        return;
    }
    let message = format!("`{name}` cannot be the name of a {what}");
    let fix = "write 1 to 100 of the letters a-z, A-Z, 0-9, `-`, `_` and `.`";
    collector.add(at, FaultKind::BadValue, message, fix);
}

fn read_is_engine(section: &mut Table<'_, '_>, collector: &mut FaultCollector<'_>) -> bool {
    let Some(value) = section.require("kind", "kind = \"engine\"", collector) else {
        // Without `kind`, `base_model` shows that the service is meant to be an engine service.
        return section.read("base_model").is_some();
    };
    match string("kind", value, collector) {
        Some("engine") => true,
        Some("plain") | None => false,
        Some(other) => {
            let message = format!("there is no kind `{other}`");
            let fix = did_you_mean(other, ["engine", "plain"]);
            collector.add(value.span(), FaultKind::BadValue, message, fix);
            false
        }
    }
}

fn read_depends_on(
    section: &mut Table<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Vec<(ServiceName, Range<usize>)> {
    let Some(value) = section.read("depends_on") else {
        return Vec::new();
    };
    let mut names: Vec<(ServiceName, Range<usize>)> = Vec::new();
    for entry in strings("depends_on", value, collector) {
        let name = ServiceName::from(*entry.get_ref());
        if names.iter().any(|(other, _)| *other == name) {
            let message = format!("`depends_on` names `{name}` twice");
            let fix = "remove one of the two";
            collector.add(entry.span(), FaultKind::DuplicateName, message, fix);
        } else {
            names.push((name, entry.span()));
        }
    }
    names
}

pub(super) fn read_class(
    section: &mut Table<'_, '_>,
    default: Class,
    collector: &mut FaultCollector<'_>,
) -> Class {
    let Some(value) = section.read("class") else {
        return default;
    };
    match string("class", value, collector) {
        Some("urgent") => Class::Urgent,
        Some("routine") => Class::Routine,
        Some(other) => {
            let message = format!("there is no class `{other}`");
            let fix = did_you_mean(other, ["urgent", "routine"]);
            collector.add(value.span(), FaultKind::BadValue, message, fix);
            default
        }
        None => default,
    }
}

fn read_deadline(section: &mut Table<'_, '_>, collector: &mut FaultCollector<'_>) -> Duration {
    if section
        .require("deadline_ms", "deadline_ms = 30000", collector)
        .is_none()
    {
        return FALLBACK_DEADLINE;
    }
    section.millis("deadline_ms", FALLBACK_DEADLINE, collector)
}

/// Reports a target longer than the deadline. A caller that waits for less than the target would
/// have most of its requests shed.
pub(super) fn check_target(
    section: &Table<'_, '_>,
    deadline: Duration,
    target: Duration,
    collector: &mut FaultCollector<'_>,
) {
    if target <= deadline {
        return;
    }
    let message = format!(
        "{} has a deadline of {} ms, below its target of {} ms",
        section.label,
        deadline.as_millis(),
        target.as_millis()
    );
    let fix = format!("write `deadline_ms = {}` or more", target.as_millis());
    collector.add(
        section.span.clone(),
        FaultKind::ImpossibleLimit,
        message,
        fix,
    );
}

fn read_upstreams(
    section: &mut Table<'_, '_>,
    context: &ServiceContext<'_>,
    collector: &mut FaultCollector<'_>,
) -> (Vec<UpstreamEntry>, Vec<Range<usize>>) {
    let example = "upstreams.my-domain = [\"10.0.0.1:9001\"]";
    let Some(value) = section.require("upstreams", example, collector) else {
        return (Vec::new(), Vec::new());
    };
    let Some(entries) = table("upstreams", value, collector) else {
        return (Vec::new(), Vec::new());
    };
    let mut upstreams = Vec::new();
    let mut places = Vec::new();
    for (domain, addresses) in entries {
        let name = domain.get_ref().as_ref();
        check_domain(name, domain.span(), context, collector);
        for address in strings(name, addresses, collector) {
            check_address(&address, collector);
            places.push(address.span());
            upstreams.push(UpstreamEntry {
                upstream: UpstreamId::from(*address.get_ref()),
                failure_domain: FailureDomain::from(name),
            });
        }
    }
    if upstreams.is_empty() {
        let message = format!("{} has no upstream", section.label);
        collector.add(
            value.span(),
            FaultKind::MissingKey,
            message,
            format!("write `{example}`"),
        );
    }
    (upstreams, places)
}

fn check_domain(
    name: &str,
    at: Range<usize>,
    context: &ServiceContext<'_>,
    collector: &mut FaultCollector<'_>,
) {
    let known = context.failure_domains.iter().map(FailureDomain::as_str);
    if known.clone().any(|other| other == name) {
        return;
    }
    let message = format!("`{name}` is not one of the `failure_domains`");
    let fix = did_you_mean(name, known);
    collector.add(at, FaultKind::DanglingName, message, fix);
}

fn check_address(address: &Spanned<&str>, collector: &mut FaultCollector<'_>) {
    let written = address.get_ref();
    if written
        .parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0)
    {
        return;
    }
    let message = format!("`{written}` is not an address");
    let fix = "write an IP number and a port, such as \"10.0.0.1:9001\"";
    collector.add(address.span(), FaultKind::BadValue, message, fix);
}

fn read_kind(
    section: &mut Table<'_, '_>,
    is_engine: bool,
    context: &ServiceContext<'_>,
    collector: &mut FaultCollector<'_>,
) -> (ServiceKind, Range<usize>) {
    if !is_engine {
        return (ServiceKind::Plain, section.span.clone());
    }
    let base_model = section
        .require("base_model", "base_model = \"the-model\"", collector)
        .and_then(|value| string("base_model", value, collector))
        .unwrap_or_default()
        .to_owned();
    let checks_fencing = section
        .require("checks_fencing", "checks_fencing = false", collector)
        .is_some_and(|_| section.boolean("checks_fencing", false, collector));
    let adapter_slots = section.integer_u32(
        "adapter_slots",
        1..=10_000,
        DEFAULT_ADAPTER_SLOTS,
        collector,
    );
    let batch_slots =
        section.integer_u32("batch_slots", 1..=10_000, DEFAULT_BATCH_SLOTS, collector);
    let ReadAdapters { adapters, at } = adapters::read(section, context.includes, collector);
    let kind = ServiceKind::Engine {
        base_model,
        checks_fencing,
        adapter_slots,
        batch_slots,
        adapters,
    };
    (kind, at)
}

/// Headroom on every upstream is reserved for urgent requests. If it covers all of an upstream's
/// requests in flight, routine requests never run and wait until their deadline passes.
fn check_headroom(service: &Service, at: Range<usize>, collector: &mut FaultCollector<'_>) {
    let name = &service.name;
    let places = f64::from(service.in_flight_per_upstream);
    if (places * (1.0 - service.urgent_headroom)).floor() < 1.0 {
        let message = format!(
            "service `{name}`: an urgent_headroom of {} over {places} places leaves routine work nothing",
            service.urgent_headroom
        );
        let highest = ((places - 1.0) / places * 100.0).floor() / 100.0;
        let fix = format!("write `urgent_headroom = {highest}` or less");
        collector.add(at.clone(), FaultKind::ImpossibleLimit, message, fix);
    }
    if service.urgent_headroom + service.routine_floor > 1.0 {
        let message = format!(
            "service `{name}`: urgent_headroom {} and routine_floor {} are over 1 together",
            service.urgent_headroom, service.routine_floor
        );
        let fix = format!(
            "write `routine_floor = {:.2}` or less",
            1.0 - service.urgent_headroom
        );
        collector.add(at, FaultKind::ImpossibleLimit, message, fix);
    }
}
