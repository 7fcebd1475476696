//! The HTTP client towards a collector.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use opentelemetry_http::hyper::HyperClient;
use opentelemetry_http::{HttpClient, HttpError};
use tokio::runtime::Handle;

const TIMEOUT: Duration = Duration::from_secs(5);

/// The HTTP client towards a collector.
///
/// opentelemetry exports from threads of its own, and hyper works only inside a tokio runtime:
/// without the handle the first export would panic there, and nothing would ever be sent.
#[derive(Clone, Debug)]
pub(crate) struct CollectorClient {
    client: HyperClient,
    runtime: Handle,
}

impl CollectorClient {
    pub(crate) fn new(runtime: Handle) -> Self {
        Self {
            client: HyperClient::with_default_connector(TIMEOUT, None),
            runtime,
        }
    }
}

#[async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let client = self.client.clone();
        let sending = self
            .runtime
            .spawn(async move { client.send_bytes(request).await });
        sending.await?
    }
}
