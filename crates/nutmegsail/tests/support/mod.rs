//! Runs commands and stands in for nodes.

#![allow(dead_code, reason = "not every test file uses all of it")]

use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use nutmegsail::{ExitCode, Output};
use nutmegsail_fakes::{HttpReply, HttpServer, loopback, serve};
use tempfile::TempDir;

/// A small sound text.
pub const TEXT: &str = r#"
[deployment]
name = "small"
failure_domains = ["hall", "cove"]

[services.scribe]
kind = "engine"
base_model = "base"
checks_fencing = true
class = "routine"
deadline_ms = 30_000
target_ms = 500
adapters = [{ names = "note-{01..20}", versions = [1, 2] }]
upstreams.hall = ["127.0.0.1:9101"]
upstreams.cove = ["127.0.0.1:9111"]

[services.desk]
kind = "plain"
class = "urgent"
deadline_ms = 3_000
target_ms = 200
depends_on = ["scribe"]
upstreams.hall = ["127.0.0.1:9201"]
upstreams.cove = ["127.0.0.1:9211"]
"#;

/// What a command printed and exited with.
pub struct Ran {
    pub exit_code: ExitCode,
    pub results: String,
    pub messages: String,
}

/// Runs a command line inside this process.
pub async fn run(args: &[&str]) -> Ran {
    let (mut results, mut messages) = (Vec::new(), Vec::new());
    let mut output = Output::new(&mut results, &mut messages);
    let args = args.iter().map(Into::into).collect();
    let exit_code = nutmegsail::run(args, &mut output).await;
    Ran {
        exit_code,
        results: String::from_utf8(results).expect("text"),
        messages: String::from_utf8(messages).expect("text"),
    }
}

/// A directory with texts.
pub struct Texts {
    dir: TempDir,
}

impl Texts {
    pub fn new() -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        Self { dir }
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.dir.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    /// `printed` without the directory, which differs from run to run.
    pub fn without_dir(&self, printed: &str) -> String {
        let dir = self.dir.path().display().to_string();
        printed.replace(&dir, "DIR").trim_end().to_owned()
    }
}

/// A node's operators' listener that answers `status` with what the test says.
pub struct Node {
    pub address: String,
    pub asked: Arc<Mutex<Vec<String>>>,
    _server: HttpServer,
}

impl Node {
    /// Starts a node; `answer` makes the status and body for a method and path.
    pub async fn start<A>(answer: A) -> Self
    where
        A: Fn(&str) -> (u16, String) + Send + Sync + 'static,
    {
        let asked: Arc<Mutex<Vec<String>>> = Arc::default();
        let log = Arc::clone(&asked);
        let answer = Arc::new(answer);
        let handle = move |request: Request<Incoming>| {
            let line = format!("{} {}", request.method(), request.uri());
            log.lock().expect("no panic").push(line.clone());
            let (status, body) = answer(&line);
            async move { HttpReply::Answer(response(status, body)) }
        };
        let server = serve(loopback().await.expect("a free port"), handle).expect("a server");
        Self {
            address: server.address.to_string(),
            asked,
            _server: server,
        }
    }
}

type ReplyBody =
    http_body_util::combinators::UnsyncBoxBody<Bytes, nutmegsail_upstream::UpstreamError>;

fn response(status: u16, body: String) -> Response<ReplyBody> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    response
}

/// The status of a node of `hall`, which knows of three nodes there and two in `cove`.
pub fn status_json(generation: u64, digest: &str, in_cove: &str, unreachable: &str) -> String {
    format!(
        r#"{{"node":"hall-1","failure_domain":"hall","generation":{generation},
        "digest":"{digest}","is_ready":true,"is_leaving":false,"uptime_ms":5,"domains":[
        {{"failure_domain":"hall","nodes":3,"at_generation":{{"{generation}":3}},"unreachable":[]}},
        {{"failure_domain":"cove","nodes":2,"at_generation":{in_cove},"unreachable":[{unreachable}]}}]}}"#
    )
}
