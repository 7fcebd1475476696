//! Looks at every node's generation all the time.

use std::time::Duration;

use futures_util::future::join_all;
use nutmegsail_config::Generation;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::{NodePolls, Poll};
use crate::NodeClient;

const ASK_EVERY: Duration = Duration::from_millis(100);

/// Looks at every node's generation until it is stopped.
pub(crate) struct GenerationWatch {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<NodePolls>>,
}

impl GenerationWatch {
    /// Starts to look. Times count from `began`.
    pub(crate) fn start(nodes: &[String], began: Instant) -> Self {
        let (stop, is_stopped) = watch::channel(false);
        let tasks = nodes.iter().map(|node| {
            let polls = NodePolls {
                node: node.clone(),
                polls: Vec::new(),
            };
            tokio::spawn(poll(polls, began, is_stopped.clone()))
        });
        Self {
            stop,
            tasks: tasks.collect(),
        }
    }

    /// Stops, and returns what was seen.
    pub(crate) async fn stop(self) -> Vec<NodePolls> {
        self.stop.send_replace(true);
        let seen = join_all(self.tasks).await.into_iter();
        seen.map(|polls| polls.expect("a look does not panic"))
            .collect()
    }
}

async fn poll(mut seen: NodePolls, began: Instant, is_stopped: watch::Receiver<bool>) -> NodePolls {
    let client = NodeClient::default();
    while !*is_stopped.borrow() {
        let asked_at = began.elapsed();
        let status = client.status(&seen.node).await;
        seen.polls.push(Poll {
            asked_at,
            generation: status.ok().map(|status| Generation(status.generation)),
        });
        sleep(ASK_EVERY).await;
    }
    seen
}
