//! Keeps a watch on the discovery agent and hands its changes on.

use super::driver::Driver;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// Longest object or list that is read; more is taken for nonsense.
const MOST_BYTES: usize = 1 << 20;
/// Time for a whole list, and for the rest of an object that has begun.
const PATIENCE: Duration = Duration::from_secs(1);
/// Shares of the grace after a drain within which an agent that is back has to be heard, whatever call was
/// out to it when it came back: a call is waited for this long, and the next follows after this at the most.
/// The agent stands on this machine and answers at once if at all.
const CALL_SHARE: f64 = 0.5;
const PAUSE_SHARE: f64 = 0.25;
/// A watch that has not even sent its empty line for this long, a little over its period of two seconds, is
/// opened anew: it may be dead while the agent is not, and what the agent has counts as told. Where it is
/// discovery that is down, asking again costs nothing.
const SILENCE: Duration = Duration::from_millis(2300);
/// First pause after a failure; doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(50);

type Failure = Box<dyn Error + Send + Sync>;

/// A list of servers, or what changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// The list's version.
    pub revision: u64,
    /// All servers, not only what changed.
    #[serde(default)]
    pub complete: bool,
    /// The entries, read one by one so that a bad one does not hide the others.
    members: Vec<Value>,
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its id, the same at every limiter.
    pub id: String,
    /// Where it listens, as seen from here.
    #[serde(default)]
    pub host_port: String,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// `Ready`, `Terminating` or `Gone`.
    pub phase: String,
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

impl ServerList {
    /// The entries, each with why it cannot be read if that is so.
    pub fn members(&self) -> impl Iterator<Item = Result<Member, serde_json::Error>> + '_ {
        self.members.iter().map(Member::deserialize)
    }
}

/// Follows discovery for the life of the process, from the version that `known` ends at; without one, the
/// whole list comes first.
pub async fn follow(driver: Rc<Driver>, agent: SocketAddr, known: Option<u64>) {
    let timing = CallTiming::within(driver.drain_grace());
    let mut state = Follower { driver, agent, since: known, timing, pause: PAUSE };
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
        let longest_pause = grace.mul_f64(PAUSE_SHARE).max(PAUSE);
        CallTiming { patience: grace.mul_f64(CALL_SHARE).clamp(PAUSE, PATIENCE), longest_pause }
    }
}

struct Follower {
    driver: Rc<Driver>,
    agent: SocketAddr,
    timing: CallTiming,
    /// The version that is known without a gap; without one, the whole list is due.
    since: Option<u64>,
    pause: Duration,
}

impl Follower {
    /// One watch; it ends only by failing.
    async fn round(&mut self) -> Result<Infallible, Failure> {
        let since = match self.since {
            Some(since) => since,
            None => self.whole_list().await?,
        };
        let answer = self.get(&format!("/v1/servers?follow=1&since={since}")).await?;
        let mut body = answer.into_body();
        let mut objects = Objects::default();
        let mut begun = None;
        loop {
            // Dropped at this await, a piece that has come is lost with the connection; the next watch
            // begins after the last object that was taken whole.
            let due = begun.map_or_else(|| Instant::now() + SILENCE, |at| at + PATIENCE);
            let frame = timeout_at(due, body.frame()).await;
            let frame = match frame {
                Ok(frame) => frame.ok_or("the watch ended")??,
                // What the object would have changed is unknown.
                Err(_) if begun.is_some() => return self.unreadable("an object that does not end"),
                Err(_) => return Err("the watch fell silent".into()),
            };
            let Ok(data) = frame.into_data() else { continue };
            objects.push(&data);
            loop {
                match objects.next() {
                    Ok(Some(list)) => {
                        begun = None;
                        if !self.take(&list) && !list.complete {
                            return self.unreadable("an entry that cannot be read");
                        }
                    }
                    Ok(None) => break,
                    Err(e) => return self.unreadable(&e.to_string()),
                }
            }
            if objects.begun() {
                begun = begun.or_else(|| Some(Instant::now()));
            }
            if objects.rest.len() > MOST_BYTES {
                return self.unreadable("an object without end");
            }
        }
    }

    /// What a watch has brought cannot be read, and so what has changed is unknown: the whole list is due.
    fn unreadable(&mut self, why: &str) -> Result<Infallible, Failure> {
        self.since = None;
        Err(why.into())
    }

    async fn whole_list(&mut self) -> Result<u64, Failure> {
        let answer = self.get("/v1/servers").await?;
        let body = Limited::new(answer.into_body(), MOST_BYTES).collect();
        let body = timeout(PATIENCE, body).await.map_err(|_| "the list takes too long")??;
        let list: ServerList = serde_json::from_slice(&body.to_bytes())?;
        // An entry of it that cannot be read stays left out: asking again would bring the same list.
        self.take(&ServerList { complete: true, ..list });
        Ok(self.since.unwrap_or(0))
    }

    /// Hands a list on; false where something in it could not be read.
    fn take(&mut self, list: &ServerList) -> bool {
        self.since = Some(list.revision);
        self.pause = PAUSE;
        self.driver.servers_changed(list)
    }

    /// Asks the agent, on a connection of its own.
    async fn get(&self, path: &str) -> Result<Response<Incoming>, Failure> {
        let patience = self.timing.patience;
        let stream = timeout(patience, TcpStream::connect(self.agent)).await??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("discovery: {e}");
            }
        });
        let request = Request::get(path).header("host", self.agent.to_string()).body(Empty::<Bytes>::new())?;
        let answer = timeout(patience, sender.send_request(request)).await??;
        match answer.status() {
            StatusCode::OK => Ok(answer),
            status => Err(format!("answered {status}").into()),
        }
    }
}

/// Puts objects together from pieces that end anywhere. An object may stand on one line or be laid out over
/// several; between two there is nothing but white space, the empty lines of a quiet watch among it.
#[derive(Default)]
struct Objects {
    rest: Vec<u8>,
}

impl Objects {
    fn push(&mut self, data: &[u8]) {
        self.rest.extend_from_slice(data);
    }

    /// The next object that is whole; none while the rest of it is still to come.
    fn next(&mut self) -> Result<Option<ServerList>, serde_json::Error> {
        let mut stream = serde_json::Deserializer::from_slice(&self.rest).into_iter();
        let next = stream.next();
        let read = stream.byte_offset();
        match next {
            Some(Err(e)) if !e.is_eof() => Err(e),
            Some(Err(_)) => Ok(None),
            Some(Ok(list)) => {
                self.rest.drain(..read);
                Ok(Some(list))
            }
            None => {
                self.rest.clear();
                Ok(None)
            }
        }
    }

    /// An object has begun.
    fn begun(&self) -> bool {
        !self.rest.trim_ascii().is_empty()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery.rs"]
mod tests;
