//! Reads the text's top: the deployment, its weights and its limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::FailureDomain;
use serde_spanned::Spanned;
use toml::de::DeTable;

use super::gather::Gather;
use super::service::{ReadService, ServiceContext};
use super::table::{Table, string, strings, table};
use super::{cross_checks, service};
use crate::{AdapterIndex, Deployment, FaultKind, Limits, Weights};

/// Reads everything. The result means something only if `gather` stayed empty.
pub(super) fn read(
    entries: &Spanned<DeTable<'_>>,
    includes: &BTreeMap<Arc<str>, Arc<str>>,
    gather: &mut Gather<'_>,
) -> Deployment {
    let mut top = Table::new("the text".to_owned(), 0..0, entries.get_ref());
    let (name, failure_domains) = read_deployment(&mut top, gather);
    let weights = read_weights(&mut top, gather);
    let limits = read_limits(&mut top, gather);
    let context = ServiceContext {
        failure_domains: &failure_domains,
        includes,
    };
    let read = read_services(&mut top, &context, gather);
    top.finish(gather);
    cross_checks::check(&read, gather);
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
    gather: &mut Gather<'_>,
) -> (String, Vec<FailureDomain>) {
    let example = "[deployment]";
    let Some(value) = top.require("deployment", example, gather) else {
        return (String::new(), Vec::new());
    };
    let Some(entries) = table("deployment", value, gather) else {
        return (String::new(), Vec::new());
    };
    let mut section = Table::new("[deployment]".to_owned(), value.span(), entries);
    let name = section
        .require("name", "name = \"my-deployment\"", gather)
        .and_then(|value| string("name", value, gather))
        .unwrap_or_default()
        .to_owned();
    let example = "failure_domains = [\"hall-a\", \"hall-b\"]";
    let mut failure_domains = Vec::new();
    if let Some(value) = section.require("failure_domains", example, gather) {
        let names = strings("failure_domains", value, gather);
        if names.is_empty() {
            let message = "`failure_domains` is empty";
            let fix = format!("write `{example}`");
            gather.add(value.span(), FaultKind::BadValue, message, fix);
        }
        failure_domains = read_domains(&names, gather);
    }
    section.finish(gather);
    (name, failure_domains)
}

fn read_domains(names: &[Spanned<&str>], gather: &mut Gather<'_>) -> Vec<FailureDomain> {
    let mut domains: Vec<FailureDomain> = Vec::new();
    for name in names {
        let domain = FailureDomain::from(*name.get_ref());
        if domains.contains(&domain) {
            let message = format!("the failure domain `{domain}` stands here twice");
            let fix = "remove one of the two";
            gather.add(name.span(), FaultKind::DuplicateName, message, fix);
        } else {
            domains.push(domain);
        }
    }
    domains
}

fn read_weights(top: &mut Table<'_, '_>, gather: &mut Gather<'_>) -> Weights {
    let default = Weights::default();
    let Some(value) = top.read("weights") else {
        return default;
    };
    let Some(entries) = table("weights", value, gather) else {
        return default;
    };
    let mut section = Table::new("[weights]".to_owned(), value.span(), entries);
    let batch_efficiency = default.batch_efficiency;
    let weights = Weights {
        load_stalls: section.share("load_stalls", default.load_stalls, gather),
        batch_efficiency: section.share("batch_efficiency", batch_efficiency, gather),
    };
    section.finish(gather);
    if weights.load_stalls + weights.batch_efficiency <= 0.0 {
        let message = "both weights are 0, so nothing is weighed";
        let fix = "write a value above 0 for one of them";
        gather.add(value.span(), FaultKind::ImpossibleLimit, message, fix);
    }
    weights
}

fn read_limits(top: &mut Table<'_, '_>, gather: &mut Gather<'_>) -> Limits {
    let default = Limits::default();
    let Some(value) = top.read("limits") else {
        return default;
    };
    let Some(entries) = table("limits", value, gather) else {
        return default;
    };
    let mut section = Table::new("[limits]".to_owned(), value.span(), entries);
    let body_bytes = default.body_bytes as u64;
    let body_bytes = section.integer("body_bytes", 1..=64 * 1024 * 1024, body_bytes, gather);
    let in_flight = default.in_flight_per_caller;
    let in_flight = section.integer_u32("in_flight_per_caller", 1..=100_000, in_flight, gather);
    let loads = section.number("loads_per_s", 0.001..=10_000.0, default.loads_per_s, gather);
    let full_speed = default.loads_at_full_speed;
    let full_speed = section.integer_u32("loads_at_full_speed", 1..=1_000, full_speed, gather);
    let retention = default.claim_retention;
    let claim_retention = section.millis("claim_retention_ms", retention, gather);
    let clock_skew = section.millis("clock_skew_ms", default.clock_skew, gather);
    section.finish(gather);
    check_retention(value.span().start, claim_retention, clock_skew, gather);
    Limits {
        body_bytes: usize::try_from(body_bytes).unwrap_or(default.body_bytes),
        in_flight_per_caller: in_flight,
        loads_per_s: loads,
        loads_at_full_speed: full_speed,
        claim_retention,
        clock_skew,
    }
}

/// A key is refused once it is older than its claim is kept; with a skew as long as that, the keys
/// of a caller whose clock lags are refused always.
fn check_retention(at: usize, retention: Duration, skew: Duration, gather: &mut Gather<'_>) {
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
    gather.add(at..at, FaultKind::ImpossibleLimit, message, fix);
}

fn read_services(
    top: &mut Table<'_, '_>,
    context: &ServiceContext<'_>,
    gather: &mut Gather<'_>,
) -> Vec<ReadService> {
    let example = "[services.my-service]";
    let Some(value) = top.require("services", example, gather) else {
        return Vec::new();
    };
    let Some(entries) = table("services", value, gather) else {
        return Vec::new();
    };
    let mut services = Vec::new();
    for (name, value) in entries {
        if let Some(read) = service::read(name, value, context, gather) {
            services.push(read);
        }
    }
    services
}
