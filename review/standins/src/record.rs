//! What a case writes down: what was sent, answered and run.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &str) -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
            path: PathBuf::from(folder).join("record.txt"),
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes the file, in the order of time.
    pub fn write(&self, verdict: &str) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let at_s = at.saturating_duration_since(self.began).as_secs_f64();
            text.push_str(&format!("{at_s:9.3} s  {line}\n"));
        }
        text.push_str(&format!("{verdict}\n"));
        std::fs::write(&self.path, text).unwrap();
        println!("{verdict}");
    }
}
