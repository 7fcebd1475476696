//! Looks up in the store where streams began.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use nutmegsail_base::ServiceName;
use nutmegsail_relay::{OriginBatch, OriginRecord, StoreAnswer, StreamOrigin};
use nutmegsail_store::KeyValueError;
use nutmegsail_telemetry::{Event, log_event};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::control_state::ControlState;
use super::origin_writes::{STREAM_PREFIX, domain_prefix};
use crate::shared::OriginRead;

/// The largest number of pages that are read, at 500 batches each.
const MAX_PAGES: usize = 40;

/// The pause between two reads of all failure domains' batches, which any caller can cause by naming
/// streams that do not exist.
const WIDE_READ_PAUSE: Duration = Duration::from_millis(250);

/// Answers look-ups until the traffic thread ends. Those that arrive during a read share the next
/// one: only a read that begins after a request arrived is known to show its stream.
pub(crate) async fn serve(control: Rc<ControlState>, mut reads: mpsc::Receiver<OriginRead>) {
    let (undecided, wide_reads) = mpsc::unbounded_channel();
    spawn_local(serve_wide(Rc::clone(&control), wide_reads));
    while let Some(first) = reads.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = reads.try_recv() {
            waiting.push(next);
        }
        // A search may have ended during the reads before.
        waiting.retain(|read| !read.result.is_closed());
        let near = domain_prefix(&control.settings.failure_domain);
        match look_up(&control, &waiting, &near).await {
            Ok(records) => {
                for (read, record) in waiting.into_iter().zip(records) {
                    // Most callers stay in their failure domain, but not all.
                    match record {
                        OriginRecord::Unknown => drop(undecided.send(read)),
                        known => drop(read.result.send(StoreAnswer::Read(known))),
                    }
                }
            }
            Err(_) => fail(waiting),
        }
    }
}

/// Answers look-ups of streams that did not begin in this failure domain.
async fn serve_wide(control: Rc<ControlState>, mut reads: mpsc::UnboundedReceiver<OriginRead>) {
    while let Some(first) = reads.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = reads.try_recv() {
            waiting.push(next);
        }
        match read_batches(&control, STREAM_PREFIX).await {
            Ok(batches) => {
                for read in waiting {
                    let record = OriginBatch::find_all(&batches, &read.key).into();
                    let _ = read.result.send(StoreAnswer::Read(record));
                }
            }
            Err(_) => fail(waiting),
        }
        sleep(WIDE_READ_PAUSE).await;
    }
}

fn fail(reads: Vec<OriginRead>) {
    for read in reads {
        let _ = read.result.send(StoreAnswer::Unavailable);
    }
}

/// What the lists of versions and the batches under `prefix` say of each stream.
async fn look_up(
    control: &ControlState,
    reads: &[OriginRead],
    prefix: &str,
) -> Result<Vec<OriginRecord>, KeyValueError> {
    let services: BTreeSet<&ServiceName> = reads.iter().map(|read| &read.service).collect();
    let mut soles: HashMap<&ServiceName, StreamOrigin> = HashMap::new();
    for service in services {
        if let Some(sole) = control.read_sole_origin(service).await? {
            soles.insert(service, sole);
        }
    }
    let has_open = reads.iter().any(|read| !soles.contains_key(&read.service));
    let batches = match has_open {
        true => read_batches(control, prefix).await?,
        false => Vec::new(),
    };
    let records = reads.iter().map(|read| match soles.get(&read.service) {
        Some(sole) => OriginRecord::At(sole.clone()),
        None => OriginBatch::find_all(&batches, &read.key).into(),
    });
    Ok(records.collect())
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
