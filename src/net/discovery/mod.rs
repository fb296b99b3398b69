//! Keeps a watch on the discovery agent and hands its changes on.

use super::keep_running;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::convert::Infallible;
use std::error::Error;
use std::fmt::{Display, Formatter};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// Share of the memory limit that the bytes of one object may take; more is taken for nonsense. While a whole
/// list is taken in, its bytes stand in a buffer of up to twice their size, beside what was made of them and
/// what was kept of the list before: four times this share at the most, and connections may hold 0.6.
const MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Least bound on an object, bytes, under a limit that the program itself would not keep.
const LEAST_BOUND: f64 = (1 << 20) as f64;
/// An object that has begun is given up when nothing more of it has come for this long. Also the longest that
/// a call is waited for, whatever the settings.
const STALL: Duration = Duration::from_secs(1);
/// Time for an object from its first byte to its last, however steadily it comes, and for a whole list from
/// the head of its answer. With the silence of a watch, a call and the longest pause it stays within the 6 s
/// after which a change counts as told.
const OBJECT_TIME: Duration = Duration::from_secs(2);
/// Shares of the grace after a drain within which an agent that is back has to be heard, whatever call was
/// out to it when it came back: a call is waited for this long, and the next follows after this at the most.
/// The agent stands on this machine and answers at once if at all.
const CALL_SHARE: f64 = 0.5;
const PAUSE_SHARE: f64 = 0.25;
/// A watch that has not even sent its empty line for this long, a little over its period of two seconds, is
/// opened anew: it may be dead while the agent is not, and what the agent has counts as told. Where it is
/// discovery that is down, asking again costs nothing.
const SILENCE: Duration = Duration::from_millis(2300);
/// First pause after a failure; doubles up to the longest, which is this at the most.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Where calls for a watch are answered and bring nothing at all, not an empty line, for this long, the whole
/// list is asked for: the agent may have what its watches do not tell. Longer than one silent watch, so that
/// lists stay rare.
const MUTE: Duration = Duration::from_secs(3);
/// A buffer that has grown over this, bytes, is given back once it is empty.
const KEPT_BUFFER: usize = 1 << 16;

type Failure = Box<dyn Error + Send + Sync>;

/// A list of servers, or what changed in it. Borrows the text that it was read from.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList<'a> {
    /// The list's version.
    pub revision: u64,
    /// All servers, not only what changed.
    #[serde(default)]
    pub complete: bool,
    /// The entries, read one by one so that a bad one does not hide the others.
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Member<'a> {
    /// Its id, the same at every limiter.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Where it listens, as seen from here.
    #[serde(borrow, default)]
    pub host_port: Cow<'a, str>,
    /// Its zone.
    #[serde(borrow, default)]
    pub locality: Cow<'a, str>,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// `Ready`, `Terminating` or `Gone`.
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    /// Its size beside the others'.
    #[serde(default = "usual_size")]
    pub size: f64,
    /// When it last started, Unix ms; 0: long ago.
    #[serde(default)]
    pub up_since_ms: f64,
}

fn usual_size() -> f64 {
    1.0
}

impl<'a> ServerList<'a> {
    /// The entries, each with why it cannot be read if that is so.
    pub fn members(&self) -> impl Iterator<Item = Result<Member<'a>, serde_json::Error>> + '_ {
        self.members.iter().map(|member| serde_json::from_str(member.get()))
    }
}

/// Bytes that one object may hold under a memory limit.
pub fn most_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1e6 * MEMORY_SHARE).max(LEAST_BOUND) as usize
}

/// Opens connections to an agent. Shown as text, it is the host that calls name.
pub trait Connect: Display {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens one.
    fn connect(&self) -> impl Future<Output = std::io::Result<Self::Stream>>;
}

impl Connect for SocketAddr {
    type Stream = TcpStream;

    fn connect(&self) -> impl Future<Output = std::io::Result<TcpStream>> {
        TcpStream::connect(*self)
    }
}

/// Takes in what discovery tells.
pub trait Learn {
    /// Takes in a list. False where an entry made no sense: what it changes is unknown.
    fn learn(&self, list: &ServerList<'_>) -> bool;
}

/// What a follower keeps to.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// How long after it was told of a drain a server may still be sent something new.
    pub drain_grace: Duration,
    /// Bytes that one object may hold.
    pub most_bytes: usize,
}

/// Follows the agent that the configuration names, and moves to another when that changes. Ends when dropped.
pub struct Following<A> {
    agent: A,
    bounds: Bounds,
    task: AbortHandle,
}

impl<A: Connect + Clone + PartialEq + 'static> Following<A> {
    /// Follows `agent` from the version that `known` ends at; without one, the whole list comes first.
    pub fn start<L: Learn + Clone + 'static>(
        learn: &L,
        agent: A,
        known: Option<u64>,
        bounds: Bounds,
    ) -> Self {
        let (learn, there) = (learn.clone(), agent.clone());
        let task = keep_running("discovery", move || follow(learn.clone(), there.clone(), known, bounds));
        Following { agent, bounds, task }
    }

    /// The old list holds until the new agent has told its own. Versions of two agents need not count
    /// alike, so the whole of it is asked for.
    pub fn move_to<L: Learn + Clone + 'static>(&mut self, learn: &L, agent: A) {
        if self.agent != agent {
            *self = Following::start(learn, agent, None, self.bounds);
        }
    }
}

impl<A> Drop for Following<A> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn follow<L: Learn, A: Connect>(learn: L, agent: A, known: Option<u64>, bounds: Bounds) {
    let timing = CallTiming::within(bounds.drain_grace);
    let most_bytes = bounds.most_bytes;
    let mut state =
        Follower { learn, agent, since: known, timing, most_bytes, pause: PAUSE, mute_since: None };
    loop {
        let Err(e) = state.round().await;
        log::warn!("discovery: {e}; again in {} ms", state.pause.as_millis());
        tokio::time::sleep(state.pause).await;
        state.pause = (state.pause * 2).min(state.timing.longest_pause);
    }
}

/// How a silent agent is asked.
struct CallTiming {
    /// Time for a connection and an answer's head, each.
    patience: Duration,
    longest_pause: Duration,
}

impl CallTiming {
    fn within(grace: Duration) -> Self {
        let longest_pause = grace.mul_f64(PAUSE_SHARE).clamp(PAUSE, LONGEST_PAUSE);
        CallTiming { patience: grace.mul_f64(CALL_SHARE).clamp(PAUSE, STALL), longest_pause }
    }
}

struct Follower<L, A> {
    learn: L,
    agent: A,
    timing: CallTiming,
    most_bytes: usize,
    /// The version that is known without a gap; without one, the whole list is due.
    since: Option<u64>,
    pause: Duration,
    /// Since when calls for a watch are answered and bring nothing.
    mute_since: Option<Instant>,
}

impl<L: Learn, A: Connect> Follower<L, A> {
    /// One watch; it ends only by failing.
    async fn round(&mut self) -> Result<Infallible, Failure> {
        let since = match self.since {
            Some(since) if self.mute_since.is_none_or(|at| at.elapsed() < MUTE) => since,
            _ => self.whole_list().await?,
        };
        let mut answer = match self.get(&format!("/v1/servers?follow=1&since={since}")).await {
            Ok(answer) => answer,
            Err(e) => {
                if e.is::<Refused>() {
                    self.mute_since.get_or_insert_with(Instant::now);
                }
                return Err(e);
            }
        };
        // Until a byte of it has come.
        self.mute_since.get_or_insert_with(Instant::now);
        loop {
            match answer.object() {
                Ok(Some(list)) => {
                    if !self.take(&list) && !list.complete {
                        return self.unreadable("an entry that cannot be read".into());
                    }
                    continue;
                }
                Ok(None) => {}
                Err(e) => return self.unreadable(e),
            }
            // Dropped at this await, a piece that has come is lost with the connection; the next watch
            // begins after the last object that was taken whole.
            match answer.piece(SILENCE).await {
                Ok(()) => self.mute_since = None,
                // What the object would have changed is unknown.
                Err(e) if e.is::<Unended>() => return self.unreadable(e),
                Err(e) => return Err(e),
            }
        }
    }

    /// What a watch has brought cannot be read, and so what has changed is unknown: the whole list is due.
    fn unreadable(&mut self, why: Failure) -> Result<Infallible, Failure> {
        self.since = None;
        Err(why)
    }

    async fn whole_list(&mut self) -> Result<u64, Failure> {
        let mut answer = self.get("/v1/servers").await?;
        let end = Instant::now() + OBJECT_TIME;
        loop {
            if let Some(list) = answer.object()? {
                // An entry of it that cannot be read stays left out: asking again would bring the same list.
                self.take(&ServerList { complete: true, ..list });
                self.mute_since = None;
                return Ok(self.since.unwrap_or(0));
            }
            // Dropped at this await, all that has come is lost, and the list is asked for again.
            timeout_at(end, answer.piece(STALL)).await.map_err(|_| "the list takes too long")??;
        }
    }

    /// Hands a list on; false where something in it could not be read.
    fn take(&mut self, list: &ServerList<'_>) -> bool {
        self.since = Some(list.revision);
        self.pause = PAUSE;
        self.learn.learn(list)
    }

    /// Asks the agent, on a connection of its own.
    async fn get(&self, path: &str) -> Result<Answer, Failure> {
        // Dropped at any await in here, the connection is closed, and the agent is asked again.
        let patience = self.timing.patience;
        let stream = timeout(patience, self.agent.connect()).await??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = Connection(tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("discovery: {e}");
            }
        }));
        let request = Request::get(path).header("host", self.agent.to_string()).body(Empty::<Bytes>::new())?;
        let answer = timeout(patience, sender.send_request(request)).await??;
        match answer.status() {
            StatusCode::OK => Ok(Answer::new(answer.into_body(), self.most_bytes, connection)),
            status => Err(Refused(status).into()),
        }
    }
}

/// The agent has answered that it will not.
#[derive(Debug)]
struct Refused(StatusCode);

impl Display for Refused {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "answered {}", self.0)
    }
}

impl Error for Refused {}

/// An object has begun and does not end.
#[derive(Debug)]
struct Unended;

impl Display for Unended {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("an object that does not end")
    }
}

impl Error for Unended {}

/// The task that moves a connection's bytes; dropped, it closes the connection.
struct Connection(tokio::task::JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer that has begun, object by object.
struct Answer {
    body: Incoming,
    objects: Objects,
    /// When the first byte of the object that is not whole came.
    begun: Option<Instant>,
    _connection: Connection,
}

impl Answer {
    fn new(body: Incoming, most_bytes: usize, connection: Connection) -> Self {
        Answer { body, objects: Objects::new(most_bytes), begun: None, _connection: connection }
    }

    /// The next object that is whole; none while the rest of it is still to come.
    fn object(&mut self) -> Result<Option<ServerList<'_>>, Failure> {
        let object = self.objects.next()?;
        if object.is_some() {
            self.begun = None;
        }
        Ok(object)
    }

    /// Waits for the next piece: between two objects for as long as `quiet`, and within one as long as it comes
    /// steadily and is not overdue.
    async fn piece(&mut self, quiet: Duration) -> Result<(), Failure> {
        let now = Instant::now();
        if self.objects.begun() {
            self.begun.get_or_insert(now);
        }
        let due = self.begun.map_or(now + quiet, |at| (at + OBJECT_TIME).min(now + STALL));
        let frame = match timeout_at(due, self.body.frame()).await {
            Ok(frame) => frame.ok_or("the answer has ended")??,
            Err(_) if self.begun.is_some() => return Err(Unended.into()),
            Err(_) => return Err("the agent fell silent".into()),
        };
        if let Ok(data) = frame.into_data() {
            self.objects.push(&data);
        }
        Ok(())
    }
}

/// Puts objects together from pieces that end anywhere, and reads each byte once to find where one ends. An
/// object may stand on one line or be laid out over several; between two there is nothing but white space, the
/// empty lines of a quiet watch among it.
struct Objects {
    bytes: Vec<u8>,
    /// Where the object that is not whole begins, and how far it has been looked at.
    start: usize,
    seen: usize,
    /// One bit for each open bracket, the innermost lowest: whether it is that of an object.
    brackets: u128,
    depth: u32,
    place: Place,
    most_bytes: usize,
    /// Bytes that were looked at, by the search for ends and by the parser.
    #[cfg(test)]
    work: usize,
}

/// Where in an object the search for its end stands.
#[derive(Clone, Copy, PartialEq)]
enum Place {
    /// Before a value or a key.
    Open,
    /// Behind one.
    Closed,
    /// In a number, `true`, `false` or `null`.
    Word,
    Text,
    /// In a text, behind a backslash.
    Escape,
}

/// Open brackets that an object may hold at most, one bit each.
const MOST_BRACKETS: u32 = u128::BITS;

impl Objects {
    fn new(most_bytes: usize) -> Self {
        Objects {
            bytes: Vec::new(),
            start: 0,
            seen: 0,
            brackets: 0,
            depth: 0,
            place: Place::Open,
            most_bytes,
            #[cfg(test)]
            work: 0,
        }
    }

    fn push(&mut self, data: &[u8]) {
        // Once for each run of objects, so each byte is moved once at the most.
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.seen -= self.start;
            self.start = 0;
            if self.bytes.is_empty() && self.bytes.capacity() > KEPT_BUFFER {
                self.bytes = Vec::new();
            }
        }
        self.bytes.extend_from_slice(data);
    }

    /// The next object that is whole; none while the rest of it is still to come.
    fn next(&mut self) -> Result<Option<ServerList<'_>>, Failure> {
        if !self.find_end()? {
            if self.seen - self.start > self.most_bytes {
                return Err(format!("an object of over {} bytes", self.most_bytes).into());
            }
            return Ok(None);
        }
        let object = &self.bytes[self.start..self.seen];
        self.start = self.seen;
        #[cfg(test)]
        {
            self.work += object.len();
        }
        Ok(Some(serde_json::from_slice(object)?))
    }

    /// Looks on for the end of the object. What cannot be part of one is told as soon as it is met.
    fn find_end(&mut self) -> Result<bool, Failure> {
        while let Some(&byte) = self.bytes.get(self.seen) {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                self.start += 1;
            }
            self.seen += 1;
            #[cfg(test)]
            {
                self.work += 1;
            }
            if !self.step(byte) {
                return Err(
                    format!("no object: byte {byte:#04x} after {}", self.seen - self.start - 1).into()
                );
            }
            if self.depth == 0 && self.place == Place::Closed {
                self.place = Place::Open;
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Takes one byte in; false where it cannot stand there.
    fn step(&mut self, byte: u8) -> bool {
        let place = self.place;
        match (place, byte) {
            (Place::Escape, _) => self.place = Place::Text,
            (Place::Text, b'"') => self.place = Place::Closed,
            (Place::Text, b'\\') => self.place = Place::Escape,
            (Place::Text, _) => return byte >= b' ',
            (Place::Word, b' ' | b'\t' | b'\r' | b'\n') => self.place = Place::Closed,
            (_, b' ' | b'\t' | b'\r' | b'\n') => {}
            (Place::Open, b'{' | b'[') => return self.open(byte == b'{'),
            (Place::Open, b'"') => {
                self.place = Place::Text;
                return self.depth > 0;
            }
            (Place::Word | Place::Closed, b',' | b':') => self.place = Place::Open,
            (_, b'}' | b']') => return self.close(byte == b'}'),
            // Whether they make sense together is for the parser.
            (Place::Open | Place::Word, b'0'..=b'9' | b'+' | b'-' | b'.' | b'E')
            | (Place::Open | Place::Word, b't' | b'r' | b'u' | b'e' | b'f' | b'a' | b'l' | b's' | b'n') => {
                self.place = Place::Word;
                return self.depth > 0;
            }
            _ => return false,
        }
        true
    }

    fn open(&mut self, object: bool) -> bool {
        let fits = self.depth < MOST_BRACKETS && (object || self.depth > 0);
        self.brackets = self.brackets << 1 | u128::from(object);
        self.depth += 1;
        fits
    }

    fn close(&mut self, object: bool) -> bool {
        let matches = self.depth > 0 && (self.brackets & 1 == 1) == object;
        self.brackets >>= 1;
        self.depth = self.depth.saturating_sub(1);
        self.place = Place::Closed;
        matches
    }

    /// An object has begun and is not whole.
    fn begun(&self) -> bool {
        self.depth > 0
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery.rs"]
mod tests;

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_watcher.rs"]
mod follower_tests;
