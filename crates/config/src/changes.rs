//! Compares two texts key by key.

use nutmegsail_base::{AdapterName, FailureDomain, ServiceName, UpstreamId};
use serde::Serialize;

use crate::{Deployment, Service, UpstreamEntry, fields};

/// How many names of a list are shown; longer lists end in `...`.
const MAX_SHOWN_NAMES: usize = 3;

/// A key whose value differs between two texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The key, such as `calls.booking-confirm.deadline_ms`.
    pub field: String,
    /// The value in the older text; empty if the key is not set there.
    pub old: String,
    /// The value in the newer text; empty if the key is not set there.
    pub new: String,
}

/// The number of names in a list, with the first few names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NameCount {
    /// The number of names.
    pub count: usize,
    /// The first few names, sorted.
    pub first: Vec<AdapterName>,
}

/// An upstream that was added or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UpstreamChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// The differences in one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceChange {
    /// The service.
    pub service: ServiceName,
    /// Keys whose values differ.
    pub fields: Vec<FieldChange>,
    /// Adapters that only the newer text has.
    pub adapters_added: NameCount,
    /// Adapters that only the older text has.
    pub adapters_removed: NameCount,
    /// Adapters whose versions differ.
    pub adapters_changed: NameCount,
    /// Upstreams that only the newer text has. One that changed its failure domain is listed here
    /// and in `upstreams_removed`.
    pub upstreams_added: Vec<UpstreamChange>,
    /// Upstreams that only the older text has.
    pub upstreams_removed: Vec<UpstreamChange>,
}

/// All differences between two texts. [`std::fmt::Display`] prints one line per change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Changes {
    /// Keys outside the services whose values differ.
    pub fields: Vec<FieldChange>,
    /// Services that only the newer text has.
    pub services_added: Vec<ServiceName>,
    /// Services that only the older text has.
    pub services_removed: Vec<ServiceName>,
    /// Services that differ.
    pub services_changed: Vec<ServiceChange>,
}

impl Changes {
    /// Whether the two texts configure the same deployment.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Compares two texts.
///
/// ```
/// # let text = include_str!("../../../examples/jm-west.toml");
/// use nutmegsail_config::{Deployment, diff};
/// let old = Deployment::parse(text, "old.toml")?;
/// let new = Deployment::parse(&text.replace("{0001..1500}", "{0001..1502}"), "new.toml")?;
/// let changes = diff(&old, &new);
/// assert_eq!(changes.services_changed[0].adapters_added.count, 2);
/// # Ok::<(), nutmegsail_config::Faults>(())
/// ```
pub fn diff(old: &Deployment, new: &Deployment) -> Changes {
    let mut changes = Changes {
        fields: fields::compare(&fields::of_deployment(old), &fields::of_deployment(new)),
        ..Changes::default()
    };
    for (name, service) in &old.services {
        match new.services.get(name) {
            None => changes.services_removed.push(name.clone()),
            Some(newer) if newer != service => {
                changes.services_changed.push(diff_service(service, newer));
            }
            Some(_) => {}
        }
    }
    let added = new.services.keys();
    let added = added.filter(|name| !old.services.contains_key(*name));
    changes.services_added = added.cloned().collect();
    changes
}

fn diff_service(old: &Service, new: &Service) -> ServiceChange {
    let (older, newer) = (fields::adapters_of(old), fields::adapters_of(new));
    let both = |name: &AdapterName| older.contains_key(name) && newer.contains_key(name);
    ServiceChange {
        service: new.name.clone(),
        fields: fields::compare(&fields::of_service(old), &fields::of_service(new)),
        adapters_added: count(newer.keys().filter(|name| !older.contains_key(*name))),
        adapters_removed: count(older.keys().filter(|name| !newer.contains_key(*name))),
        adapters_changed: count(
            newer
                .keys()
                .filter(|name| both(name) && older.get(*name) != newer.get(*name)),
        ),
        upstreams_added: missing_from(&new.upstreams, &old.upstreams),
        upstreams_removed: missing_from(&old.upstreams, &new.upstreams),
    }
}

fn count<'n>(names: impl Iterator<Item = &'n &'n AdapterName>) -> NameCount {
    let mut counted = NameCount::default();
    for name in names {
        counted.count += 1;
        if counted.first.len() < MAX_SHOWN_NAMES {
            counted.first.push((*name).clone());
        }
    }
    counted
}

fn missing_from(these: &[UpstreamEntry], others: &[UpstreamEntry]) -> Vec<UpstreamChange> {
    let missing = these.iter().filter(|entry| !others.contains(entry));
    let change = |entry: &UpstreamEntry| UpstreamChange {
        upstream: entry.upstream.clone(),
        failure_domain: entry.failure_domain.clone(),
    };
    missing.map(change).collect()
}

impl std::fmt::Display for FieldChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (self.old.as_str(), self.new.as_str()) {
            ("", new) => write!(f, "+ {} = {new}", self.field),
            (old, "") => write!(f, "- {} = {old}", self.field),
            (old, new) => write!(f, "~ {} = {old} -> {new}", self.field),
        }
    }
}

impl std::fmt::Display for NameCount {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names: Vec<&str> = self.first.iter().map(AdapterName::as_str).collect();
        let more = if self.count > names.len() {
            ", ..."
        } else {
            ""
        };
        write!(f, "{} ({}{more})", self.count, names.join(", "))
    }
}

impl std::fmt::Display for ServiceChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "~ service {}", self.service)?;
        for field in &self.fields {
            write!(f, "\n    {field}")?;
        }
        let adapters = [
            ("+ adapters", &self.adapters_added),
            ("- adapters", &self.adapters_removed),
            ("~ versions of adapters", &self.adapters_changed),
        ];
        for (label, names) in adapters.iter().filter(|(_, names)| names.count > 0) {
            write!(f, "\n    {label}: {names}")?;
        }
        for change in &self.upstreams_added {
            write!(
                f,
                "\n    + upstream {} in {}",
                change.upstream, change.failure_domain
            )?;
        }
        for change in &self.upstreams_removed {
            write!(
                f,
                "\n    - upstream {} in {}",
                change.upstream, change.failure_domain
            )?;
        }
        Ok(())
    }
}

impl std::fmt::Display for Changes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut lines: Vec<String> = self.fields.iter().map(ToString::to_string).collect();
        lines.extend(
            self.services_added
                .iter()
                .map(|name| format!("+ service {name}")),
        );
        lines.extend(
            self.services_removed
                .iter()
                .map(|name| format!("- service {name}")),
        );
        lines.extend(self.services_changed.iter().map(ToString::to_string));
        if lines.is_empty() {
            return f.write_str("no change");
        }
        f.write_str(&lines.join("\n"))
    }
}
