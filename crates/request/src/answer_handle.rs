//! The name of an answer, by which its caller resumes it.

use std::fmt;
use std::str::FromStr;

use nutmegsail_base::{AdapterRef, Incarnation, RequestId, ResultCode, UpstreamId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const MAX_TEXT_BYTES: usize = 2048;
const CHECK_BYTES: usize = 4;

/// Names an answer: which request, on which adapter, at which run of which engine.
///
/// It names no node, so the caller can resume through any of them. Its text is hexadecimal and fits
/// into a URL. It is not signed: a node must check that `upstream` is one of the adapter's service
/// before it connects there.
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
    /// The adapter that makes it.
    pub adapter: AdapterRef,
    /// The engine that holds it.
    pub upstream: UpstreamId,
    /// The run of the engine's process. Another run never goes on with the answer.
    pub incarnation: Incarnation,
}

/// The text is not the handle of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Error)]
#[error("the text is not the handle of an answer")]
pub struct AnswerHandleError;

impl AnswerHandleError {
    /// The numbered result for the caller.
    pub fn code(self) -> ResultCode {
        ResultCode::UnknownAnswer
    }
}

impl fmt::Display for AnswerHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = postcard::to_stdvec(self).map_err(|_| fmt::Error)?;
        let check = check_of(&bytes);
        bytes.extend_from_slice(&check);
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
        let (fields, check) = bytes
            .split_last_chunk::<CHECK_BYTES>()
            .ok_or(AnswerHandleError)?;
        if check_of(fields) != *check {
            return Err(AnswerHandleError);
        }
        postcard::from_bytes(fields).map_err(|_| AnswerHandleError)
    }
}

/// A check against handles that were cut or mistyped; it is none against forgery.
fn check_of(fields: &[u8]) -> [u8; CHECK_BYTES] {
    let [a, b, c, d, ..] = xxh3_64(fields).to_le_bytes();
    [a, b, c, d]
}
