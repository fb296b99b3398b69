//! The logger of the gateway process, which writes lines to standard error at a limited rate.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of lines written per one-second window. Further lines are dropped, so that a recurring
/// fault does not fill the disk.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Counts the lines, including dropped ones, since the start of the current one-second window.
struct RateWindow {
    start: Instant,
    lines: u32,
}

impl RateWindow {
    fn starting_now() -> Self {
        RateWindow { start: Instant::now(), lines: 0 }
    }

    /// Counts a line, starting a new window if the current window has ended, and returns whether the
    /// line may be written.
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
            // A failure to write the log cannot be reported anywhere, so it is ignored.
            let _ = writeln!(std::io::stderr(), "{} {}", record.level(), record.args());
        }
    }

    fn flush(&self) {}
}

/// Installs the logger, which writes messages of level `Info` and above. Does nothing if the process already
/// has a logger.
pub fn init() {
    let logger = StderrLogger { window: Mutex::new(RateWindow::starting_now()) };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
