//! A node that can be killed in the middle of its work.

use std::net::SocketAddr;

use nutmegsail_node::{Node, NodeSettings};
use tokio::runtime::{Builder, Runtime};

use super::{start_node, until_ready};

/// A node on a runtime of its own.
pub struct MortalNode {
    node: Option<Node>,
    runtime: Option<Runtime>,
}

impl MortalNode {
    /// Starts the node and waits until a text is in force on it.
    pub async fn start(settings: NodeSettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let started = runtime.spawn(start_node(settings)).await;
        let node = started.expect("the node starts");
        until_ready(&node).await;
        Self {
            node: Some(node),
            runtime: Some(runtime),
        }
    }

    /// The node.
    pub fn node(&self) -> &Node {
        self.node.as_ref().expect("it lives")
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.node().callers_address()
    }

    /// Ends the node as SIGKILL would: its connections close, and it says and cancels nothing more.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.node = None;
    }
}

impl Drop for MortalNode {
    fn drop(&mut self) {
        self.kill();
    }
}
