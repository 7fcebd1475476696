//! The handle by which a caller resumes an answer.

use std::fmt;
use std::str::FromStr;

use nutmegsail_base::{AdapterRef, Incarnation, RequestId, ResultCode, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const MAX_TEXT_BYTES: usize = 2048;
const CHECKSUM_BYTES: usize = 4;

/// Identifies an answer by its request, adapter, engine and the incarnation of the engine.
///
/// It contains no node, so the caller can resume the answer through any node. Its text form is
/// hexadecimal and can be used in a URL. It is not signed: before connecting to `upstream`, a node
/// must check that it belongs to the adapter's service.
///
/// ```
/// use nutmegsail_base::{AdapterRef, Incarnation};
/// use nutmegsail_request::AnswerHandle;
/// let handle = AnswerHandle {
///     request: "018f3a".into(),
///     adapter: AdapterRef::new("treatment-summary", 3),
///     upstream: "10.0.0.1:9000".into(),
///     incarnation: Incarnation(7),
/// };
/// assert_eq!(handle.to_string().parse(), Ok(handle));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnswerHandle {
    /// The request that the answer belongs to.
    pub request: RequestId,
    /// The adapter that generates it.
    pub adapter: AdapterRef,
    /// The engine that holds it.
    pub upstream: UpstreamId,
    /// The incarnation of the engine. A later incarnation cannot continue the answer.
    pub incarnation: Incarnation,
}

/// A text is not a valid answer handle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Error)]
#[error("the text is not a valid answer handle")]
pub struct AnswerHandleError;

impl AnswerHandleError {
    /// The result code for the caller.
    pub fn code(self) -> ResultCode {
        ResultCode::UnknownAnswer
    }
}

impl fmt::Display for AnswerHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = postcard::to_stdvec(self).map_err(|_| fmt::Error)?;
        let checksum_bytes = checksum(&bytes);
        bytes.extend_from_slice(&checksum_bytes);
        f.write_str(&hex::encode(bytes))
    }
}

impl FromStr for AnswerHandle {
    type Err = AnswerHandleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(AnswerHandleError);
        }
        let bytes = hex::decode(text).map_err(|_| AnswerHandleError)?;
        let (fields, expected) = bytes
            .split_last_chunk::<CHECKSUM_BYTES>()
            .ok_or(AnswerHandleError)?;
        if checksum(fields) != *expected {
            return Err(AnswerHandleError);
        }
        postcard::from_bytes(fields).map_err(|_| AnswerHandleError)
    }
}

/// Detects truncated and mistyped handles. It gives no protection against forgery.
fn checksum(fields: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let [a, b, c, d, ..] = xxh3_64(fields).to_le_bytes();
    [a, b, c, d]
}
