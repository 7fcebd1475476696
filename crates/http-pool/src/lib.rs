//! Kept HTTP/1.1 connections, shared by the clients of the platform and of the upstreams.
//!
//! [`Pool::send`] decides which connection a request takes and says, when it fails, whether a byte
//! of the request may have been sent ([`SendError`]). It never sends a request a second time, never
//! makes one wait for a connection, and knows nothing about what the requests mean.
//! Start at [`Pool`].

mod answer_stream;
mod connection;
mod connection_id;
mod framing;
mod head_lines;
mod malformed_answer;
mod pool;
mod pooled_body;
mod send_error;
mod send_options;
mod socket;

pub use connection_id::ConnectionId;
pub use framing::{Framing, ends_with_connection};
pub use malformed_answer::MalformedAnswer;
pub use pool::{Pool, PoolSettings};
pub use pooled_body::PooledBody;
pub use send_error::{OpenError, SendError};
pub use send_options::{AnswerId, SendOptions};
pub use socket::{Remote, prepare_socket, set_reset_on_close};
