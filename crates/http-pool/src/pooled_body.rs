//! The body of an answer, holding its connection.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::connection::Connection;
use crate::pool::Home;
use crate::{ConnectionId, Framing, SendError};

/// The body of an answer as it arrives. Nothing is read ahead beyond one read of the connection.
///
/// Once the whole body was read, the connection goes back to its pool. Dropping the body earlier
/// closes the connection, which tells the other end that nobody listens any more.
pub struct PooledBody {
    body: Incoming,
    framing: Framing,
    connection_id: ConnectionId,
    connection: Option<Connection>,
    home: Home,
}

impl PooledBody {
    pub(crate) fn new(
        body: Incoming,
        framing: Framing,
        connection: Connection,
        home: Home,
    ) -> Self {
        let mut this = Self {
            body,
            framing,
            connection_id: connection.id,
            connection: Some(connection),
            home,
        };
        if this.body.is_end_stream() {
            this.release();
        }
        this
    }

    /// How the body is delimited.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// The connection that it arrives on.
    ///
    /// ```
    /// # fn example(answer: http::Response<nutmegsail_http_pool::PooledBody>) {
    /// println!("connection {}", answer.body().connection_id());
    /// # }
    /// ```
    pub fn connection_id(&self) -> ConnectionId {
        self.connection_id
    }

    /// Gives the connection back, if it can carry another request.
    fn release(&mut self) {
        if let Some(connection) = self.connection.take()
            && !connection.is_closed()
        {
            self.home.keep(connection);
        }
    }
}

impl std::fmt::Debug for PooledBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PooledBody").finish_non_exhaustive()
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = SendError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, SendError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(_)) => {
                self.connection = None;
                Poll::Ready(Some(Err(SendError::Broken)))
            }
            None => {
                self.release();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
