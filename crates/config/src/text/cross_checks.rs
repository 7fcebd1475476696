//! Checks that need all services: names, cycles, shared upstreams and adapters, chains of targets.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use nutmegsail_base::{AdapterName, ServiceName, UpstreamId};

use super::gather::{Gather, did_you_mean};
use super::service::ReadService;
use crate::{FaultKind, ServiceKind};

pub(super) fn check(services: &[ReadService], gather: &mut Gather<'_>) {
    dangling_names(services, gather);
    shared_upstreams(services, gather);
    shared_adapters(services, gather);
    let has_cycle = cycles(services, gather);
    if !has_cycle {
        chains(services, gather);
    }
}

fn dangling_names(services: &[ReadService], gather: &mut Gather<'_>) {
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
            gather.add(at.clone(), FaultKind::DanglingName, message, fix);
        }
    }
}

/// Two services on one upstream would each fill it up to its limit without seeing the other.
fn shared_upstreams(services: &[ReadService], gather: &mut Gather<'_>) {
    let mut seen: HashMap<&UpstreamId, &ServiceName> = HashMap::new();
    for read in services {
        for (entry, at) in read.service.upstreams.iter().zip(&read.upstreams_at) {
            let Some(other) = seen.insert(&entry.upstream, &read.service.name) else {
                continue;
            };
            let message = format!("`{}` is already an upstream of `{other}`", entry.upstream);
            let fix = "give each upstream to one service, once";
            gather.add(at.clone(), FaultKind::DuplicateName, message, fix);
        }
    }
}

/// A request names only its adapter, so an adapter in two services would have no one service.
fn shared_adapters(services: &[ReadService], gather: &mut Gather<'_>) {
    let mut seen: HashMap<&AdapterName, &ServiceName> = HashMap::new();
    for read in services {
        let ServiceKind::Engine { adapters, .. } = &read.service.kind else {
            continue;
        };
        let mut twice: BTreeMap<&ServiceName, Vec<&AdapterName>> = BTreeMap::new();
        for (name, _) in &adapters.entries {
            if let Some(other) = seen.insert(name, &read.service.name) {
                twice.entry(other).or_default().push(name);
            }
        }
        for (other, names) in twice {
            let more = match names.len() {
                1 => String::new(),
                count => format!(" (and {} more)", count - 1),
            };
            let message = format!(
                "the adapter `{}`{more} stands in `{other}` and in `{}`",
                names[0], read.service.name
            );
            let fix = "remove it from one of them";
            let at = read.adapters_at.clone();
            gather.add(at, FaultKind::AdapterInTwoServices, message, fix);
        }
    }
}

/// Reports each cycle once, at the dependency that closes it. Tells whether there is one.
fn cycles(services: &[ReadService], gather: &mut Gather<'_>) -> bool {
    let mut walk = Walk {
        services: services
            .iter()
            .map(|read| (&read.service.name, read))
            .collect(),
        done: Vec::new(),
        path: Vec::new(),
        has_cycle: false,
    };
    for read in services {
        walk.visit(read, gather);
    }
    walk.has_cycle
}

struct Walk<'s> {
    services: BTreeMap<&'s ServiceName, &'s ReadService>,
    done: Vec<&'s ServiceName>,
    path: Vec<&'s ServiceName>,
    has_cycle: bool,
}

impl<'s> Walk<'s> {
    fn visit(&mut self, read: &'s ReadService, gather: &mut Gather<'_>) {
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
                gather.add(at.clone(), FaultKind::DependencyCycle, message, fix);
            } else if let Some(dependency) = self.services.get(next).copied() {
                self.visit(dependency, gather);
            }
        }
        self.path.pop();
        self.done.push(name);
    }
}

/// A deadline below the targets of the chain cannot be kept even if every service meets its target.
fn chains(services: &[ReadService], gather: &mut Gather<'_>) {
    let by_name: BTreeMap<&ServiceName, &ReadService> = services
        .iter()
        .map(|read| (&read.service.name, read))
        .collect();
    let mut lengths: BTreeMap<&ServiceName, Duration> = BTreeMap::new();
    for read in services {
        let needed = chain_target(read, &by_name, &mut lengths);
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
        gather.add(
            read.name_at.clone(),
            FaultKind::ImpossibleLimit,
            message,
            fix,
        );
    }
}

fn chain_target<'s>(
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
            below = below.max(chain_target(dependency, by_name, lengths));
        }
    }
    let length = read.service.target + below;
    lengths.insert(&read.service.name, length);
    length
}
