//! Calls to engines: reading reports and sending orders.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use nutmegsail_base::UpstreamId;
use nutmegsail_http_pool::SendOptions;
use nutmegsail_relay::{LoadSource, ModelRef, OrderPermit, Upstream};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::timeout;

use super::confirmation::confirm;
use super::control_state::ControlState;
use super::engine::{EarlyUse, OwnedEngine, PendingLoad};
use super::owners;
use crate::clock::boot_time;
use crate::{EngineState, Order, OrderAnswer, OrderStep, UpstreamCall};

/// Timeout for a report or an order, which are usually answered within milliseconds. An engine may
/// still execute an order after the timeout, which the expected sequence number in the order makes
/// harmless.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// The largest accepted answer body, in bytes.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;

impl ControlState {
    /// Sends a request; returns `None` if no complete answer arrives within `limit`.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Option<Response<Bytes>> {
        self.call_after(address, request, limit, Duration::MAX)
            .await
    }

    /// Like [`Self::call`], on a kept connection only if that was last used within `max_idle`.
    pub(crate) async fn call_after(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_idle: Duration,
    ) -> Option<Response<Bytes>> {
        let exchange = async {
            let options = SendOptions {
                max_idle,
                ..SendOptions::default()
            };
            let sending = self.pool.send_with(address, request, &options);
            let answer = sending.await.ok()?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, BODY_LIMIT_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            Some(Response::from_parts(head, body))
        };
        timeout(limit, exchange).await.ok().flatten()
    }

    /// Reads an engine's report and applies it.
    pub(crate) async fn read_report(&self, engine: &OwnedEngine) -> Option<EngineState> {
        let upstream = self.upstream(&engine.id)?;
        if self.is_backing_off(&engine.id) {
            return None;
        }
        let call = self.dialect.write_report_call(&upstream.name);
        let address = upstream.address.to_string();
        let answer = self.call(&address, to_request(call)?, CALL_TIMEOUT).await;
        self.record_call(&upstream, answer.is_some());
        let answer = answer?;
        let notice = self
            .dialect
            .read_upstream_notice(answer.status(), answer.headers());
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            // The engine's process ended and another one uses its address, with other holdings.
            self.drop_ended_engine(&engine.id);
            return None;
        }
        if answer.status() != StatusCode::OK {
            self.apply_upstream_notice(&engine.id, notice, "engine");
            return None;
        }
        let report = match self.dialect.decode_report(answer.body()) {
            Ok(report) => report,
            Err(error) => {
                log_event!(
                    self.log, Event::OrderRefused,
                    "upstream" => engine.id.to_string(), "problem" => error.to_string()
                );
                return None;
            }
        };
        let is_same_process =
            report.started_ms.is_none() || report.started_ms == upstream.started_ms;
        if !is_same_process {
            // The engine was restarted under the same name, with other holdings.
            let id = Upstream::id_of(&upstream.name, report.started_ms);
            self.apply_upstream_notice(&id, notice, "engine");
            self.drop_ended_engine(&engine.id);
            return None;
        }
        self.apply_upstream_notice(&engine.id, notice, "engine");
        for load in engine.apply_report(&report) {
            self.shared
                .metrics
                .record_load_time(load.accepted_at.elapsed());
            if load.is_transfer() {
                self.update_load_times(&load);
            }
            log_event!(
                self.log, Event::LoadFinished,
                "upstream" => engine.id.to_string(), "model" => load.model.to_string(),
                "took_ms" => load.accepted_at.elapsed().as_millis()
            );
        }
        Some(report)
    }

    /// Drops an engine whose process has ended, before the list of upstreams shows it.
    fn drop_ended_engine(&self, engine: &UpstreamId) {
        owners::disown(self, engine, "another process has its address");
        self.upstreams.borrow_mut().remove(engine);
        self.publish();
    }

    /// Updates the load time estimate with the time from the order to the report that confirmed it.
    fn update_load_times(&self, load: &PendingLoad) {
        let mut times = self.load_times.get();
        times.note(load.accepted_at.elapsed(), self.average_loads_during(load));
        self.load_times.set(times);
    }

    /// Records that requests were sent for an adapter whose load should be finished, or that one
    /// was returned unserved, and updates the load time estimate.
    pub(crate) fn record_early_use(
        &self,
        engine: &OwnedEngine,
        model: &ModelRef,
        early_use: EarlyUse,
    ) {
        let Some(load) = engine.record_early_use(model, early_use) else {
            return;
        };
        let mut times = self.load_times.get();
        if !load.is_transfer() {
            return;
        }
        match early_use {
            EarlyUse::None => {}
            EarlyUse::Sent => times.record_used_on_time(),
            EarlyUse::ReturnedUnserved => times.record_used_too_early(),
        }
        self.load_times.set(times);
    }

    /// The average number of loads from the weight store in progress over all engines during
    /// `load`.
    fn average_loads_during(&self, load: &PendingLoad) -> f64 {
        (load.loads_in_progress + self.loads_in_progress()) / 2.0
    }

    /// When `load` is expected to be finished.
    pub(crate) fn expected_finish(&self, load: &PendingLoad) -> Instant {
        load.accepted_at
            + match load.kind {
                LoadSource::FromStore => self
                    .load_times
                    .get()
                    .expected(self.average_loads_during(load)),
                LoadSource::HostMemory => self.load_times.get().recent(),
            }
    }

    /// The fencing token for orders to `engine`, if this node may send any now.
    ///
    /// The store may have removed the owner key without this node noticing, so an old confirmation
    /// is renewed first.
    pub(crate) async fn order_fencing_token(&self, engine: &OwnedEngine) -> Option<u64> {
        if !self.is_staying(&engine.id)
            || self.is_backing_off(&engine.id)
            || self.is_out_of_reach(&engine.id)
        {
            return None;
        }
        let permit = engine.ownership.borrow().permit(boot_time());
        match permit {
            OrderPermit::Granted { claim } => return claim.fencing_token(),
            OrderPermit::Settling { .. } => return None,
            OrderPermit::Unconfirmed => {}
        }
        confirm(self).await;
        match engine.ownership.borrow().permit(boot_time()) {
            OrderPermit::Granted { claim } => claim.fencing_token(),
            OrderPermit::Unconfirmed | OrderPermit::Settling { .. } => None,
        }
    }

    /// Sends one order to an engine. Returns `None` if it is unknown whether the engine accepted
    /// it.
    pub(crate) async fn order(
        &self,
        engine: &OwnedEngine,
        upstream: &Upstream,
        step: OrderStep,
        fence: u64,
    ) -> Option<OrderAnswer> {
        let expected_seq = engine.order_seq()?;
        self.last_order.set(Some(Instant::now()));
        let order = Order {
            step,
            upstream: &upstream.name,
            expected_seq,
            holder: &self.settings.node,
            fence,
        };
        let request = to_request(self.dialect.write_order(&order))?;
        let address = upstream.address.to_string();
        let answer = self.call(&address, request, CALL_TIMEOUT).await;
        self.record_call(upstream, answer.is_some());
        if let Some(answer) = &answer
            && answer.status() != StatusCode::MISDIRECTED_REQUEST
        {
            let notice = self
                .dialect
                .read_upstream_notice(answer.status(), answer.headers());
            self.apply_upstream_notice(&engine.id, notice, "engine");
        }
        let answer = answer.and_then(|answer| self.dialect.read_order_answer(answer.status()));
        log_event!(
            self.log, Event::LoadOrdered,
            "upstream" => upstream.id.to_string(), "order" => format!("{:?}", order.step),
            "expected" => expected_seq, "fence" => fence, "answer" => format!("{answer:?}")
        );
        if matches!(answer, None | Some(OrderAnswer::Conflict)) {
            engine.forget_order_seq();
        }
        answer
    }
}

pub(super) fn to_request(call: UpstreamCall) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(&*call.path)
        .body(Full::new(call.body))
        .ok()?;
    *request.headers_mut() = call.headers;
    Some(request)
}
