//! Parses the top level of a text: `[deployment]`, `[weights]`, `[limits]` and `[services]`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::FailureDomain;
use serde_spanned::Spanned;
use toml::de::DeTable;

use super::collector::FaultCollector;
use super::service::{ReadService, ServiceContext};
use super::table::{Table, string, strings, table};
use super::{cross_checks, service};
use crate::{AdapterIndex, Deployment, FaultKind, Limits, Weights};

/// Parses the whole text. The result is valid only if `collector` is still empty afterwards.
pub(super) fn read(
    entries: &Spanned<DeTable<'_>>,
    includes: &BTreeMap<Arc<str>, Arc<str>>,
    collector: &mut FaultCollector<'_>,
) -> Deployment {
    let mut top = Table::new("the text".to_owned(), 0..0, entries.get_ref());
    let (name, failure_domains) = read_deployment(&mut top, collector);
    let weights = read_weights(&mut top, collector);
    let limits = read_limits(&mut top, collector);
    let context = ServiceContext {
        failure_domains: &failure_domains,
        includes,
    };
    let read = read_services(&mut top, &context, collector);
    top.finish(collector);
    cross_checks::check(&read, collector);
    let services = read
        .into_iter()
        .map(|read| (read.service.name.clone(), read.service))
        .collect();
    Deployment {
        name,
        failure_domains,
        weights,
        limits,
        services,
        adapter_index: AdapterIndex::default(),
    }
}

fn read_deployment(
    top: &mut Table<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> (String, Vec<FailureDomain>) {
    let example = "[deployment]";
    let Some(value) = top.require("deployment", example, collector) else {
        return (String::new(), Vec::new());
    };
    let Some(entries) = table("deployment", value, collector) else {
        return (String::new(), Vec::new());
    };
    let mut section = Table::new("[deployment]".to_owned(), value.span(), entries);
    let name = section
        .require("name", "name = \"my-deployment\"", collector)
        .and_then(|value| string("name", value, collector))
        .unwrap_or_default()
        .to_owned();
    let example = "failure_domains = [\"hall-a\", \"hall-b\"]";
    let mut failure_domains = Vec::new();
    if let Some(value) = section.require("failure_domains", example, collector) {
        let names = strings("failure_domains", value, collector);
        if names.is_empty() {
            let message = "`failure_domains` is empty";
            let fix = format!("write `{example}`");
            collector.add(value.span(), FaultKind::BadValue, message, fix);
        }
        failure_domains = read_domains(&names, collector);
    }
    section.finish(collector);
    (name, failure_domains)
}

fn read_domains(names: &[Spanned<&str>], collector: &mut FaultCollector<'_>) -> Vec<FailureDomain> {
    let mut domains: Vec<FailureDomain> = Vec::new();
    for name in names {
        let domain = FailureDomain::from(*name.get_ref());
        if domains.contains(&domain) {
            let message = format!("the failure domain `{domain}` stands here twice");
            let fix = "remove one of the two";
            collector.add(name.span(), FaultKind::DuplicateName, message, fix);
        } else {
            domains.push(domain);
        }
    }
    domains
}

fn read_weights(top: &mut Table<'_, '_>, collector: &mut FaultCollector<'_>) -> Weights {
    let default = Weights::default();
    let Some(value) = top.read("weights") else {
        return default;
    };
    let Some(entries) = table("weights", value, collector) else {
        return default;
    };
    let mut section = Table::new("[weights]".to_owned(), value.span(), entries);
    let batch_efficiency = default.batch_efficiency;
    let weights = Weights {
        load_stalls: section.share("load_stalls", default.load_stalls, collector),
        batch_efficiency: section.share("batch_efficiency", batch_efficiency, collector),
    };
    section.finish(collector);
    if weights.load_stalls + weights.batch_efficiency <= 0.0 {
        let message = "both weights are 0, so nothing is weighed";
        let fix = "write a value above 0 for one of them";
        collector.add(value.span(), FaultKind::ImpossibleLimit, message, fix);
    }
    weights
}

fn read_limits(top: &mut Table<'_, '_>, collector: &mut FaultCollector<'_>) -> Limits {
    let default = Limits::default();
    let Some(value) = top.read("limits") else {
        return default;
    };
    let Some(entries) = table("limits", value, collector) else {
        return default;
    };
    let mut section = Table::new("[limits]".to_owned(), value.span(), entries);
    let body_bytes = default.body_bytes as u64;
    let body_bytes = section.integer("body_bytes", 1..=64 * 1024 * 1024, body_bytes, collector);
    let in_flight = default.in_flight_per_caller;
    let in_flight = section.integer_u32("in_flight_per_caller", 1..=100_000, in_flight, collector);
    let loads = section.number(
        "loads_per_s",
        0.001..=10_000.0,
        default.loads_per_s,
        collector,
    );
    let full_speed = default.loads_at_full_speed;
    let full_speed = section.integer_u32("loads_at_full_speed", 1..=1_000, full_speed, collector);
    let retention = default.claim_retention;
    let claim_retention = section.millis("claim_retention_ms", retention, collector);
    let clock_skew = section.millis("clock_skew_ms", default.clock_skew, collector);
    section.finish(collector);
    check_retention(value.span().start, claim_retention, clock_skew, collector);
    Limits {
        body_bytes: usize::try_from(body_bytes).unwrap_or(default.body_bytes),
        in_flight_per_caller: in_flight,
        loads_per_s: loads,
        loads_at_full_speed: full_speed,
        claim_retention,
        clock_skew,
    }
}

/// An idempotency key older than the retention of claims is refused. If the allowed clock skew were
/// as long as the retention, every key of a caller whose clock is slow could be refused.
fn check_retention(
    at: usize,
    retention: Duration,
    skew: Duration,
    collector: &mut FaultCollector<'_>,
) {
    if retention > skew {
        return;
    }
    let message = format!(
        "`claim_retention_ms` ({}) is not above `clock_skew_ms` ({})",
        retention.as_millis(),
        skew.as_millis()
    );
    let fix = format!(
        "write `claim_retention_ms = {}` or more",
        2 * skew.as_millis()
    );
    collector.add(at..at, FaultKind::ImpossibleLimit, message, fix);
}

fn read_services(
    top: &mut Table<'_, '_>,
    context: &ServiceContext<'_>,
    collector: &mut FaultCollector<'_>,
) -> Vec<ReadService> {
    let example = "[services.my-service]";
    let Some(value) = top.require("services", example, collector) else {
        return Vec::new();
    };
    let Some(entries) = table("services", value, collector) else {
        return Vec::new();
    };
    let mut services = Vec::new();
    for (name, value) in entries {
        if let Some(read) = service::read(name, value, context, collector) {
            services.push(read);
        }
    }
    services
}
