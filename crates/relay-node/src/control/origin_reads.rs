//! Looks up in the store where streams began.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use nutmegsail_base::ServiceName;
use nutmegsail_relay::{
    KnownOrigin, OriginBatch, OriginRecord, ServedVersions, SoftwareVersion, StoreAnswer,
};
use nutmegsail_store::KeyValueError;
use nutmegsail_telemetry::{Event, log_event};
use tokio::sync::mpsc;

use super::control_state::ControlState;
use super::origin_writes::{STREAM_PREFIX, domain_prefix};
use super::served_software::served_key;
use crate::shared::OriginRead;

/// The largest number of pages that are read, at 500 batches each.
const MAX_PAGES: usize = 20;

/// The only version of each service, if its list names one.
type SoleVersions = HashMap<ServiceName, Option<SoftwareVersion>>;

/// Answers look-ups until the traffic thread ends. Those that arrive during a read share the next
/// one: only a read that begins after a request arrived is known to show its stream.
pub(crate) async fn serve(control: Rc<ControlState>, mut reads: mpsc::Receiver<OriginRead>) {
    while let Some(first) = reads.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = reads.try_recv() {
            waiting.push(next);
        }
        // A search may have ended during the reads before.
        waiting.retain(|read| !read.result.is_closed());
        let answers = look_up(&control, &waiting).await;
        for read in waiting {
            let answer = answers.as_ref().map(|found| found.answer(&read));
            let _ = read.result.send(answer.unwrap_or(StoreAnswer::Unavailable));
        }
    }
}

/// What one round of reads has shown.
struct Found {
    soles: SoleVersions,
    batches: Vec<OriginBatch>,
}

impl Found {
    fn answer(&self, read: &OriginRead) -> StoreAnswer {
        StoreAnswer::Read {
            sole: self.soles.get(&read.service).cloned().flatten(),
            record: OriginRecord::from(OriginBatch::find_all(&self.batches, &read.key)),
        }
    }

    fn is_decided(&self, read: &OriginRead) -> bool {
        let known = OriginBatch::find_all(&self.batches, &read.key);
        matches!(self.soles.get(&read.service), Some(Some(_))) || known != KnownOrigin::Unknown
    }
}

async fn look_up(control: &ControlState, reads: &[OriginRead]) -> Result<Found, KeyValueError> {
    let services: BTreeSet<&ServiceName> = reads.iter().map(|read| &read.service).collect();
    let mut found = Found {
        soles: SoleVersions::new(),
        batches: Vec::new(),
    };
    for service in services {
        let sole = read_sole(control, service).await?;
        found.soles.insert(service.clone(), sole);
    }
    // Most callers stay in their failure domain.
    let near = domain_prefix(&control.settings.failure_domain);
    for prefix in [&*near, STREAM_PREFIX] {
        if reads.iter().all(|read| found.is_decided(read)) {
            break;
        }
        found.batches = read_batches(control, prefix).await?;
    }
    Ok(found)
}

async fn read_sole(
    control: &ControlState,
    service: &ServiceName,
) -> Result<Option<SoftwareVersion>, KeyValueError> {
    let Some(item) = control.store.get(&served_key(service)).await? else {
        return Ok(None);
    };
    control.apply_served(service, &item);
    let served = serde_json::from_slice::<ServedVersions>(&item.value).ok();
    let era = item.revision.era();
    Ok(served.and_then(|served| control.sole_version(service, &served, era)))
}

async fn read_batches(
    control: &ControlState,
    prefix: &str,
) -> Result<Vec<OriginBatch>, KeyValueError> {
    let mut batches = Vec::new();
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let page = control.store.range(prefix, after.as_deref()).await?;
        for item in &page.items {
            match OriginBatch::from_bytes(&item.value) {
                Ok(batch) => batches.push(batch),
                Err(fault) => log_event!(
                    control.log, Event::MessageUndecodable,
                    "key" => item.key.to_string(), "problem" => fault.to_string()
                ),
            }
        }
        let is_last = !page.has_more;
        after = page.items.last().map(|item| item.key.clone());
        if is_last || after.is_none() {
            return Ok(batches);
        }
    }
    Err(KeyValueError::TooLarge)
}
