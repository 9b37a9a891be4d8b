//! What was sent, answered and run, in order.

use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn note(&self, line: String) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.4} {line}"));
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("the record was not written: {error}");
        }
    }
}
