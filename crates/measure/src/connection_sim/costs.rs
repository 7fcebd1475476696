//! What requests cost a node, and when callers give up.

/// Processor time for each accepted connection, request and answer: together what a plain request on a connection of its own
/// costs, as `relay_cost` measures it.
pub(super) const ACCEPT_US: u64 = 20;
pub(super) const REQUEST_US: u64 = 60;
pub(super) const ANSWER_US: u64 = 20;

/// Processor time for an event of a stream, and for each more that is passed on with it.
pub(super) const EVENT_NS: u64 = 11_000;
pub(super) const MORE_EVENT_NS: u64 = 3_300;

/// Processor time for a refusal, for closing a connection, and for forwarding a request beyond that of sending it.
pub(super) const REFUSAL_US: u64 = 40;
pub(super) const CLOSE_US: u64 = 5;
pub(super) const FORWARD_US: u64 = 40;

/// How many connections the kernel queues, and how many the accept loop takes in one turn.
pub(super) const KERNEL_QUEUE: usize = 1_024;
pub(super) const ACCEPTED_PER_TURN: usize = 128;

/// How long accepting pauses without descriptors.
pub(super) const ACCEPT_PAUSE_US: u64 = 20_000;

/// Descriptors of a node, and those that it needs for other than callers.
pub(super) const DESCRIPTORS: usize = 4_100;
pub(super) const OWN_DESCRIPTORS: usize = 60;

/// How long an upstream takes for a plain answer, and for the first event of a stream.
pub(super) const PLAIN_WORK_US: u64 = 30_000;
pub(super) const FIRST_EVENT_US: u64 = 200_000;

/// How long a caller waits for a connection, for a plain answer, and for the next event of a stream.
pub(super) const CONNECT_PATIENCE_US: u64 = 1_000_000;
pub(super) const PLAIN_PATIENCE_US: u64 = 1_000_000;
pub(super) const STREAM_PATIENCE_US: u64 = 3_200_000;
