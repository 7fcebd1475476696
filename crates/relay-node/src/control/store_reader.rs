//! Reads the store's changes from another node that reads the store for its failure domain.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use nutmegsail_base::{NodeId, StoreEra};
use nutmegsail_relay::{aggregator_for, reader_for};
use nutmegsail_store::{Changes, Revision};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::timeout;

use super::change_log::{ReadAt, ReaderAnswer, ReaderError};
use super::control_state::ControlState;
use crate::clock::boot_time;

/// The path at which a node serves the store's changes after a revision, given as era and number.
pub(crate) const CHANGES_PATH: &str = "/changes/";

/// How long a reader holds a request until the store answers: longer than its pause between two
/// watches, and short enough that the next request comes while the answer is fresh.
const MAX_HOLD: Duration = Duration::from_millis(750);

/// The longest time that a node waits for its reader.
const READER_TIMEOUT: Duration = Duration::from_millis(900);

/// How old a node's state may become while it waits for its reader. The node then reads the store
/// itself, within the 2 s during which a leaving upstream may still get requests.
const MAX_STATE_AGE: Duration = Duration::from_millis(1_700);

/// How long a reader that did not answer, or was behind, is skipped.
const SILENT_READER_PAUSE: Duration = Duration::from_millis(3_000);

/// How long a reader that did not answer gets no loads to aggregate, unless it answers. By then it
/// was asked for changes once more.
const SILENT_AGGREGATOR_PAUSE: Duration = Duration::from_millis(5_000);

impl ControlState {
    /// Reads the changes after `after` from this node's reader. Returns `None` if this node has to
    /// read the store itself.
    pub(crate) async fn read_through_reader(
        &self,
        after: Revision,
        known: ReadAt,
    ) -> Option<(Changes, ReadAt)> {
        let (reader, address) = self.reader()?;
        let asked = boot_time();
        let time_left = (known.answered + MAX_STATE_AGE).saturating_sub(asked);
        let read = self.query_reader(address, after, time_left).await;
        if read.is_some() {
            self.silent_readers.borrow_mut().remove(&reader);
        } else {
            self.shared.metrics.record_silent_reader();
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
        silent.retain(|_, at| at.elapsed() < SILENT_AGGREGATOR_PAUSE);
        let nodes = self.nodes.borrow();
        let settings = &self.settings;
        let is_silent = |node: &NodeId| {
            let at = silent.get(node);
            at.is_some_and(|at| at.elapsed() < SILENT_READER_PAUSE)
        };
        let reader = reader_for(
            &settings.node,
            &settings.failure_domain,
            nodes.values(),
            is_silent,
        )?;
        Some((reader.node.clone(), reader.address))
    }

    /// The address of the node that aggregates loads for this one; `None` if this node does.
    pub(crate) fn load_aggregator(&self) -> Option<SocketAddr> {
        let silent = self.silent_readers.borrow();
        let is_silent = |node: &NodeId| {
            let at = silent.get(node);
            at.is_some_and(|at| at.elapsed() < SILENT_AGGREGATOR_PAUSE)
        };
        let (nodes, settings) = (self.nodes.borrow(), &self.settings);
        let (node, domain) = (&settings.node, &settings.failure_domain);
        let aggregator = aggregator_for(node, domain, nodes.values(), is_silent)?;
        Some(aggregator.address)
    }

    async fn query_reader(
        &self,
        reader: SocketAddr,
        after: Revision,
        time_left: Duration,
    ) -> Option<ReaderAnswer> {
        let path = format!("{CHANGES_PATH}{}/{}", after.era(), after.number());
        let request = Request::get(path).body(Full::new(Bytes::new())).ok()?;
        let address = reader.to_string();
        let limit = READER_TIMEOUT.min(time_left);
        let answer = self.call(&address, request, limit).await?;
        let is_ok = answer.status() == StatusCode::OK;
        let read: ReaderAnswer = is_ok.then(|| postcard::from_bytes(answer.body()).ok())??;
        // A reader whose revision is older than `after` has read the store before this node did.
        (read.revision >= after).then_some(read)
    }

    /// Serves the changes after the revision in `path` to another node.
    pub(crate) async fn serve_changes(&self, path: &str) -> Result<Bytes, StatusCode> {
        let after = parse_revision(path).ok_or(StatusCode::BAD_REQUEST)?;
        let received_at = boot_time();
        // Answer only once the store has answered, so that the other node need not ask more often.
        let hold = self
            .change_log
            .fresh_for()
            .unwrap_or(MAX_HOLD)
            .min(MAX_HOLD);
        let _ = timeout(hold, self.change_log.call_ended.notified()).await;
        let read = self
            .change_log
            .after(after, received_at)
            .map_err(|why| match why {
                ReaderError::Behind => StatusCode::SERVICE_UNAVAILABLE,
                ReaderError::Dropped => StatusCode::GONE,
            })?;
        let bytes = postcard::to_stdvec(&read).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
        let traffic = &self.shared.metrics.peer_traffic;
        traffic.record_sent("store_changes", bytes.len());
        Ok(bytes.into())
    }
}

/// Parses the revision in a path.
fn parse_revision(path: &str) -> Option<Revision> {
    let (era, number) = path.strip_prefix(CHANGES_PATH)?.split_once('/')?;
    Some(Revision::in_era(
        StoreEra(era.parse().ok()?),
        number.parse().ok()?,
    ))
}
