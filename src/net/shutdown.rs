//! The end of a graceful shutdown: what was accepted is answered, and what is left at the end is answered as
//! timed out.

use super::client::ClientListener;
use super::event_loop::EventLoop;
use crate::ids::Millis;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// New connections may arrive for up to 0.4 s after the signal; until this no connection is closed without an
/// answer. A new connection is then still given `NEW_CONNECTION_GRACE` of the client connections.
const MIN_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// Bound on the deadline, ms, until which requests are awaited, and what is added to it.
const MAX_REQUEST_WAIT: Millis = 3000.0;
const REQUEST_WAIT_MARGIN: Duration = Duration::from_millis(550);
/// Time for the last responses to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(60);
/// How often the open connections are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Polls that find no connection open before the gateway is idle: a connection that waited to be accepted at
/// the first poll has been accepted by the second.
const IDLE_POLLS: u32 = 2;

/// When the phases of a shutdown end.
pub struct ShutdownSchedule {
    /// Until then connections are accepted and none is closed.
    close_idle_at: Instant,
    /// Requests without an answer are answered as timed out then.
    time_out_all_at: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins at `start`, where requests have up to `max_deadline` ms.
    pub fn new(start: Instant, max_deadline: Millis) -> Self {
        let request_wait = Duration::from_secs_f64(max_deadline.min(MAX_REQUEST_WAIT) / 1000.0);
        ShutdownSchedule {
            close_idle_at: start + MIN_ACCEPT_PERIOD,
            time_out_all_at: start + request_wait + REQUEST_WAIT_MARGIN,
        }
    }
}

/// Waits until all requests are answered and all connections closed. At the end of the schedule requests
/// without an answer are answered as timed out, later ones are turned down with 503, and connections get
/// `FLUSH_TIMEOUT` to write what they have.
pub async fn finish_requests(
    event_loop: &Rc<EventLoop>,
    clients: &ClientListener,
    schedule: ShutdownSchedule,
) {
    tokio::time::sleep_until(schedule.close_idle_at.into()).await;
    let mut idle_polls = 0;
    while idle_polls < IDLE_POLLS && Instant::now() < schedule.time_out_all_at {
        clients.close_idle();
        tokio::time::sleep(POLL_INTERVAL).await;
        idle_polls = if clients.connection_count() == 0 { idle_polls + 1 } else { 0 };
    }
    clients.reject_all();
    event_loop.time_out_all();
    let flush_until = Instant::now() + FLUSH_TIMEOUT;
    while clients.connection_count() > 0 && Instant::now() < flush_until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
