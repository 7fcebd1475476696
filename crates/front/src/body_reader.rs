//! Reads the body of a request, within its size and time.

use bytes::Bytes;
use hyper::body::Incoming;
use nutmegsail_intake::{BodyError, BodyLimits, ConnectionUse, collect_body};

use crate::request_fault::RequestFault;

/// Reads all of `body`, and records that the request may run.
///
/// A sender that stalls would hold its connection and the bytes so far for ever; it is refused after
/// a gap, or when the whole body takes too long, which also ends one that sends a byte now and then.
/// It is refused earlier if others need the room.
pub(crate) async fn read_body(
    connection: &ConnectionUse,
    limits: &BodyLimits,
    mut body: Incoming,
) -> Result<Bytes, RequestFault> {
    let read = collect_body(&mut body, connection.account(), limits).await;
    let read = read.and_then(|bytes| match connection.begin_answer() {
        true => Ok(bytes),
        false => Err(BodyError::NoRoom),
    });
    read.map_err(|error| RequestFault::new(error.code(), error.to_string()))
}
