//! Where this node hears of the store's changes: the store itself, or a node that reads it.

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

/// The path at which a node tells the changes after the revision that follows, as era and number.
pub(crate) const CHANGES_PATH: &str = "/changes/";

/// How long a reader holds an ask until the store has answered it: longer than it pauses between
/// two watches, and short enough that it is then asked again while it is fresh.
const HOLD: Duration = Duration::from_millis(750);

/// How long a node waits for its reader at most.
const READER_TIMEOUT: Duration = Duration::from_millis(900);

/// How old what a node knows may grow while it waits for its reader. It then reads the store itself,
/// within the 2 s in which a leaving upstream may still get work.
const KNOWN_FOR: Duration = Duration::from_millis(1_700);

/// How long a reader that did not answer, or was behind, is not asked.
const SILENT_FOR: Duration = Duration::from_millis(3_000);

impl Knowledge {
    /// The changes after `after` from the node that reads the store for this one; nothing if the
    /// store is to be read itself.
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
        // Ages are counted back from the ask and the time for which the reader says it held it: what
        // held up the ask or its answer on the way makes this read look older, never younger.
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let before = |age_ms: u32| (asked + ms(read.held_ms)).saturating_sub(ms(age_ms));
        let read_at = ReadAt {
            asked: before(read.asked_ms),
            answered: before(read.answered_ms),
        };
        Some((changes, read_at))
    }

    /// The node that reads the store for this one; nothing if this node does.
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
        // Behind what is known here already, it has read the store before this node did.
        (read.revision >= after).then_some(read)
    }

    /// Tells another node the changes after the revision that ends `path`.
    pub(crate) async fn tell_changes(&self, path: &str) -> Result<Bytes, StatusCode> {
        let after = position(path).ok_or(StatusCode::BAD_REQUEST)?;
        let came = boot_time();
        // Answered once the store has answered, so that the other need not ask more often.
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

/// The revision that a path names.
fn position(path: &str) -> Option<Revision> {
    let (era, number) = path.strip_prefix(CHANGES_PATH)?.split_once('/')?;
    Some(Revision::of(
        StoreEra(era.parse().ok()?),
        number.parse().ok()?,
    ))
}
