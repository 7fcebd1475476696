//! Reads the store's changes from another node that reads the store for its failure domain.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use nutmegsail_base::{NodeId, StoreEra};
use nutmegsail_relay::reader_for;
use nutmegsail_store::{Changes, Revision};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::timeout;

use super::change_log::{NotRead, ReadAt, ReadChanges};
use super::knowledge::Knowledge;
use crate::clock::boot_time;

/// The path at which a node serves the store's changes after a revision, given as era and number.
pub(crate) const CHANGES_PATH: &str = "/changes/";

/// How long a reader holds a request until the store answers: longer than its pause between two
/// watches, and short enough that the next request comes while the answer is fresh.
const HOLD: Duration = Duration::from_millis(750);

/// The longest time that a node waits for its reader.
const READER_TIMEOUT: Duration = Duration::from_millis(900);

/// How old a node's state may become while it waits for its reader. The node then reads the store
/// itself, within the 2 s during which a leaving upstream may still get requests.
const KNOWN_FOR: Duration = Duration::from_millis(1_700);

/// How long a reader that did not answer, or was behind, is skipped.
const SILENT_FOR: Duration = Duration::from_millis(3_000);

impl Knowledge {
    /// Reads the changes after `after` from this node's reader. Returns `None` if this node has to
    /// read the store itself.
    pub(crate) async fn changes_by_reader(
        &self,
        after: Revision,
        known: ReadAt,
    ) -> Option<(Changes, ReadAt)> {
        let (reader, address) = self.reader()?;
        let asked = boot_time();
        let left = (known.answered + KNOWN_FOR).saturating_sub(asked);
        let read = self.ask_reader(address, after, left).await;
        if read.is_none() {
            self.shared.metrics.reader_silent();
            log_event!(
                self.log, Event::ReaderSilent,
                "reader" => reader.to_string(), "after" => after.to_string()
            );
            let mut silent = self.silent_readers.borrow_mut();
            silent.insert(reader, Instant::now());
        }
        let read = read?;
        let changes = Changes {
            changes: read.changes,
            revision: read.revision,
        };
        // The ages are subtracted from the time of the request plus the time that the reader says
        // it held it. A delay on the way thus makes this read look older than it is, never newer.
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let before = |age_ms: u32| (asked + ms(read.held_ms)).saturating_sub(ms(age_ms));
        let read_at = ReadAt {
            asked: before(read.asked_ms),
            answered: before(read.answered_ms),
        };
        Some((changes, read_at))
    }

    /// The node that reads the store for this one; `None` if this node reads it itself.
    pub(crate) fn reader(&self) -> Option<(NodeId, SocketAddr)> {
        let mut silent = self.silent_readers.borrow_mut();
        silent.retain(|_, at| at.elapsed() < SILENT_FOR);
        let nodes = self.nodes.borrow();
        let settings = &self.settings;
        let is_silent = |node: &NodeId| silent.contains_key(node);
        let reader = reader_for(
            &settings.node,
            &settings.failure_domain,
            nodes.values(),
            is_silent,
        )?;
        Some((reader.node.clone(), reader.address))
    }

    async fn ask_reader(
        &self,
        reader: SocketAddr,
        after: Revision,
        left: Duration,
    ) -> Option<ReadChanges> {
        let path = format!("{CHANGES_PATH}{}/{}", after.era(), after.number());
        let request = Request::get(path).body(Full::new(Bytes::new())).ok()?;
        let address = reader.to_string();
        let limit = READER_TIMEOUT.min(left);
        let answer = self.call(&address, request, limit).await?;
        let is_told = answer.status() == StatusCode::OK;
        let read: ReadChanges = is_told.then(|| postcard::from_bytes(answer.body()).ok())??;
        // A reader whose revision is older than `after` has read the store before this node did.
        (read.revision >= after).then_some(read)
    }

    /// Serves the changes after the revision in `path` to another node.
    pub(crate) async fn tell_changes(&self, path: &str) -> Result<Bytes, StatusCode> {
        let after = position(path).ok_or(StatusCode::BAD_REQUEST)?;
        let came = boot_time();
        // Respond only once the store has answered, so that the other node need not ask more often.
        let hold = self.change_log.fresh_for().unwrap_or(HOLD).min(HOLD);
        let _ = timeout(hold, self.change_log.answered.notified()).await;
        let read = self
            .change_log
            .after(after, came)
            .map_err(|why| match why {
                NotRead::Behind => StatusCode::SERVICE_UNAVAILABLE,
                NotRead::Forgotten => StatusCode::GONE,
            })?;
        let bytes = postcard::to_stdvec(&read).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
        Ok(bytes.into())
    }
}

/// Parses the revision in a path.
fn position(path: &str) -> Option<Revision> {
    let (era, number) = path.strip_prefix(CHANGES_PATH)?.split_once('/')?;
    Some(Revision::of(
        StoreEra(era.parse().ok()?),
        number.parse().ok()?,
    ))
}
