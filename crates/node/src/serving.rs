//! The node as the front sees it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use nutmegsail_base::{AdapterRef, Class, Clock, ResultCode, ServiceName};
use nutmegsail_config::{AdapterLookup, InForce};
use nutmegsail_front::{Answer, Generate, Handler, OperatorsQuery, PlainAnswer, PlainCall};
use nutmegsail_request::{AnswerHandle, Refusal, Request};
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use xtra::Address;

use crate::dispatcher::{Dispatcher, Explain};
use crate::generation::Generations;
use crate::measures::Measures;
use crate::peers::{AskStatus, Peers};
use crate::plain_calls::PlainCalls;
use crate::request_trace::RequestTrace;

/// Answers what the front has read and checked.
pub(crate) struct Serving {
    /// The text in force.
    pub(crate) in_force: Arc<ArcSwapOption<InForce>>,
    /// Whether the node is shutting down.
    pub(crate) is_leaving: Arc<AtomicBool>,
    /// Asks the node's process to shut down.
    pub(crate) drain: CancellationToken,
    /// Generations.
    pub(crate) generations: Generations,
    /// Calls to plain services.
    pub(crate) plain_calls: PlainCalls,
    /// The router's actor.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// Membership.
    pub(crate) peers: Address<Peers>,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// Where measurements and spans go.
    pub(crate) measures: Measures,
}

#[async_trait]
impl Handler for Serving {
    fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    fn is_ready(&self) -> bool {
        self.in_force.load().is_some() && !self.is_leaving.load(Ordering::Acquire)
    }

    async fn generate(&self, mut request: Generate) -> Result<Answer, Refusal> {
        let parent = request.traceparent.as_deref();
        let mut trace = self.trace(&request.service, request.class, parent);
        request.traceparent = trace.traceparent();
        match self.generations.generate(request).await {
            Ok(answer) => Ok(trace.follow(answer)),
            Err(refusal) => {
                trace.ended(Some(refusal.code));
                Err(refusal)
            }
        }
    }

    async fn resume(&self, handle: AnswerHandle, after: u64) -> Result<Answer, Refusal> {
        if !self.is_engine_of(&handle) {
            // The handle is not signed: without this check anybody could have the node connect
            // anywhere.
            let request = Request::accept(handle.request);
            let detail = "the handle's engine does not serve its adapter";
            return Err(Refusal::not_run(
                request.not_run(),
                ResultCode::UnknownAnswer,
                detail,
            ));
        }
        self.generations.resume(handle, after).await
    }

    async fn call(&self, mut request: PlainCall) -> Result<PlainAnswer, Refusal> {
        let parent = request.traceparent.as_deref();
        let mut trace = self.trace(&request.service, request.class, parent);
        request.traceparent = trace.traceparent();
        match self.plain_calls.call(request).await {
            Ok(answer) => Ok(trace.follow_plain(answer)),
            Err(refusal) => {
                trace.ended(Some(refusal.code));
                Err(refusal)
            }
        }
    }

    fn ticket(&self) -> Option<String> {
        let is_leaving = self.is_leaving.load(Ordering::Acquire);
        (!is_leaving).then(|| self.plain_calls.issue_ticket().to_string())
    }

    async fn operators(&self, query: OperatorsQuery) -> Result<Bytes, Refusal> {
        match query {
            OperatorsQuery::Status => {
                let status = self.peers.send(AskStatus).await;
                status
                    .map_err(|_| going_down())
                    .and_then(|status| json(&status))
            }
            OperatorsQuery::Explain {
                service,
                adapter,
                class,
                call,
            } => self.explain(service, adapter, call, class).await,
            OperatorsQuery::Drain => {
                self.drain.cancel();
                json(&serde_json::json!({ "draining": true }))
            }
        }
    }
}

impl Serving {
    fn trace(&self, service: &ServiceName, class: Class, parent: Option<&str>) -> RequestTrace {
        RequestTrace::begin(&self.measures, &self.clock, service, class, parent)
    }

    fn is_engine_of(&self, handle: &AnswerHandle) -> bool {
        let text = self.in_force.load();
        let Some(text) = text.as_ref() else {
            return false;
        };
        let AdapterLookup::Found(service) = text.deployment.find_adapter(&handle.adapter) else {
            return false;
        };
        service
            .upstreams
            .iter()
            .any(|entry| entry.upstream == handle.upstream)
    }

    async fn explain(
        &self,
        service: Option<String>,
        adapter: Option<String>,
        call: Option<String>,
        class: Option<String>,
    ) -> Result<Bytes, Refusal> {
        let text = self.in_force.load_full().ok_or_else(|| {
            operators_fault(
                ResultCode::NoTextInForce,
                "no operators' text is in force yet",
            )
        })?;
        let adapter = adapter
            .map(|adapter| adapter.parse::<AdapterRef>())
            .transpose();
        let adapter = adapter
            .map_err(|error| operators_fault(ResultCode::BadModelName, &error.to_string()))?;
        let service = match (service, &adapter) {
            (Some(service), _) => ServiceName::from(service),
            (None, Some(adapter)) => match text.deployment.find_adapter(adapter) {
                AdapterLookup::Found(service) => service.name.clone(),
                AdapterLookup::UnknownVersion | AdapterLookup::UnknownAdapter => {
                    let detail = format!("the text in force does not list {adapter}");
                    return Err(operators_fault(ResultCode::UnknownAdapter, &detail));
                }
            },
            (None, None) => {
                let detail = "name a service or an adapter";
                return Err(operators_fault(ResultCode::UnknownService, detail));
            }
        };
        let Some(found) = text.deployment.services.get(&service) else {
            let detail = format!("the text in force has no service `{service}`");
            return Err(operators_fault(ResultCode::UnknownService, &detail));
        };
        let named = call.and_then(|call| found.calls.iter().find(|one| one.name.as_str() == call));
        let derived = named.map_or(found.class, |call| call.class);
        let class = match class.as_deref() {
            Some("urgent") => Class::Urgent,
            Some("routine") => Class::Routine,
            _ => derived,
        };
        let explanation = self
            .dispatcher
            .send(Explain {
                service,
                adapter,
                class,
            })
            .await;
        explanation
            .map_err(|_| going_down())
            .and_then(|explanation| json(&explanation))
    }
}

fn json<T: Serialize>(value: &T) -> Result<Bytes, Refusal> {
    let bytes = serde_json::to_vec(value);
    bytes
        .map(Bytes::from)
        .map_err(|error| operators_fault(ResultCode::Internal, &error.to_string()))
}

fn going_down() -> Refusal {
    operators_fault(ResultCode::NodeLeaving, "the node is going down")
}

/// An operator's question runs nothing.
fn operators_fault(code: ResultCode, detail: &str) -> Refusal {
    let request = Request::accept("operators".into());
    Refusal::not_run(request.not_run(), code, detail)
}
