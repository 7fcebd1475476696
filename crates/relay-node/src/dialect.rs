//! The interface to a platform's protocol: its headers, paths, keys and formats.

use std::borrow::Cow;
use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use nutmegsail_base::RequestId;
use nutmegsail_relay::{
    AnnouncedLimit, CallerKey, Holdings, ModelRef, PromptPart, RequestedBackoff, RouteTable,
    UpstreamEntry,
};
use thiserror::Error;

/// The information in a caller's headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallMeta {
    /// The caller's id for this attempt.
    pub request_id: Option<HeaderValue>,
    /// The API key, which identifies the caller's team.
    pub key: CallerKey,
    /// The attempt that brought the first event of the stream that this one resumes.
    pub resumes: Option<RequestId>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The requested model.
    pub model: Option<ModelRef>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the prompt and at most in the answer, if stated.
    pub all_tokens: Option<u32>,
    /// The parts of the prompt that the caller listed.
    pub prompt_parts: Vec<PromptPart>,
    /// The ids of all listed parts but the last, which is specific to the request or its session.
    /// Parts whose length cannot be read are among them.
    pub shared_parts: Vec<u64>,
}

/// The information that is sent to an upstream in addition to the caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendMeta<'a> {
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The name of the intended upstream; another one at the address refuses the request.
    pub upstream: &'a str,
    /// The name of the caller's team.
    pub team: Option<&'a str>,
    /// The version of the model that has to be used.
    pub version: Option<u64>,
    /// The priority among the requests in the engine; 0 goes first.
    pub priority: Option<u8>,
}

/// How an upstream's answer treats the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answered it.
    Answered,
    /// The upstream had no capacity and did not run the request.
    Full,
    /// Another upstream is at the address, or it does not hold the model; the request did not run.
    Misdirected,
}

/// The information in the head of an upstream's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerMeta {
    /// The id of the request that is answered.
    pub request_id: Option<HeaderValue>,
    /// How the request was treated.
    pub verdict: Verdict,
    /// Whether the answer has the upstream's signature. One without it was not produced by the
    /// upstream.
    pub is_sealed: bool,
    /// Whether callers take the status as a statement that the request has not run.
    pub has_not_run_status: bool,
    /// The name of the upstream that answered, if stated.
    pub upstream: Option<HeaderValue>,
    /// What the upstream states about itself.
    pub own: UpstreamNotice,
}

/// What an upstream states about itself in the head of any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether it is leaving, that is, about to stop.
    pub is_leaving: bool,
    /// For how long it asks this node to send it nothing more.
    pub backoff: RequestedBackoff,
    /// Its rate limit for all nodes together.
    pub limit: AnnouncedLimit,
    /// Whether it falls over if it has to refuse more than a few requests in a second.
    pub is_brittle: bool,
}

/// The content of an engine's report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// When its process started, in milliseconds of Unix time, if stated.
    pub started_ms: Option<u64>,
    /// The number of orders that it has accepted.
    pub order_seq: u64,
    /// The models and adapters that it holds.
    pub holdings: Holdings,
    /// Adapters that are being loaded into it.
    pub loading: Vec<ModelRef>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
}

/// What an order asks an engine to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Load a model or an adapter, in the given version if there is one.
    Load(ModelRef, Option<u64>),
    /// Unload a model or an adapter.
    Unload(ModelRef),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// What the engine should do.
    pub step: OrderStep,
    /// The name of the intended engine.
    pub upstream: &'a str,
    /// The number of orders that the engine must have accepted so far; otherwise it refuses.
    pub expected_seq: u64,
    /// The name of the node that sends the order.
    pub holder: &'a str,
    /// The fencing number of that node.
    pub fence: u64,
}

/// An HTTP request that a node sends to an upstream on its own behalf.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: Cow<'static, str>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine is carrying out the order.
    Accepted,
    /// The order had already been carried out.
    Done,
    /// Another order is in progress, or the engine has accepted other orders in the meantime.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine does not know the model or adapter, or another upstream is at the address.
    Refused,
}

/// A version of a model or adapter that operators have released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version.
    pub version: u64,
}

/// A header that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the header {header} cannot be read: {problem}")]
pub struct BadHeader {
    /// The name of the header.
    pub header: &'static str,
    /// Why it could not be read.
    pub problem: String,
}

/// A stored value or an upstream's body that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{what} cannot be read: {problem}")]
pub struct DecodeError {
    /// What was being decoded.
    pub what: String,
    /// Why it could not be decoded.
    pub problem: String,
}

/// Translates the names and formats of one platform. It makes no decisions.
pub trait Dialect: Send + Sync + Debug {
    /// Reads a caller's headers, and removes the API key from them.
    ///
    /// # Errors
    ///
    /// [`BadHeader`] for a header that cannot be read.
    fn read_call(&self, headers: &mut HeaderMap) -> Result<CallMeta, BadHeader>;
    /// Sets the headers of a request to an upstream.
    fn write_send(&self, headers: &mut HeaderMap, send: &SendMeta<'_>);
    /// Sets how long the caller of a request still waits.
    fn write_deadline(&self, headers: &mut HeaderMap, remaining: Duration);
    /// Reads the head of an upstream's answer to a request.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;
    /// Reads what an upstream states about itself in the head of any answer.
    fn read_upstream_notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice;
    /// The path of the platform's readiness check.
    fn ready_path(&self) -> &'static str;
    /// Builds a health check of an upstream; another one at the address refuses it.
    fn write_health_call(&self, path: &str, upstream: &str) -> UpstreamCall;
    /// Builds the request for an engine's report; another upstream at the address refuses it.
    fn write_report_call(&self, upstream: &str) -> UpstreamCall;
    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a body that cannot be decoded.
    fn decode_report(&self, body: &[u8]) -> Result<EngineState, DecodeError>;
    /// Builds the request that carries an order.
    fn write_order(&self, order: &Order<'_>) -> UpstreamCall;
    /// Reads the answer to an order; `None` if it does not tell whether the order was accepted.
    fn read_order_answer(&self, status: StatusCode) -> Option<OrderAnswer>;
    /// The prefix of the store keys that operators write.
    fn operators_prefix(&self) -> &'static str;
    /// The store key of the configuration.
    fn configuration_key(&self) -> &'static str;
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a value that cannot be decoded.
    fn decode_configuration(&self, value: &[u8]) -> Result<RouteTable, DecodeError>;
    /// Decodes another key of the operators; `None` if it is not about a version.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a value that cannot be decoded.
    fn decode_version(&self, key: &str, value: &[u8]) -> Result<Option<NamedVersion>, DecodeError>;
    /// The prefix of the store keys of upstreams.
    fn upstreams_prefix(&self) -> &'static str;
    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a value that cannot be decoded.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<UpstreamEntry, DecodeError>;
}
