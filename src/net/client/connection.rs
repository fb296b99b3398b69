//! State of one client connection: its phase, whether further requests have arrived on it, and whether it may
//! be closed.

use super::head_counter::RequestHeadCounter;
use crate::ids::Millis;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Longest time to receive a complete request, ms. On a new connection this includes the wait for its first
/// bytes. The protocol requires that a client that makes no progress is disconnected within 3 s; the
/// timeout is shorter because the idle reaper checks the connections only at intervals. The `request_body`
/// module applies the same limit to reading a body.
pub const READ_TIMEOUT: Millis = 2000.0;
/// Longest time to pass a response to the socket, ms. If the client reads too slowly, so that the response
/// does not fit into the socket's send buffer in time, the connection is aborted.
const WRITE_TIMEOUT: Millis = READ_TIMEOUT;
/// Longest time that a connection is kept open between two requests, ms. Some clients send a single request
/// and never close their connection.
const IDLE_TIMEOUT: Millis = 10_000.0;
/// Time, ms, after a connection was accepted during which a graceful shutdown does not close the connection
/// while it waits for its first request, so that its client can send the request. See also `CLOSE_IDLE_DELAY`
/// of the shutdown module.
const NEW_CONNECTION_GRACE: Millis = 450.0;
/// Longest time that a closing connection waits for its client to receive the last response and close, ms.
///
/// If the gateway closes a socket that holds unread bytes, the kernel sends a reset, and the reset discards
/// the part of the response that has not arrived yet. The timeout leaves time for a lost segment to be
/// retransmitted.
const LINGER_TIMEOUT: Millis = 500.0;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The connection waits for its first request or is receiving a request.
    Reading,
    /// A request has been received and has no response yet.
    Processing,
    /// The response is being written.
    Writing,
    /// The connection is between two requests.
    Idle,
    /// The gateway has shut down sending and reads nothing more; it waits for the client to close as well.
    Closing,
}

/// Checks whether the kernel holds received bytes that have not been read.
pub trait UnreadBytesCheck {
    /// Whether at least one byte can be read now; false if the check fails. Each call makes a system call.
    fn has_unread_bytes(&self) -> bool;
}

impl UnreadBytesCheck for TcpStream {
    fn has_unread_bytes(&self) -> bool {
        let peeked = SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Ok(1..))
    }
}

/// State of one client connection. The connection's task shares it with the modules that may close the
/// connection: `listener`, `idle_reaper` and `eviction`.
pub struct Connection {
    stream: Rc<TcpStream>,
    unread_check: Rc<dyn UnreadBytesCheck>,
    phase: Cell<Phase>,
    phase_start: Cell<Millis>,
    any_bytes_received: Cell<bool>,
    /// Whether bytes were read while the current request was being processed or its response was being
    /// written. They belong to the next request.
    next_request_started: Cell<bool>,
    request_heads: Cell<RequestHeadCounter>,
    close_signal: Notify,
    aborted: Cell<bool>,
}

impl Connection {
    /// Creates the state of a connection accepted at `now`, Unix ms; `unread_check` checks `stream` for
    /// unread bytes.
    pub fn new(stream: Rc<TcpStream>, unread_check: Rc<dyn UnreadBytesCheck>, now: Millis) -> Self {
        Connection {
            stream,
            unread_check,
            phase: Cell::new(Phase::Reading),
            phase_start: Cell::new(now),
            any_bytes_received: Cell::new(false),
            next_request_started: Cell::new(false),
            request_heads: Cell::default(),
            close_signal: Notify::new(),
            aborted: Cell::new(false),
        }
    }

    /// The connection's socket. The connection's task and its HTTP stream use the socket as well.
    pub fn stream(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// What the connection is doing now.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the current phase started; Unix ms.
    pub fn phase_start(&self) -> Millis {
        self.phase_start.get()
    }

    /// Sets the phase and its start time, Unix ms.
    pub fn set_phase(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        self.phase_start.set(now);
    }

    /// Records bytes that were read from the socket. On an idle connection they start a new request, and the
    /// connection enters [`Phase::Reading`].
    pub fn record_received_bytes(&self, bytes: &[u8], now: Millis) {
        self.any_bytes_received.set(true);
        let was_idle = self.phase() == Phase::Idle;
        let heads = if was_idle { RequestHeadCounter::default() } else { self.request_heads.get() };
        self.request_heads.set(heads.after_bytes(bytes));
        match self.phase() {
            Phase::Idle => self.set_phase(Phase::Reading, now),
            Phase::Processing | Phase::Writing => self.next_request_started.set(true),
            Phase::Reading | Phase::Closing => {}
        }
    }

    /// Records that the handler has received a complete request, or the head of a health check, whose body is
    /// not read.
    pub fn record_received_request(&self, now: Millis) {
        self.set_phase(Phase::Processing, now);
        self.request_heads.set(self.request_heads.get().after_request());
    }

    /// Records that everything written so far has been passed to the socket. If the phase is
    /// [`Phase::Writing`], the connection enters [`Phase::Reading`] if bytes of the next request have been
    /// read, and [`Phase::Idle`] otherwise.
    pub fn record_flushed(&self, now: Millis) {
        if self.phase() == Phase::Writing {
            let next = if self.next_request_started.take() { Phase::Reading } else { Phase::Idle };
            self.set_phase(next, now);
        }
    }

    /// Whether the current phase has lasted longer than its timeout.
    pub fn has_timed_out(&self, now: Millis) -> bool {
        self.phase_timeout().is_some_and(|timeout| now - self.phase_start() > timeout)
    }

    fn phase_timeout(&self) -> Option<Millis> {
        match self.phase() {
            Phase::Reading => Some(READ_TIMEOUT),
            Phase::Writing => Some(WRITE_TIMEOUT),
            Phase::Idle => Some(IDLE_TIMEOUT),
            // The event loop answers each request by its deadline, and the linger time limits how long a
            // close takes.
            Phase::Processing | Phase::Closing => None,
        }
    }

    /// Whether the socket holds unread bytes; makes a system call. On a busy machine the runtime may read
    /// such bytes long after they arrived.
    pub fn has_unread_bytes(&self) -> bool {
        self.unread_check.has_unread_bytes()
    }

    /// Whether the connection can be closed without losing a request: no response is outstanding and no part
    /// of a further request has arrived. A partial request is missed if it was read together with the last
    /// bytes of the previous request.
    pub fn may_close(&self) -> bool {
        let is_unused = self.phase() == Phase::Reading && !self.any_bytes_received.get();
        (self.phase() == Phase::Idle || is_unused) && !self.has_unread_bytes()
    }

    /// Whether a graceful shutdown can close the connection: [`Self::may_close`] returns true, and the
    /// connection has served a request or was accepted more than [`NEW_CONNECTION_GRACE`] ago.
    pub fn may_close_in_shutdown(&self, now: Millis) -> bool {
        let is_new = self.phase() == Phase::Reading && now - self.phase_start() <= NEW_CONNECTION_GRACE;
        !is_new && self.may_close()
    }

    /// Whether no part of a further request has arrived after the request that the handler is answering. A
    /// partial head is missed if it was read together with the last bytes of the current request.
    pub fn has_no_further_request(&self) -> bool {
        !self.next_request_started.get()
            && !self.request_heads.get().has_pending_head()
            && !self.has_unread_bytes()
    }

    /// How long a close that starts at `now` waits for the client to receive the last response and to close
    /// as well. On an idle connection, the time since the last response was written is subtracted; on a
    /// connection that has received no bytes, the result is 0.
    pub fn linger_time(&self, now: Millis) -> Duration {
        let remaining = match self.phase() {
            Phase::Idle => self.phase_start() + LINGER_TIMEOUT - now,
            _ if self.any_bytes_received.get() => LINGER_TIMEOUT,
            _ => 0.0,
        };
        Duration::from_secs_f64(remaining.max(0.0) / 1000.0)
    }

    /// Asks the connection's task to close the connection. The task ignores the signal unless
    /// [`Self::may_close`] still returns true when the task handles it.
    pub fn signal_close(&self) {
        self.close_signal.notify_one();
    }

    /// Makes the connection's task drop the connection at once, even if a request has arrived on it.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.close_signal.notify_one();
    }

    /// Whether [`Self::abort`] was called.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Waits until [`Self::signal_close`] or [`Self::abort`] is called. Completes immediately if either has
    /// been called since the previous wait completed.
    pub fn close_signalled(&self) -> impl Future<Output = ()> + '_ {
        self.close_signal.notified()
    }
}
