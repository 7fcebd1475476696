//! A bare HTTP client for the tests of the stand-ins: one connection a call.

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// An answer read to its end. `None` as status: the connection closed unanswered.
#[derive(Debug)]
pub struct Reply {
    pub status: Option<u16>,
    pub headers: HeaderMap,
    pub body: String,
}

impl Reply {
    /// Status, the headers that say what became of the request, and body: for snapshots.
    pub fn line(&self) -> String {
        let Some(status) = self.status else {
            return "cut".to_owned();
        };
        let shown = ["x-request-id", "x-not-run", "x-reason"]
            .iter()
            .filter_map(|name| {
                let value = self.headers.get(*name)?.to_str().ok()?;
                Some(format!("{name}={value} "))
            });
        format!("{status} {}{}", shown.collect::<String>(), self.body)
    }
}

/// Sends a call whose answer is still to be read; dropping the answer closes the connection.
pub async fn send(
    address: std::net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Incoming>, hyper::Error> {
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    sender.send_request(request.body(body).unwrap()).await
}

/// Sends a call and reads its whole answer.
pub async fn call(
    address: std::net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let Ok(response) = send(address, method, path, headers, body).await else {
        return Reply {
            status: None,
            headers: HeaderMap::new(),
            body: String::new(),
        };
    };
    let (parts, body) = response.into_parts();
    let whole = body.collect().await.map(|whole| whole.to_bytes());
    Reply {
        status: Some(parts.status.as_u16()),
        headers: parts.headers,
        body: whole.map_or_else(
            |_| "broken off".to_owned(),
            |bytes| String::from_utf8_lossy(&bytes).into_owned(),
        ),
    }
}
