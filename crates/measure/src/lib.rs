//! Policy measurements that drive the decision code with a passed-in clock.
//!
//! A study runs the real decision cores against small fakes of engines and of the weight store, in
//! simulated time, with several seeds, beside baselines in the same run. This crate decides nothing
//! and nothing of it runs in a node. Start at [`studies`] and [`run`].

mod brittle_sim;
mod capacity;
mod connection_sim;
mod crash_sim;
mod limit_sim;
mod model_sim;
mod page;
mod placement_sim;
mod quota_sim;
mod report;
mod shed_sim;
mod sim;
mod stream_sim;
mod studies;
mod study;

pub use capacity::capacity_table;
pub use page::report_page;
pub use report::{Measure, Report, Row};
pub use study::{Study, UnknownStudy, run, studies};
