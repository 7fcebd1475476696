//! Names a connection in logs.

use derive_more::Display;

/// A connection of a [`Pool`](crate::Pool), unique within it; see
/// [`PooledBody::connection_id`](crate::PooledBody::connection_id).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub(crate) u64);
