//! Checks across services: dependency names and cycles, upstreams or adapters listed twice, and
//! deadlines shorter than the targets along a dependency chain.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use nutmegsail_base::{AdapterName, ServiceName, UpstreamId};

use super::collector::{FaultCollector, did_you_mean};
use super::service::ReadService;
use crate::{FaultKind, ServiceKind};

pub(super) fn check(services: &[ReadService], collector: &mut FaultCollector<'_>) {
    check_dependency_names(services, collector);
    report_shared_upstreams(services, collector);
    report_shared_adapters(services, collector);
    let has_cycle = report_cycles(services, collector);
    if !has_cycle {
        check_chain_deadlines(services, collector);
    }
}

fn check_dependency_names(services: &[ReadService], collector: &mut FaultCollector<'_>) {
    let names: Vec<&str> = services
        .iter()
        .map(|read| read.service.name.as_str())
        .collect();
    for read in services {
        for (name, at) in &read.depends_on {
            if names.contains(&name.as_str()) {
                continue;
            }
            let message = format!("there is no service `{name}` to depend on");
            let others = names.iter().copied();
            let fix = did_you_mean(
                name,
                others.filter(|other| *other != read.service.name.as_str()),
            );
            collector.add(at.clone(), FaultKind::DanglingName, message, fix);
        }
    }
}

/// Each service counts only its own requests, so two services sharing an upstream could together
/// exceed its limit on requests in flight.
fn report_shared_upstreams(services: &[ReadService], collector: &mut FaultCollector<'_>) {
    let mut seen: HashMap<&UpstreamId, &ServiceName> = HashMap::new();
    for read in services {
        for (entry, at) in read.service.upstreams.iter().zip(&read.upstream_spans) {
            let Some(other) = seen.insert(&entry.upstream, &read.service.name) else {
                continue;
            };
            let message = format!("`{}` is already an upstream of `{other}`", entry.upstream);
            let fix = "give each upstream to one service, once";
            collector.add(at.clone(), FaultKind::DuplicateName, message, fix);
        }
    }
}

/// A request names only its adapter, so an adapter listed in two services would be ambiguous.
fn report_shared_adapters(services: &[ReadService], collector: &mut FaultCollector<'_>) {
    let mut seen: HashMap<&AdapterName, &ServiceName> = HashMap::new();
    for read in services {
        let ServiceKind::Engine { adapters, .. } = &read.service.kind else {
            continue;
        };
        let mut duplicates: BTreeMap<&ServiceName, Vec<&AdapterName>> = BTreeMap::new();
        for (name, _) in &adapters.entries {
            if let Some(other) = seen.insert(name, &read.service.name) {
                duplicates.entry(other).or_default().push(name);
            }
        }
        for (other, names) in duplicates {
            let more = match names.len() {
                1 => String::new(),
                count => format!(" (and {} more)", count - 1),
            };
            let message = format!(
                "the adapter `{}`{more} stands in `{other}` and in `{}`",
                names[0], read.service.name
            );
            let fix = "remove it from one of them";
            let at = read.adapters_span.clone();
            collector.add(at, FaultKind::AdapterInTwoServices, message, fix);
        }
    }
}

/// Reports each cycle once, at the dependency that closes it. Returns whether there is a cycle.
fn report_cycles(services: &[ReadService], collector: &mut FaultCollector<'_>) -> bool {
    let mut walk = CycleSearch {
        services: services
            .iter()
            .map(|read| (&read.service.name, read))
            .collect(),
        done: Vec::new(),
        path: Vec::new(),
        has_cycle: false,
    };
    for read in services {
        walk.visit(read, collector);
    }
    walk.has_cycle
}

/// A depth-first search for cycles in the dependency graph.
struct CycleSearch<'s> {
    services: BTreeMap<&'s ServiceName, &'s ReadService>,
    done: Vec<&'s ServiceName>,
    path: Vec<&'s ServiceName>,
    has_cycle: bool,
}

impl<'s> CycleSearch<'s> {
    fn visit(&mut self, read: &'s ReadService, collector: &mut FaultCollector<'_>) {
        let name = &read.service.name;
        if self.done.contains(&name) {
            return;
        }
        self.path.push(name);
        for (next, at) in &read.depends_on {
            if let Some(start) = self.path.iter().position(|other| *other == next) {
                self.has_cycle = true;
                let mut names: Vec<&str> = self.path[start..].iter().map(|n| n.as_str()).collect();
                names.push(next);
                let message = format!("services depend on themselves: {}", names.join(" -> "));
                let fix = format!("remove `{next}` from the `depends_on` of `{name}`");
                collector.add(at.clone(), FaultKind::DependencyCycle, message, fix);
            } else if let Some(dependency) = self.services.get(next).copied() {
                self.visit(dependency, collector);
            }
        }
        self.path.pop();
        self.done.push(name);
    }
}

/// Reports deadlines shorter than the sum of targets along the longest dependency chain: they would
/// be missed even if every service met its target.
fn check_chain_deadlines(services: &[ReadService], collector: &mut FaultCollector<'_>) {
    let by_name: BTreeMap<&ServiceName, &ReadService> = services
        .iter()
        .map(|read| (&read.service.name, read))
        .collect();
    let mut lengths: BTreeMap<&ServiceName, Duration> = BTreeMap::new();
    for read in services {
        let needed = chain_target_sum(read, &by_name, &mut lengths);
        let service = &read.service;
        let has_own_fault = service.deadline < service.target;
        if service.deadline >= needed || has_own_fault {
            continue;
        }
        let message = format!(
            "service `{}` has a deadline of {} ms, but the targets of what it depends on add up to {} ms",
            service.name,
            service.deadline.as_millis(),
            needed.as_millis()
        );
        let fix = format!("write `deadline_ms = {}` or more", needed.as_millis());
        collector.add(
            read.name_span.clone(),
            FaultKind::ImpossibleLimit,
            message,
            fix,
        );
    }
}

/// The sum of targets along the longest chain that starts with this service.
fn chain_target_sum<'s>(
    read: &'s ReadService,
    by_name: &BTreeMap<&'s ServiceName, &'s ReadService>,
    lengths: &mut BTreeMap<&'s ServiceName, Duration>,
) -> Duration {
    if let Some(length) = lengths.get(&read.service.name) {
        return *length;
    }
    let mut below = Duration::ZERO;
    for (name, _) in &read.depends_on {
        if let Some(dependency) = by_name.get(name) {
            below = below.max(chain_target_sum(dependency, by_name, lengths));
        }
    }
    let length = read.service.target + below;
    lengths.insert(&read.service.name, length);
    length
}
