//! Writes where streams began to the store, for nodes that start all at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use nutmegsail_relay::OriginBatch;
use nutmegsail_store::{KeyValueError, LeaseId, Put, Txn};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::{sleep, sleep_until};

use super::control_state::ControlState;

/// The prefix of the keys of all batches. No watcher has it, so that a node that starts does not read
/// them all.
pub(crate) const STREAM_PREFIX: &str = "nutmegsail-streams/";

/// How long the store keeps batches at least. Callers wait less for a stream in all.
const MIN_KEPT_TIME: Duration = Duration::from_secs(30);

/// For how long batches get the same lease. Keys vanish with their lease, so none has to be removed.
const LEASE_USE_TIME: Duration = Duration::from_secs(10);

/// The prefix of the keys that nodes of `domain` write.
pub(super) fn domain_prefix(domain: &FailureDomain) -> String {
    format!("{STREAM_PREFIX}{domain}/")
}

/// The state of this node's writes.
#[derive(Debug)]
pub(crate) struct OriginWrites {
    /// Tells the keys of this process from those of an earlier one.
    process: u32,
    next_batch: Cell<u64>,
    /// The lease of the batches, and when it was granted.
    lease: Cell<Option<(LeaseId, Instant)>>,
}

impl Default for OriginWrites {
    fn default() -> Self {
        Self {
            process: rand::random(),
            next_batch: Cell::default(),
            lease: Cell::default(),
        }
    }
}

/// Writes the streams that wait, as often as they may be written, forever.
pub(super) async fn run(control: Rc<ControlState>) {
    loop {
        let due = control.shared.streams().batches.due_at();
        let Some(due) = due else {
            control.shared.streams_to_write.notified().await;
            continue;
        };
        sleep_until(due.into()).await;
        let batch = control.shared.streams().batches.take_batch(Instant::now());
        if let Some(batch) = batch
            && !write(&control, &batch).await
        {
            sleep(control.store_pause()).await;
        }
    }
}

/// Returns whether the store took it.
async fn write(control: &ControlState, batch: &OriginBatch) -> bool {
    let written = try_write(control, batch).await;
    let mut streams = control.shared.streams();
    match written {
        Ok(()) => streams.batches.written(),
        Err(_) => streams.batches.put_back(),
    }
    drop(streams);
    let is_written = written.is_ok();
    if written == Err(KeyValueError::LeaseGone) {
        control.origin_writes.lease.set(None);
    }
    log_event!(
        control.log, Event::StreamOriginsStored,
        "streams" => batch.len(), "error" => written.err().map(|error| error.to_string())
    );
    is_written
}

async fn try_write(control: &ControlState, batch: &OriginBatch) -> Result<(), KeyValueError> {
    let writes = &control.origin_writes;
    let lease = current_lease(control).await?;
    let number = writes.next_batch.replace(writes.next_batch.get() + 1);
    let (settings, process) = (&control.settings, writes.process);
    let prefix = domain_prefix(&settings.failure_domain);
    let put = Put {
        key: format!("{prefix}{}/{process:x}-{number}", settings.node).into(),
        value: batch.to_bytes().into(),
        lease,
    };
    let txn = Txn {
        puts: vec![put],
        ..Txn::default()
    };
    control.store.commit(txn).await.map(|_| ())
}

async fn current_lease(control: &ControlState) -> Result<LeaseId, KeyValueError> {
    let lease = &control.origin_writes.lease;
    if let Some((current, granted)) = lease.get()
        && granted.elapsed() < LEASE_USE_TIME
    {
        return Ok(current);
    }
    let asked = Instant::now();
    let granted = control
        .store
        .grant_lease(MIN_KEPT_TIME + LEASE_USE_TIME)
        .await?;
    lease.set(Some((granted.lease, asked)));
    Ok(granted.lease)
}
