//! Finishes the accepted requests during a graceful shutdown. Requests that are still unanswered when the
//! time runs out are answered as timed out.

use super::client::ClientListener;
use super::event_loop::EventLoop;
use crate::ids::Millis;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time from the start of a shutdown before it closes connections that wait for a request: new connections
/// may arrive for up to 0.4 s after the signal. Afterwards a new connection still gets the
/// `NEW_CONNECTION_GRACE` of the client connections to send its first request.
const CLOSE_IDLE_DELAY: Duration = Duration::from_millis(450);
/// Longest request deadline, ms, that a shutdown waits for.
const MAX_REQUEST_WAIT: Millis = 3000.0;
/// Time that is added to that deadline before unanswered requests are answered as timed out.
const REQUEST_WAIT_MARGIN: Duration = Duration::from_millis(550);
/// Time that connections get at the end of a shutdown to write their last responses.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval at which a shutdown checks whether connections are still open.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of consecutive polls that must find no open connection before the gateway counts as idle: a
/// connection that waits to be accepted at the first poll has been accepted by the second.
const IDLE_POLLS: u32 = 2;

/// The times at which the phases of a shutdown end.
pub struct ShutdownSchedule {
    /// The shutdown closes no idle connection before this time.
    close_idle_at: Instant,
    /// Requests that have no answer at this time are answered as timed out.
    time_out_requests_at: Instant,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that begins at `start`. The longest deadline of a request class is
    /// `max_deadline`, ms.
    pub fn new(start: Instant, max_deadline: Millis) -> Self {
        let request_wait = Duration::from_secs_f64(max_deadline.min(MAX_REQUEST_WAIT) / 1000.0);
        ShutdownSchedule {
            close_idle_at: start + CLOSE_IDLE_DELAY,
            time_out_requests_at: start + request_wait + REQUEST_WAIT_MARGIN,
        }
    }
}

/// Waits until all requests are answered and all connections are closed. At the end of the schedule requests
/// without an answer are answered as timed out, later requests are rejected with status 503, and connections
/// get `FLUSH_TIMEOUT` to write their last responses.
pub async fn finish_requests(
    event_loop: &Rc<EventLoop>,
    clients: &ClientListener,
    schedule: ShutdownSchedule,
) {
    tokio::time::sleep_until(schedule.close_idle_at.into()).await;
    let mut idle_polls = 0;
    while idle_polls < IDLE_POLLS && Instant::now() < schedule.time_out_requests_at {
        clients.close_idle();
        tokio::time::sleep(POLL_INTERVAL).await;
        idle_polls = if clients.connection_count() == 0 { idle_polls + 1 } else { 0 };
    }
    clients.reject_new_requests();
    event_loop.time_out_all_requests();
    let flush_until = Instant::now() + FLUSH_TIMEOUT;
    while clients.connection_count() > 0 && Instant::now() < flush_until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
