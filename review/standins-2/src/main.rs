//! Plays one case of the review: `standins-2 CASE ROOT FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` it leaves out the disruption.

mod cases;
mod http;
mod json;
mod node;
mod record;
mod server;
mod store;

use std::path::{Path, PathBuf};
use std::process::exit;

use record::Record;

/// What a case is played with.
pub struct Setting {
    pub has_trouble: bool,
    /// The repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    pub record: Record,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = words.as_slice() else { exit(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("{case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let setting = Setting { has_trouble, root: PathBuf::from(root), folder: temporary.clone(), record: record.clone() };
    let broken = match case.as_str() {
        "version-queue" => cases::version_queue::play(&setting),
        "crash-late" => cases::crash_late::play_request(&setting),
        "crash-late-part" => cases::crash_late::play_part(&setting),
        "crash-memory" => cases::crash_memory::play(&setting),
        _ => exit(2),
    };
    let keeps_logs = std::env::var_os("KEEP_LOGS").is_some();
    if !keeps_logs {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    match broken {
        Ok(Some(what)) => {
            record.line(&format!("BROKEN: {what}"));
            println!("broken: {what}");
            exit(1)
        }
        Ok(None) => {
            record.line("the rule held");
            println!("held");
            exit(0)
        }
        Err(why) => {
            record.line(&format!("the case could not run: {why}"));
            println!("could not run: {why}");
            exit(2)
        }
    }
}
