//! Request digests for tests; requests differ only by their bodies.

use nutmegsail_relay::{RequestContent, RequestDigest};

/// The digest of the request with this body.
pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        method: "POST",
        host: "spa",
        path: "/notes/1",
        team: None,
        body: body.as_bytes(),
    })
}
