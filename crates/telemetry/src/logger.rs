//! The root logger.

use std::sync::Mutex;

use slog::{Drain, Logger, o};
use slog_async::{Async, OverflowStrategy};

use crate::bounded::Bounded;
use crate::{Event, LogFormat, LogSettings};

/// Records that wait for the log's own thread before more are dropped.
const QUEUE_RECORDS: usize = 4096;

/// Makes the root logger.
///
/// Records are written by a thread of their own. A terminal or pipe that nobody reads would
/// otherwise stop the control thread in the middle of a log line; here the queue fills up, further
/// records are dropped, and the count of those is logged once the queue moves again.
///
/// ```
/// use nutmegsail_telemetry::{Event, LogSettings, log_event, logger};
/// let log = logger(&LogSettings::default());
/// log_event!(log, Event::NodeStarted, "node" => "negril-1");
/// ```
pub fn logger(settings: &LogSettings) -> Logger {
    let level = settings.level.as_slog();
    match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .use_original_order()
                .build();
            rooted(drain.ignore_res(), level)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout());
            rooted(drain.ignore_res(), level)
        }
    }
}

/// A logger that throws every record away, for tests and measurements.
///
/// ```
/// let log = nutmegsail_telemetry::discard_logger();
/// ```
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn rooted<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queued = Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .ignore_res();
    let bounded = Mutex::new(Bounded::new(queued, is_routine)).ignore_res();
    Logger::root(slog::LevelFilter::new(bounded, level).ignore_res(), o!())
}

/// Whether a kind of line tells of successes, of which there are many.
fn is_routine(kind: &str) -> bool {
    [Event::RequestEnded, Event::LoadOrdered, Event::LoadFinished]
        .iter()
        .any(|event| event.name() == kind)
}
