//! Sends callers' requests to the nodes in turn, as a balancer would.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use nutmegsail_http_pool::{Pool, PoolSettings, PooledBody};
use tokio::time::timeout;

use super::CallerRefusal;

/// How long a caller waits before it tries again when nobody said how long.
pub(crate) const PAUSE: Duration = Duration::from_millis(100);

/// How long a caller waits for an answer to begin before it turns to another node.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a caller waits for the next bytes of an answer.
pub(crate) const GAP_TIMEOUT: Duration = Duration::from_millis(1500);

const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// What came of one request.
pub(crate) enum Reply {
    /// An answer began.
    Answer(Box<Response<PooledBody>>),
    /// The node refused.
    Refused(CallerRefusal),
    /// No answer came: the node is gone, or hangs. The request may have run.
    Lost,
}

/// Sends callers' requests to the nodes in turn.
#[derive(Clone, Debug)]
pub(crate) struct CallersClient {
    pool: Pool,
    nodes: Arc<[String]>,
    turn: Arc<AtomicUsize>,
}

impl CallersClient {
    pub(crate) fn new(nodes: Vec<String>) -> Self {
        Self {
            pool: Pool::new(PoolSettings::default()),
            nodes: nodes.into(),
            turn: Arc::default(),
        }
    }

    /// A client for one request and its repeats, which go from node to node beginning at the next one.
    pub(crate) fn for_request(&self) -> Self {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        Self {
            turn: Arc::new(turn.into()),
            ..self.clone()
        }
    }

    /// Sends `request` once, to the next node.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Reply {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let node = &self.nodes[turn % self.nodes.len()];
        let answer = match timeout(HEAD_TIMEOUT, self.pool.send(node, request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => return Reply::Lost,
        };
        if answer.status().is_success() {
            return Reply::Answer(Box::new(answer));
        }
        match read_whole(answer.into_body()).await {
            Some(body) => Reply::Refused(CallerRefusal::read(&body)),
            None => Reply::Lost,
        }
    }
}

/// Reads a body to its end; `None` if it broke off.
pub(crate) async fn read_whole(body: PooledBody) -> Option<Bytes> {
    let body = Limited::new(body, BODY_LIMIT_BYTES);
    let read = timeout(GAP_TIMEOUT, body.collect()).await;
    read.ok()?.ok().map(http_body_util::Collected::to_bytes)
}
