//! The log of the gateway process: lines on standard error.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Further lines are dropped: a fault that repeats must not fill the disk with its log.
const MAX_LINES_PER_SECOND: u32 = 20;

/// The lines that were logged since a moment.
struct RateWindow {
    start: Instant,
    lines: u32,
}

impl RateWindow {
    fn starting_now() -> Self {
        RateWindow { start: Instant::now(), lines: 0 }
    }

    /// Counts a line; false if it is one too many.
    fn admit_line(&mut self) -> bool {
        if self.start.elapsed() > Duration::from_secs(1) {
            *self = RateWindow::starting_now();
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }
}

struct StderrLogger {
    window: Mutex<RateWindow>,
}

impl Log for StderrLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut window) = self.window.lock() else { return };
        if window.admit_line() {
            // A log that cannot be written has nowhere to be reported.
            let _ = writeln!(std::io::stderr(), "{} {}", record.level(), record.args());
        }
    }

    fn flush(&self) {}
}

/// Logs from now on; a logger that was set before stays.
pub fn init() {
    let logger = StderrLogger { window: Mutex::new(RateWindow::starting_now()) };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
