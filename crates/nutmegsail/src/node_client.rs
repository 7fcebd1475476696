//! Asks a node's operators' listener.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use nutmegsail_http_pool::{Pool, PoolSettings};
use nutmegsail_membership::StatusReport;
use serde::Deserialize;
use tokio::time::timeout;

use crate::CommandError;

/// How long a node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// A client of nodes' operators' listeners.
///
/// ```no_run
/// # async fn example() -> Result<(), nutmegsail::CommandError> {
/// let status = nutmegsail::NodeClient::default().status("127.0.0.1:8081").await?;
/// println!("{} runs generation {}", status.node, status.generation);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct NodeClient {
    pool: Pool,
}

impl Default for NodeClient {
    fn default() -> Self {
        let pool = Pool::new(PoolSettings::default());
        Self { pool }
    }
}

#[derive(Deserialize)]
struct RefusalJson {
    error: RefusalFields,
}

#[derive(Deserialize)]
struct RefusalFields {
    number: Option<u16>,
    #[serde(default)]
    message: String,
    #[serde(default)]
    detail: String,
}

impl NodeClient {
    /// Asks the node at `address` how it stands.
    ///
    /// # Errors
    ///
    /// The node cannot be reached, or refuses.
    pub async fn status(&self, address: &str) -> Result<StatusReport, CommandError> {
        let body = self.get(address, "/operators/status").await?;
        serde_json::from_slice(&body).map_err(|error| unreadable(address, &error))
    }

    /// Asks the node at `address` for the JSON at `path_and_query`.
    ///
    /// # Errors
    ///
    /// The node cannot be reached, or refuses.
    pub async fn get(&self, address: &str, path_and_query: &str) -> Result<Bytes, CommandError> {
        self.call(Method::GET, address, path_and_query).await
    }

    /// Posts nothing to `path` of the node at `address`.
    ///
    /// # Errors
    ///
    /// The node cannot be reached, or refuses.
    pub async fn post(&self, address: &str, path: &str) -> Result<Bytes, CommandError> {
        self.call(Method::POST, address, path).await
    }

    async fn call(
        &self,
        method: Method,
        address: &str,
        path_and_query: &str,
    ) -> Result<Bytes, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(path_and_query)
            .body(Full::default())
            .map_err(|error| CommandError::Usage(error.to_string()))?;
        let exchange = async {
            let answer = self.pool.send(address, request).await;
            let answer = answer.map_err(|error| unreachable(address, error))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| unreachable(address, error))?;
            Ok((status, body.to_bytes()))
        };
        let (status, body) = timeout(ANSWER_TIMEOUT, exchange)
            .await
            .map_err(|_| unreachable(address, "it did not answer in time"))??;
        if status.is_success() {
            return Ok(body);
        }
        Err(refused(address, status.as_u16(), &body))
    }
}

fn unreachable(address: &str, why: impl std::fmt::Display) -> CommandError {
    CommandError::NodeUnreachable {
        address: address.to_owned(),
        why: why.to_string(),
    }
}

fn unreadable(address: &str, why: &serde_json::Error) -> CommandError {
    unreachable(address, format!("its answer cannot be read: {why}"))
}

fn refused(address: &str, status: u16, body: &[u8]) -> CommandError {
    let (number, message) = match serde_json::from_slice::<RefusalJson>(body) {
        Ok(RefusalJson { error }) if error.detail.is_empty() => (error.number, error.message),
        Ok(RefusalJson { error }) => {
            let message = format!("{} ({})", error.message, error.detail);
            (error.number, message)
        }
        Err(_) => (None, format!("status {status}")),
    };
    CommandError::NodeRefused {
        address: address.to_owned(),
        status,
        number,
        message,
    }
}
