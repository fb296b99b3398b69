//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Writes lines to the record file. Each line begins with the time since the start of the run, in ms.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| crate::cannot_run(&format!("{path}: {e}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    /// Time since the start of the run, ms.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    pub fn line_at(&self, at: f64, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Unix time, ms.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}
