//! Stand-ins for clients, servers and the platform's store, and the cases of the review that use them.
//!
//! `review-standins CASE FOLDER` plays a case, writes FOLDER/record.txt, and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod cases;
mod http;
mod json;
mod node;
mod record;
mod server;
mod store;

use std::process::ExitCode;

use record::Record;

/// The outcome of a case.
pub enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next(), arguments.next());
    let (Some(case), Some(folder)) = (case, folder) else {
        eprintln!("review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::new(&folder);
    let outcome = cases::play(&case, &record, has_trouble);
    let keeps = std::env::var_os("KEEP_LOGS").is_some();
    if !keeps {
        let _ = std::fs::remove_dir_all(node::scratch());
    }
    match outcome {
        Outcome::Held(why) => {
            record.write(&format!("HELD: {why}"));
            ExitCode::SUCCESS
        }
        Outcome::Broken(why) => {
            record.write(&format!("BROKEN: {why}"));
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(why) => {
            record.write(&format!("COULD NOT RUN: {why}"));
            ExitCode::from(2)
        }
    }
}
