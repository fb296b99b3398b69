//! State of one client connection: its phase, what has arrived on it and whether it may be closed.

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

/// Longest time to receive a request whole, ms; also for the first bytes of a new connection. The protocol
/// lets go of a client that makes no progress within 3 s; the idle reaper, which enforces this, runs at
/// intervals.
pub const READ_TIMEOUT: Millis = 2000.0;
/// Longest time to write a response, ms, to a client that does not take it.
const WRITE_TIMEOUT: Millis = READ_TIMEOUT;
/// How long a connection is kept open between two requests, ms: some clients ask once and never close.
const IDLE_TIMEOUT: Millis = 10_000.0;
/// During a graceful shutdown a new connection is given this long for its first request, ms; see the
/// shutdown's `MIN_ACCEPT_PERIOD`.
const NEW_CONNECTION_GRACE: Millis = 450.0;
/// How long a closing connection waits for the client to receive the last response and close, ms.
///
/// A close over unread bytes is sent as a reset, and a reset discards what of the response is still on its
/// way. The timeout is long enough for a lost segment to be sent again.
const LINGER_TIMEOUT: Millis = 500.0;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Waits for the first request, or is receiving one.
    Reading,
    /// A request has been received and has no response yet.
    Processing,
    /// Its response is being written.
    Writing,
    /// Between two requests.
    Idle,
    /// Nothing more is read or written.
    Closing,
}

/// Tells whether the kernel holds received bytes that have not been read.
pub trait UnreadBytes {
    /// Whether there are such bytes. Costs a system call.
    fn has_unread_bytes(&self) -> bool;
}

impl UnreadBytes for TcpStream {
    fn has_unread_bytes(&self) -> bool {
        let peeked = SockRef::from(self).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Ok(1..))
    }
}

/// State of one client connection, shared by its task and by those that may close it.
pub struct Connection {
    stream: Rc<TcpStream>,
    unread: Rc<dyn UnreadBytes>,
    phase: Cell<Phase>,
    phase_since: Cell<Millis>,
    /// Any byte has ever arrived.
    bytes_received: Cell<bool>,
    /// Bytes arrived before the response to the current request was out: the next request has begun.
    next_request_begun: Cell<bool>,
    request_heads: Cell<RequestHeadCounter>,
    close_signal: Notify,
    aborted: Cell<bool>,
}

impl Connection {
    /// The state of a connection accepted at `now`; `unread` tells of unread bytes on `stream`.
    pub fn new(stream: Rc<TcpStream>, unread: Rc<dyn UnreadBytes>, now: Millis) -> Self {
        Connection {
            stream,
            unread,
            phase: Cell::new(Phase::Reading),
            phase_since: Cell::new(now),
            bytes_received: Cell::new(false),
            next_request_begun: Cell::new(false),
            request_heads: Cell::default(),
            close_signal: Notify::new(),
            aborted: Cell::new(false),
        }
    }

    /// The socket.
    pub fn stream(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the current phase began; Unix ms.
    pub fn phase_since(&self) -> Millis {
        self.phase_since.get()
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        self.phase_since.set(now);
    }

    /// Records bytes that were read.
    pub fn record_received(&self, bytes: &[u8], now: Millis) {
        self.bytes_received.set(true);
        let was_idle = self.phase() == Phase::Idle;
        let heads = if was_idle { RequestHeadCounter::default() } else { self.request_heads.get() };
        self.request_heads.set(heads.after(bytes));
        match self.phase() {
            Phase::Idle => self.enter(Phase::Reading, now),
            Phase::Processing | Phase::Writing => self.next_request_begun.set(true),
            Phase::Reading | Phase::Closing => {}
        }
    }

    /// Records that the handler has received a whole request.
    pub fn record_request(&self, now: Millis) {
        self.enter(Phase::Processing, now);
        self.request_heads.set(self.request_heads.get().after_request());
    }

    /// Records that everything written so far has been sent.
    pub fn record_flushed(&self, now: Millis) {
        if self.phase() == Phase::Writing {
            let next = if self.next_request_begun.take() { Phase::Reading } else { Phase::Idle };
            self.enter(next, now);
        }
    }

    /// Whether the current phase has lasted longer than it may.
    pub fn is_overdue(&self, now: Millis) -> bool {
        self.phase_timeout().is_some_and(|timeout| now - self.phase_since() > timeout)
    }

    fn phase_timeout(&self) -> Option<Millis> {
        match self.phase() {
            Phase::Reading => Some(READ_TIMEOUT),
            Phase::Writing => Some(WRITE_TIMEOUT),
            Phase::Idle => Some(IDLE_TIMEOUT),
            // The event loop answers a request by its deadline; a close has a timeout of its own.
            Phase::Processing | Phase::Closing => None,
        }
    }

    /// Whether bytes wait in the socket. On a busy machine the runtime may not have read what has long
    /// arrived.
    pub fn has_unread_bytes(&self) -> bool {
        self.unread.has_unread_bytes()
    }

    /// Whether it can be closed without losing anything: it owes no response and no request has begun.
    pub fn may_close(&self) -> bool {
        let is_unused = self.phase() == Phase::Reading && !self.bytes_received.get();
        (self.phase() == Phase::Idle || is_unused) && !self.has_unread_bytes()
    }

    /// Whether it can be closed during a graceful shutdown: as [`Self::may_close`], and it is not new.
    pub fn may_close_in_shutdown(&self, now: Millis) -> bool {
        let is_new = self.phase() == Phase::Reading && now - self.phase_since() <= NEW_CONNECTION_GRACE;
        !is_new && self.may_close()
    }

    /// Whether nothing has arrived behind the request that is being processed.
    pub fn is_last_request(&self) -> bool {
        !self.next_request_begun.get() && !self.request_heads.get().has_pending() && !self.has_unread_bytes()
    }

    /// How long a close that begins now has to wait for the last response to reach the client.
    pub fn linger_time(&self, now: Millis) -> Duration {
        let left = match self.phase() {
            Phase::Idle => self.phase_since() + LINGER_TIMEOUT - now,
            _ if self.bytes_received.get() => LINGER_TIMEOUT,
            _ => 0.0,
        };
        Duration::from_secs_f64(left.max(0.0) / 1000.0)
    }

    /// Asks the connection's task to close, unless a request has begun by then.
    pub fn request_close(&self) {
        self.close_signal.notify_one();
    }

    /// Makes the connection's task drop the connection, whatever has arrived on it.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.close_signal.notify_one();
    }

    /// Whether [`Self::abort`] was called.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Waits for [`Self::request_close`] or [`Self::abort`].
    pub fn close_requested(&self) -> impl Future<Output = ()> + '_ {
        self.close_signal.notified()
    }
}
