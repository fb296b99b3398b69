//! probe
use std::sync::Mutex;
use std::time::{Duration, Instant};
static LAST: Mutex<Option<(Instant, Instant)>> = Mutex::new(None);
/// x
pub fn unpark(waited: Duration) {
    let now = Instant::now();
    let mut l = LAST.lock().unwrap();
    let before = if waited > Duration::from_micros(50) { now } else { l.map_or(now, |l| l.1) };
    *l = Some((before, now));
}
/// ms
pub fn lag() -> f64 {
    LAST.lock().unwrap().map_or(0.0, |l| l.0.elapsed().as_secs_f64() * 1000.0)
}
