//! `nutmegsail apply`: put a text in force everywhere.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::FailureDomain;
use nutmegsail_config::{
    Accepted, Generation, PublishError, Publisher, RetryPolicy, TextStore, WriterId,
};
use nutmegsail_store::{HttpKeyValue, PlatformSettings};
use tokio::time::{Instant, interval, sleep, timeout_at};

use crate::{ApplyReport, CommandError, ExitCode, FleetStatus, NodeClient, Output, TextFile};

/// How often nodes are asked whether the text is in force.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// How often a command that waits says so.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);

/// What to put in force, and how to go about it.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// The text.
    pub text: PathBuf,
    /// The platform's key-value service.
    pub platform: PlatformSettings,
    /// The generation that the change was made from; the newest one if `None`, 0 for no text yet.
    pub base: Option<Generation>,
    /// The nodes to ask whether the text is in force.
    pub nodes: Vec<String>,
    /// How long to wait until it is.
    pub wait: Duration,
    /// The writer id of an earlier try whose outcome is unknown.
    pub resume: Option<WriterId>,
    /// How often and how patiently the platform is asked again.
    pub retry: RetryPolicy,
}

impl ApplyRequest {
    /// Puts `text` in force through the key-value service at `platform`, asking no node.
    ///
    /// ```
    /// let request = nutmegsail::ApplyRequest::new("jm-west.toml", "10.0.0.5:2400");
    /// assert_eq!(request.wait.as_secs(), 10);
    /// ```
    pub fn new(text: impl Into<PathBuf>, platform: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            platform: PlatformSettings::at(platform),
            base: None,
            nodes: Vec::new(),
            wait: Duration::from_secs(10),
            resume: None,
            retry: RetryPolicy::default(),
        }
    }
}

/// Puts a text in force, waits until every node runs it, and prints how far it got.
///
/// # Errors
///
/// The text has faults, another operator changed it first, or the platform did not take it.
pub async fn apply(
    request: &ApplyRequest,
    output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    let report = apply_text(request, output).await?;
    output.print(&report);
    Ok(report.exit_code())
}

/// Like [`apply`], but returns the report in place of printing it.
pub(crate) async fn apply_text(
    request: &ApplyRequest,
    output: &mut Output<'_>,
) -> Result<ApplyReport, CommandError> {
    let file = TextFile::read(&request.text)?;
    let client = NodeClient::default();
    let accepted = publish(request, &file, &client, output).await?;
    output.progress(&format!("accepted as generation {}", accepted.generation));
    let domains = &file.deployment.failure_domains;
    Ok(wait_in_force(request, accepted, domains, &client, output).await)
}

async fn publish(
    request: &ApplyRequest,
    file: &TextFile,
    client: &NodeClient,
    output: &mut Output<'_>,
) -> Result<Accepted, CommandError> {
    let store: Arc<HttpKeyValue> = Arc::new(HttpKeyValue::new(request.platform.clone()));
    let base = match request.base {
        Some(Generation(0)) => None,
        Some(base) => Some(base),
        None => {
            let head = TextStore::new(store.clone()).read_head().await;
            let head = head.map_err(CommandError::Fetch)?;
            head.map(|stored| stored.head.generation)
        }
    };
    // A store that was restored from a copy would count from an older generation, which nodes
    // ignore.
    let floor = FleetStatus::ask(client, &request.nodes)
        .await
        .newest_generation();
    let publisher = Publisher::new(store).with_retry(request.retry);
    let text = file.to_publish();
    let is_first_try = request.resume.is_none();
    let writer = request.resume.clone().unwrap_or_else(new_writer);
    let resume = || publisher.resume(&text, base, floor, writer.clone());
    let published = async {
        if is_first_try {
            let published = publisher.publish_above(&text, base, floor, writer.clone());
            match published.await {
                // The store may have the text and lose its answers only. Resuming reads the head
                // before anything else, so it finds that out.
                Err(PublishError::Undecided { .. }) => resume().await,
                settled => settled,
            }
        } else {
            resume().await
        }
    };
    let published = with_progress(published, "waiting for the platform", output).await;
    published.map_err(|error| CommandError::Publish { error, base })
}

fn new_writer() -> WriterId {
    WriterId::from(uuid::Uuid::new_v4().simple().to_string())
}

/// Awaits `work` and says each second that it is awaited.
async fn with_progress<T>(work: impl Future<Output = T>, what: &str, output: &mut Output<'_>) -> T {
    let mut work = std::pin::pin!(work);
    let mut ticks = interval(PROGRESS_EVERY);
    ticks.tick().await;
    let mut seconds = 0;
    loop {
        tokio::select! {
            result = &mut work => return result,
            _ = ticks.tick() => {
                seconds += 1;
                output.progress(&format!("{what} ({seconds} s)"));
            }
        }
    }
}

async fn wait_in_force(
    request: &ApplyRequest,
    accepted: Accepted,
    domains: &[FailureDomain],
    client: &NodeClient,
    output: &mut Output<'_>,
) -> ApplyReport {
    let mut report = ApplyReport::new(accepted);
    if request.nodes.is_empty() {
        return report;
    }
    let deadline = Instant::now() + request.wait;
    let mut next_progress = Instant::now() + PROGRESS_EVERY;
    loop {
        let fleet = FleetStatus::ask(client, &request.nodes);
        // The first round is awaited in any case, so that the report says something.
        let fleet = if report.fleet.is_none() {
            Ok(fleet.await)
        } else {
            timeout_at(deadline, fleet).await
        };
        if let Ok(fleet) = fleet {
            report.see(fleet, domains);
        }
        if report.is_in_force || Instant::now() >= deadline {
            return report;
        }
        if Instant::now() >= next_progress {
            output.progress(&report.progress());
            next_progress += PROGRESS_EVERY;
        }
        sleep(ASK_EVERY).await;
    }
}
