//! Flattens a deployment into keys and values as a text would write them, for comparing two texts.

use std::collections::BTreeMap;

use nutmegsail_base::{AdapterName, AdapterVersion, ServiceName};

use crate::{Call, Deployment, FieldChange, Service, ServiceKind, millis};

/// Values by key, such as `calls.booking-confirm.deadline_ms`.
pub(crate) type Fields = BTreeMap<String, String>;

pub(crate) fn of_deployment(deployment: &Deployment) -> Fields {
    let Deployment {
        name,
        failure_domains,
        weights,
        limits,
        ..
    } = deployment;
    let domains: Vec<&str> = failure_domains.iter().map(|d| d.as_str()).collect();
    let mut fields = Fields::new();
    let mut put = |key: &str, value: String| fields.insert(key.to_owned(), value);
    put("name", name.clone());
    put("failure_domains", domains.join(", "));
    put("weights.load_stalls", weights.load_stalls.to_string());
    put(
        "weights.batch_efficiency",
        weights.batch_efficiency.to_string(),
    );
    put("limits.body_bytes", limits.body_bytes.to_string());
    put(
        "limits.in_flight_per_caller",
        limits.in_flight_per_caller.to_string(),
    );
    put("limits.loads_per_s", limits.loads_per_s.to_string());
    put(
        "limits.loads_at_full_speed",
        limits.loads_at_full_speed.to_string(),
    );
    put(
        "limits.claim_retention_ms",
        millis::of(limits.claim_retention).to_string(),
    );
    put(
        "limits.clock_skew_ms",
        millis::of(limits.clock_skew).to_string(),
    );
    fields
}

pub(crate) fn of_service(service: &Service) -> Fields {
    let names: Vec<&str> = service.depends_on.iter().map(ServiceName::as_str).collect();
    let mut fields = Fields::new();
    let mut put = |key: &str, value: String| fields.insert(key.to_owned(), value);
    match &service.kind {
        ServiceKind::Plain => {
            put("kind", "plain".to_owned());
        }
        ServiceKind::Engine {
            base_model,
            checks_fencing,
            adapter_slots,
            batch_slots,
            ..
        } => {
            put("kind", "engine".to_owned());
            put("base_model", base_model.clone());
            put("checks_fencing", checks_fencing.to_string());
            put("adapter_slots", adapter_slots.to_string());
            put("batch_slots", batch_slots.to_string());
        }
    }
    put("depends_on", names.join(", "));
    put("class", service.class.to_string());
    put("deadline_ms", millis::of(service.deadline).to_string());
    put("target_ms", millis::of(service.target).to_string());
    put(
        "in_flight_per_upstream",
        service.in_flight_per_upstream.to_string(),
    );
    put("urgent_headroom", service.urgent_headroom.to_string());
    put("queue_per_class", service.queue_per_class.to_string());
    put("routine_floor", service.routine_floor.to_string());
    put("retry_budget", service.retry_budget.to_string());
    for call in &service.calls {
        add_call(call, &mut fields);
    }
    fields
}

fn add_call(call: &Call, fields: &mut Fields) {
    let mut put = |key: &str, value: String| {
        fields.insert(format!("calls.{}.{key}", call.name), value);
    };
    put("class", call.class.to_string());
    put("deadline_ms", millis::of(call.deadline).to_string());
    put("target_ms", millis::of(call.target).to_string());
    put("once_only", call.once_only.to_string());
    put("idempotent", call.idempotent.to_string());
    if let Some(method) = &call.method {
        put("method", method.clone());
    }
    if let Some(path) = &call.path {
        put("path", path.clone());
    }
}

pub(crate) fn adapters_of(service: &Service) -> BTreeMap<&AdapterName, &[AdapterVersion]> {
    let ServiceKind::Engine { adapters, .. } = &service.kind else {
        return BTreeMap::new();
    };
    let entries = adapters.entries.iter();
    entries
        .map(|(name, versions)| (name, versions.as_slice()))
        .collect()
}

/// The keys whose values differ, sorted.
pub(crate) fn compare(old: &Fields, new: &Fields) -> Vec<FieldChange> {
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let value = |fields: &Fields, key: &String| fields.get(key).cloned().unwrap_or_default();
    let change = |key: &String| FieldChange {
        field: key.clone(),
        old: value(old, key),
        new: value(new, key),
    };
    let changes = keys.into_iter().map(change);
    changes.filter(|change| change.old != change.new).collect()
}
