//! A simulated request.

use std::time::Duration;

use nutmegsail_base::Class;

/// A simulated request. Times count from the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct SimRequest {
    pub(crate) at: Duration,
    pub(crate) node: usize,
    pub(crate) adapter: usize,
    pub(crate) class: Class,
    pub(crate) tokens: u32,
    pub(crate) caller: u32,
    pub(crate) sends: u32,
    /// Since when it waits because its adapter is not ready.
    pub(crate) stalled_since: Option<Duration>,
    pub(crate) stalled: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) is_shed: bool,
    pub(crate) is_done: bool,
}
