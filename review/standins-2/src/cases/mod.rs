//! The cases. Each returns what broke the rule, or why it could not run.

pub mod crash_late;
pub mod crash_memory;
pub mod version_queue;

pub type Outcome = Result<Option<String>, String>;

/// A configuration with a plain service and a service of model servers.
pub fn configuration(version: u64, slots: usize, adapter_slots: usize) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!("{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",{more}}}")
    };
    let routes = [
        route("lookup", "/look/", "idempotent", "desk", "\"timeoutMs\":1500,\"sloMs\":150,\"maxAttempts\":2"),
        route("confirm", "/book/", "non_idempotent", "desk", "\"timeoutMs\":1500,\"sloMs\":150,\"maxAttempts\":1"),
        route(
            "menu",
            "/menu/",
            "stream",
            "scribe",
            "\"timeoutMs\":15000,\"sloMs\":2000,\"gapAimMs\":300,\"maxAttempts\":1,\"sticky\":true,\"resumable\":false",
        ),
    ];
    let engine = format!(
        "{{\"slots\":{slots},\"kvCapacity\":100000,\"models\":[{{\"name\":\"base\",\"weightsMb\":42700.0,\"loadS\":0.6,\"adapters\":3000,\"adapterMb\":66.0}}],\"weightsMb\":45000.0,\"adapterSlots\":{adapter_slots},\"loadsPerS\":3.3}}"
    );
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"scribe\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A client's request to the host `desk.example`.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegsail-Request-Id: {id}\r\nX-Nutmegsail-Request-Deadline: {deadline_ms}\r\n{more}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
