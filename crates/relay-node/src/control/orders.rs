//! Calls to engines: reports and orders.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use nutmegsail_relay::{OrderPermit, Upstream};
use nutmegsail_store::KeyValueError;
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::timeout;

use super::engine::OwnedEngine;
use super::knowledge::Knowledge;
use super::owners;
use crate::clock::boot_time;
use crate::{EngineState, Order, OrderAnswer, OrderStep};

/// How long a call to an engine or another node may take. Reports and orders are answered in some
/// milliseconds; an order without an answer may be carried out later, which its expected count of
/// orders makes harmless.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest body of such an answer, in bytes.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;

impl Knowledge {
    /// Makes one call; nothing if no whole answer came in `limit`.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let exchange = async {
            let answer = self.pool.send(address, request).await.ok()?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), BODY_LIMIT_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            Some((status, body))
        };
        timeout(limit, exchange).await.ok().flatten()
    }

    /// Reads an engine's report and takes it in.
    pub(crate) async fn read_report(&self, engine: &OwnedEngine) -> Option<EngineState> {
        let upstream = self.upstream(&engine.id)?;
        let path = self.dialect.report_path();
        let request = Request::get(path).body(Full::default()).ok()?;
        let address = upstream.address.to_string();
        let (status, body) = self.call(&address, request, CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return None;
        }
        let report = match self.dialect.decode_report(&body) {
            Ok(report) => report,
            Err(error) => {
                log_event!(
                    self.log, Event::OrderRefused,
                    "upstream" => engine.id.to_string(), "problem" => error.to_string()
                );
                return None;
            }
        };
        for load in engine.reported(&report) {
            log_event!(
                self.log, Event::LoadFinished,
                "upstream" => engine.id.to_string(), "model" => load.model.to_string(),
                "took_ms" => load.since.elapsed().as_millis()
            );
        }
        if let Some(holdings) = engine.holdings() {
            self.note_holdings(&engine.id, &holdings);
        }
        Some(report)
    }

    /// The fencing number with which `engine` may be given orders now.
    ///
    /// The store can take the key away unseen, so what was confirmed a while ago is read again.
    pub(crate) async fn permit(&self, engine: &OwnedEngine) -> Option<u64> {
        let permit = engine.ownership.borrow().permit(boot_time());
        match permit {
            OrderPermit::Granted { fence } => return Some(fence),
            OrderPermit::Settling { .. } => return None,
            OrderPermit::Unconfirmed => {}
        }
        let asked_at = boot_time();
        let fence = engine.ownership.borrow().fence();
        match self.store.get(&owners::owner_key(&engine.id)).await {
            Ok(Some(item)) if item.revision.0 == fence => {
                engine.ownership.borrow_mut().confirm(asked_at);
            }
            Ok(_) => {
                owners::lose(self, &engine.id, "the key is another's or gone");
                return None;
            }
            Err(KeyValueError::Refused | KeyValueError::Unavailable) => return None,
            Err(_) => return None,
        }
        match engine.ownership.borrow().permit(boot_time()) {
            OrderPermit::Granted { fence } => Some(fence),
            OrderPermit::Unconfirmed | OrderPermit::Settling { .. } => None,
        }
    }

    /// Gives an engine one order. Nothing if it may or may not have been accepted.
    pub(crate) async fn order(
        &self,
        engine: &OwnedEngine,
        upstream: &Upstream,
        step: OrderStep,
        fence: u64,
    ) -> Option<OrderAnswer> {
        let expected_seq = engine.holdings()?.order_seq;
        let order = Order {
            step,
            upstream: &upstream.id,
            expected_seq,
            holder: &self.settings.node,
            fence,
        };
        let written = self.dialect.write_order(&order);
        let request = post(written.path, written.headers, written.body)?;
        let address = upstream.address.to_string();
        let answer = self.call(&address, request, CALL_TIMEOUT).await;
        let answer = answer.and_then(|(status, _)| self.dialect.read_order_answer(status));
        log_event!(
            self.log, Event::LoadOrdered,
            "upstream" => upstream.id.to_string(), "order" => format!("{:?}", order.step),
            "expected" => expected_seq, "fence" => fence, "answer" => format!("{answer:?}")
        );
        if matches!(answer, None | Some(OrderAnswer::Conflict)) {
            engine.doubt();
        }
        answer
    }
}

/// A call with a body.
pub(crate) fn post(path: &str, headers: HeaderMap, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Full::new(body))
        .ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
