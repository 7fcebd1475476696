//! Request digests for tests; requests differ only by their bodies.

#![allow(dead_code, reason = "each test file uses only some of it")]

use nutmegsail_relay::{RequestContent, RequestDigest, RequestTraits};

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

/// The traits of the request with this body, which lists no parts of a prompt.
pub fn traits(body: &str) -> RequestTraits {
    RequestTraits::new(digest(body), &[])
}
