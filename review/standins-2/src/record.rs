//! Writes what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    /// Seconds since the record began.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} s  {text}");
        let _ = file.flush();
    }
}
