//! What a platform's adapter translates.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use nutmegsail_relay::{
    CallerKey, Holdings, LimitSaid, ModelRef, PromptPart, RestSaid, RouteTable, UpstreamEntry,
};
use thiserror::Error;

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallMeta {
    /// The id of this attempt of the caller.
    pub request_id: Option<HeaderValue>,
    /// The key that tells the caller's team.
    pub key: CallerKey,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model that is asked for.
    pub model: Option<ModelRef>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt and, at most, of the answer, if they are stated.
    pub all_tokens: Option<u32>,
    /// The parts of the prompt, as far as they are told.
    pub prompt_parts: Vec<PromptPart>,
}

/// What is told to an upstream beside what the caller sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SendMeta<'a> {
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The name of the upstream that is meant; another one at the address refuses.
    pub upstream: &'a str,
    /// The name of the caller's team.
    pub team: Option<&'a str>,
    /// The version of the model that is meant.
    pub version: Option<u64>,
    /// The rank among requests in the engine; 0 is first.
    pub priority: Option<u8>,
}

/// What an upstream's answer says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Answered,
    /// It has no room; the request did not run.
    Full,
    /// It is another upstream, or does not hold the model; the request did not run.
    Misdirected,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerMeta {
    /// The id of the request that it answers.
    pub request_id: Option<HeaderValue>,
    /// What it says about the request.
    pub verdict: Verdict,
    /// Whether it carries the upstream's signature, without which it is not the upstream's own.
    pub is_sealed: bool,
    /// The name of the upstream that answered, if it says so.
    pub upstream: Option<HeaderValue>,
    /// What the upstream says of itself.
    pub own: OwnWord,
}

/// What an upstream says of itself in the head of any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnWord {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// For how long it wants nothing more from this node.
    pub rest: RestSaid,
    /// The rate that it limits all nodes to.
    pub limit: LimitSaid,
}

/// What an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// When its process started, in milliseconds of Unix time, if it says so.
    pub started_ms: Option<u64>,
    /// Orders that it has accepted.
    pub order_seq: u64,
    /// What it holds.
    pub holdings: Holdings,
    /// Adapters on their way to it.
    pub coming: Vec<ModelRef>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Bring a model or an adapter, in a version if one is given.
    Load(ModelRef, Option<u64>),
    /// Drop it.
    Unload(ModelRef),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// What to do.
    pub step: OrderStep,
    /// The name of the engine that is meant.
    pub upstream: &'a str,
    /// Orders that it has accepted; it refuses if that differs.
    pub expected_seq: u64,
    /// Who orders.
    pub holder: &'a str,
    /// The holder's fencing number.
    pub fence: u64,
}

/// A call to an engine as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: &'static str,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What an engine said to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is carrying the order out.
    Accepted,
    /// The order is carried out already.
    Done,
    /// Another order is under way, or the engine has accepted others meanwhile.
    Conflict,
    /// It has seen a higher fencing number.
    Fenced,
    /// It does not know what is meant, or another upstream is at the address.
    Refused,
}

/// A version of a model or adapter that was named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// What it is a version of.
    pub model: ModelRef,
    /// The version.
    pub version: u64,
}

/// A header that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the header {header} cannot be read: {problem}")]
pub struct BadHeader {
    /// The header.
    pub header: &'static str,
    /// What is wrong.
    pub problem: String,
}

/// A value of the store or a body of an upstream that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{what} cannot be read: {problem}")]
pub struct DecodeError {
    /// What was read.
    pub what: String,
    /// What is wrong.
    pub problem: String,
}

/// Names and formats of one platform. It translates and decides nothing.
pub trait Dialect: Send + Sync + Debug {
    /// Reads a caller's headers, and takes the key out of them.
    ///
    /// # Errors
    ///
    /// [`BadHeader`] for a value that cannot be read.
    fn read_call(&self, headers: &mut HeaderMap) -> Result<CallMeta, BadHeader>;
    /// Sets the headers of a request to an upstream.
    fn write_send(&self, headers: &mut HeaderMap, send: &SendMeta<'_>);
    /// Reads the head of an upstream's answer to a request.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;
    /// Reads what an upstream says of itself in the head of any answer.
    fn read_own_word(&self, status: StatusCode, headers: &HeaderMap) -> OwnWord;
    /// The path at which the platform asks whether the node takes callers.
    fn ready_path(&self) -> &'static str;
    /// Asks an engine for its report; another upstream at its address refuses.
    fn write_report_call(&self, upstream: &str) -> EngineCall;
    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a body that cannot be read, as for all that follow.
    fn decode_report(&self, body: &[u8]) -> Result<EngineState, DecodeError>;
    /// Writes an order.
    fn write_order(&self, order: &Order<'_>) -> EngineCall;
    /// Reads the answer to an order; nothing if it says neither yes nor no.
    fn read_order_answer(&self, status: StatusCode) -> Option<OrderAnswer>;
    /// The prefix of the keys that operators write.
    fn operators_prefix(&self) -> &'static str;
    /// The key of the configuration.
    fn configuration_key(&self) -> &'static str;
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a value that cannot be read.
    fn decode_configuration(&self, value: &[u8]) -> Result<RouteTable, DecodeError>;
    /// Reads another of the operators' keys; nothing if it names no version.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a value that cannot be read.
    fn decode_version(&self, key: &str, value: &[u8]) -> Result<Option<NamedVersion>, DecodeError>;
    /// The prefix of the upstreams' keys.
    fn upstreams_prefix(&self) -> &'static str;
    /// Reads an upstream's entry.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a value that cannot be read.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<UpstreamEntry, DecodeError>;
}
