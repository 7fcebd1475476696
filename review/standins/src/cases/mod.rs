//! The cases.

mod bodies;
mod owners;
mod removed;
mod silence;
mod storm;

use crate::Outcome;
use crate::record::Record;

pub fn play(case: &str, record: &Record, has_trouble: bool) -> Outcome {
    match case {
        "bodies" => bodies::play(record, has_trouble),
        "owners" => owners::play(record, has_trouble),
        "storm" => storm::play(record, has_trouble),
        "removed" => removed::play(record, has_trouble),
        "silence" => silence::play(record, has_trouble),
        _ => Outcome::CouldNotRun(format!("there is no case {case}")),
    }
}

pub const ZONES: [&str; 3] = ["negril-hall", "mobay-hall", "ochi-hall"];

/// A configuration of one host with a plain service and model servers.
pub fn configuration() -> String {
    let route =
        |name: &str, kind: &str, service: &str, timeout_ms: u32, aim_ms: u32, more: &str| {
            format!(
                "{{\"name\":\"r-{name}\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":{aim_ms},\
             \"service\":\"{service}\"{more}}}"
            )
        };
    let routes = [
        route(
            "summary",
            "stream",
            "spa-scribe",
            15_000,
            1_000,
            ",\"priority\":1,\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250",
        ),
        route(
            "note",
            "stream",
            "spa-scribe",
            15_000,
            800,
            ",\"priority\":2,\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250",
        ),
        route(
            "contract",
            "stream",
            "spa-scribe",
            10_000,
            600,
            ",\"priority\":0,\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250",
        ),
        route(
            "confirm",
            "non_idempotent",
            "spa-desk",
            800,
            150,
            ",\"priority\":2,\"maxAttempts\":1",
        ),
        route(
            "lookup",
            "idempotent",
            "spa-desk",
            800,
            150,
            ",\"priority\":2,\"maxAttempts\":2",
        ),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"spa-scribe\",\"healthPath\":\
         \"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCapacity\":131025,\"models\":[{{\"name\":\"base\",\"weightsMb\":42700.0,\"loadS\":0.6,\
         \"adapters\":3000,\"adapterMb\":66.0}}],\"weightsMb\":45000.0,\"adapterSlots\":21,\
         \"loadsPerS\":3.3}}}},{{\"name\":\"spa-desk\",\"healthPath\":\"/healthz\",\"maxConns\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// The text of a client's request on a connection of its own.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    more: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegsail-Request-Id: {id}\r\n\
         X-Nutmegsail-Request-Deadline: {deadline_ms}\r\nContent-Length: {}\r\n\
         Connection: close\r\n{more}\r\n{body}",
        body.len()
    )
}

/// The headers of a request to a model server.
pub fn model(adapter: &str, tokens: u32, out: u32) -> String {
    format!("X-Nutmegsail-Model: base/{adapter}\r\nX-Nutmegsail-Token-Usage: {tokens},{out}\r\n")
}
