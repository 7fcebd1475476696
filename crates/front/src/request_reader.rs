//! Reads and checks one request of a caller.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request as HttpRequest;
use hyper::body::Incoming;
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_config::{AdapterLookup, InForce, Service, ServiceKind};
use nutmegsail_intake::{BodyLimits, ConnectionUse};
use tokio::time::Instant;

use crate::body_reader::read_body;
use crate::call_choice::Terms;
use crate::generation_body::GenerationBody;
use crate::request_fault::RequestFault;
use crate::request_head::{RequestHead, request_headers};
use crate::service_path::ServicePath;
use crate::{FrontSettings, Generate, Handler, PlainCall};

/// Reads and checks one request against the text in force. Nothing is done for a request that has
/// a fault.
pub(crate) struct RequestReader<'a> {
    pub handler: &'a dyn Handler,
    pub settings: &'a FrontSettings,
    pub id: &'a RequestId,
    pub peer: IpAddr,
    pub connection: &'a ConnectionUse,
    /// When the request's head had come.
    pub began: Instant,
}

impl RequestReader<'_> {
    /// Reads a generation.
    pub async fn generation(
        self,
        path: &'static str,
        request: HttpRequest<Incoming>,
    ) -> Result<Generate, RequestFault> {
        let head = RequestHead::read(request.headers(), self.peer)?;
        let in_force = self.in_force()?;
        let body = self.read_body(&in_force, request).await?;
        let fields = GenerationBody::read(&body)?;
        let adapter = fields.adapter;
        let service = match in_force.deployment.find_adapter(&adapter) {
            AdapterLookup::Found(service) => service,
            AdapterLookup::UnknownVersion => {
                return Err(unknown(ResultCode::UnknownVersion, &adapter.to_string()));
            }
            AdapterLookup::UnknownAdapter => {
                return Err(unknown(ResultCode::UnknownAdapter, &adapter.to_string()));
            }
        };
        let terms = Terms::of_generation(&in_force.deployment, service, &head)?;
        let deadline = time_left(&terms, self.began)?;
        Ok(Generate {
            request: self.id.clone(),
            caller: head.caller,
            service: service.name.clone(),
            call: terms.call,
            adapter,
            class: terms.class,
            deadline,
            target: terms.target,
            body,
            path,
            is_stream: fields.is_stream,
            prefix: fields.prefix,
            traceparent: head.traceparent,
        })
    }

    /// Reads a call to the plain service `service`, with `path` below it.
    pub async fn plain_call(
        self,
        service: &str,
        path: &str,
        request: HttpRequest<Incoming>,
    ) -> Result<PlainCall, RequestFault> {
        let head = RequestHead::read(request.headers(), self.peer)?;
        let in_force = self.in_force()?;
        let service = find_plain(&in_force, service)?;
        let method = request.method().clone();
        let below = ServicePath::read(path)?;
        let terms = Terms::of_plain(&in_force.deployment, service, &method, &below, &head)?;
        if terms.once_only && head.idempotency_key.is_none() {
            let detail = "send a new UUID version 7 with each new call, the same with its repeats";
            return Err(RequestFault::new(ResultCode::KeyMissing, detail));
        }
        let query = request.uri().query();
        let path = query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}"));
        let headers = request_headers(request.headers());
        let body = self.read_body(&in_force, request).await?;
        let deadline = time_left(&terms, self.began)?;
        Ok(PlainCall {
            request: self.id.clone(),
            caller: head.caller,
            service: service.name.clone(),
            call: terms.call,
            class: terms.class,
            deadline,
            target: terms.target,
            once_only: terms.once_only,
            idempotent: terms.idempotent,
            idempotency_key: head.idempotency_key,
            method,
            path,
            headers,
            body,
            traceparent: head.traceparent,
        })
    }

    fn in_force(&self) -> Result<Arc<InForce>, RequestFault> {
        let none = || RequestFault::new(ResultCode::NoTextInForce, "the node has just started");
        self.handler.in_force().ok_or_else(none)
    }

    async fn read_body(
        &self,
        in_force: &InForce,
        request: HttpRequest<Incoming>,
    ) -> Result<Bytes, RequestFault> {
        let limit = in_force.deployment.limits.body_bytes;
        let limits = BodyLimits {
            bytes: limit.min(self.settings.max_body_bytes),
            gap: self.settings.body_timeout(),
            whole: self.settings.whole_body_timeout(),
        };
        read_body(self.connection, &limits, request.into_body()).await
    }
}

fn find_plain<'a>(in_force: &'a InForce, name: &str) -> Result<&'a Service, RequestFault> {
    let found = in_force.deployment.services.get(name);
    let service = found.ok_or_else(|| unknown(ResultCode::UnknownService, name))?;
    if service.kind != ServiceKind::Plain {
        let detail = format!("`{name}` is served by engines; use /v1/completions");
        return Err(RequestFault::new(ResultCode::UnknownService, detail));
    }
    Ok(service)
}

fn unknown(code: ResultCode, name: &str) -> RequestFault {
    let shown: String = name.chars().take(200).collect();
    RequestFault::new(code, format!("`{shown}`"))
}

fn time_left(terms: &Terms, began: Instant) -> Result<Duration, RequestFault> {
    let left = terms.deadline.saturating_sub(began.elapsed());
    if left.is_zero() {
        let detail = "the deadline passed before the request was complete";
        return Err(RequestFault::new(ResultCode::DeadlineUnreachable, detail));
    }
    Ok(left)
}
