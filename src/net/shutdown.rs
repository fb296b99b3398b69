//! Finishes the accepted requests during a graceful shutdown. Requests that have no answer when the time for
//! the shutdown runs out are answered as timed out.

use super::client::ClientListener;
use super::event_loop::EventLoop;
use crate::ids::Millis;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time from the start of a shutdown until idle client connections are closed. New connections may arrive for
/// up to 0.4 s after the shutdown signal. Even after this delay, a new connection has `NEW_CONNECTION_GRACE`
/// (see the client module) to send its first request.
const CLOSE_IDLE_DELAY: Duration = Duration::from_millis(450);
/// Maximum time, ms, that a shutdown waits for request deadlines, even if a class has a longer deadline.
/// `REQUEST_WAIT_MARGIN` is added to this time.
const MAX_REQUEST_WAIT: Millis = 3000.0;
/// Time that a shutdown waits beyond the longest request deadline, or beyond `MAX_REQUEST_WAIT` if that is
/// shorter, before it answers the unanswered requests as timed out.
const REQUEST_WAIT_MARGIN: Duration = Duration::from_millis(550);
/// Maximum time that a shutdown waits at its end for connections to write their last responses.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval at which a shutdown checks whether client connections are still open.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of consecutive polls that must find no open client connection before the shutdown stops waiting. A
/// connection that waits to be accepted at the first poll has been accepted by the second.
const IDLE_POLLS: u32 = 2;

/// The times at which the phases of a shutdown end.
pub struct ShutdownSchedule {
    /// Idle connections are closed from this time on.
    close_idle_at: Instant,
    /// Requests that still have no answer at this time are answered as timed out.
    time_out_requests_at: Instant,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that begins at `start`. `max_deadline`, ms, is the longest deadline
    /// of any request class.
    pub fn new(start: Instant, max_deadline: Millis) -> Self {
        let request_wait = Duration::from_secs_f64(max_deadline.min(MAX_REQUEST_WAIT) / 1000.0);
        ShutdownSchedule {
            close_idle_at: start + CLOSE_IDLE_DELAY,
            time_out_requests_at: start + request_wait + REQUEST_WAIT_MARGIN,
        }
    }
}

/// Waits until all client connections are closed, or until the schedule's time for answering requests has
/// passed. Then rejects later requests with status 503, answers the remaining requests as timed out, and
/// waits up to `FLUSH_TIMEOUT` for the connections to write their last responses.
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
