//! Requests for tests, which differ only by their bodies and the parts of their prompts.

#![allow(dead_code, reason = "each test file uses only some of it")]

use std::time::Instant;

use nutmegsail_relay::{BrokenRequest, RequestContent, RequestDigest, RequestTraits, SuspectTrait};

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
    RequestTraits::new(&"engines".into(), digest(body), [])
}

/// The traits of the request with this body, whose prompt shares these parts with others.
pub fn prompt_traits(body: &str, shared_parts: &[u64]) -> RequestTraits {
    RequestTraits::new(
        &"engines".into(),
        digest(body),
        shared_parts.iter().copied(),
    )
}

/// The whole content as a trait.
pub fn content(body: &str) -> SuspectTrait {
    SuspectTrait::Request(digest(body))
}

/// A request that was sent at `sent` and whose connection broke before an event arrived.
pub fn broken(traits: RequestTraits, sent: Instant) -> BrokenRequest {
    BrokenRequest {
        traits,
        sent,
        since_first_event: None,
    }
}
