//! A once-only call on its way to the node that its ticket names, and that node's answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use nutmegsail_base::{CallName, CallerId, Class, RequestId, ResultCode, RunState, ServiceName};
use nutmegsail_front::PlainCall;
use nutmegsail_idempotency::{ForwardResult, RecordedAnswer};
use nutmegsail_wire::{MAX_MESSAGE_BYTES, Payload};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// What of a message is left for its body, beside the envelope and the names.
const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - 4096;

/// A header on its way; its value may be any bytes.
#[derive(Serialize, Deserialize)]
struct ForwardedHeader {
    name: String,
    value: Vec<u8>,
}

/// A once-only call on its way to the node that its ticket names.
#[derive(Serialize, Deserialize)]
pub(crate) struct ForwardedCall {
    caller: CallerId,
    service: ServiceName,
    call: Option<CallName>,
    class: Class,
    target_ms: u64,
    key: String,
    method: String,
    path: String,
    headers: Vec<ForwardedHeader>,
    body: Bytes,
}

impl ForwardedCall {
    /// The call's bytes, or `None` if no message holds them.
    pub(crate) fn payload(call: &PlainCall) -> Option<Payload> {
        let headers = call.headers.iter().map(|(name, value)| ForwardedHeader {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        });
        let forwarded = Self {
            caller: call.caller.clone(),
            service: call.service.clone(),
            call: call.call.clone(),
            class: call.class,
            target_ms: millis(call.target),
            key: call.idempotency_key.clone().unwrap_or_default(),
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: headers.collect(),
            body: call.body.clone(),
        };
        let bytes = postcard::to_stdvec(&forwarded).ok()?;
        (bytes.len() <= MAX_BODY_BYTES).then(|| bytes.into())
    }

    /// Reads what [`ForwardedCall::payload`] wrote.
    pub(crate) fn from_payload(payload: &Payload) -> Option<Self> {
        postcard::from_bytes(&payload.0).ok()
    }

    /// The call as one of this node's own.
    ///
    /// It gets a request id of its own: a message that comes twice must not answer for the call
    /// that the first one started.
    pub(crate) fn into_call(
        self,
        request: &RequestId,
        deadline: Duration,
        traceparent: Option<String>,
    ) -> Option<PlainCall> {
        let mut headers = HeaderMap::new();
        for header in self.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
        }
        Some(PlainCall {
            request: format!("{request}-{}", Uuid::now_v7().simple()).into(),
            caller: self.caller,
            service: self.service,
            call: self.call,
            class: self.class,
            deadline,
            target: Duration::from_millis(self.target_ms),
            once_only: true,
            idempotent: false,
            idempotency_key: Some(self.key),
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            headers,
            body: self.body,
            traceparent,
        })
    }
}

/// What the node that a ticket names says of a forwarded call.
#[derive(Serialize, Deserialize)]
pub(crate) enum ForwardReply {
    /// The upstream's answer, now or before.
    Answered(RecordedAnswer),
    /// A refusal.
    Refused {
        /// The number of its code.
        code: u16,
        /// Whether the call ran.
        run_state: RunState,
    },
}

impl ForwardReply {
    /// The reply's bytes.
    pub(crate) fn payload(self) -> Payload {
        let reply = match self {
            Self::Answered(answer) => Self::Answered(answer.within(MAX_BODY_BYTES)),
            refused @ Self::Refused { .. } => refused,
        };
        // Bytes that cannot be written are read as "no answer", which is never called "not run".
        Payload(postcard::to_stdvec(&reply).unwrap_or_default().into())
    }

    /// What a payload says. One that cannot be read is as good as none.
    pub(crate) fn result(payload: &Payload) -> ForwardResult {
        match postcard::from_bytes(&payload.0) {
            Ok(Self::Answered(answer)) => ForwardResult::Answered(answer),
            Ok(Self::Refused { code, run_state }) => ForwardResult::Refused {
                code: code_of(code),
                run_state,
            },
            Err(_) => ForwardResult::NoAnswer,
        }
    }
}

/// A node of a newer release may name a code that this one lacks.
fn code_of(number: u16) -> ResultCode {
    let mut known = ResultCode::ALL.iter();
    let found = known.find(|code| code.number() == number);
    found.copied().unwrap_or(ResultCode::Internal)
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
