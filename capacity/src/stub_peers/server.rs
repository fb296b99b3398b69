//! A stub of a server that answers every request with a small response.

use super::connection::{listen, read_head};
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two checks whether responses are still held back.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// A server that answers every request immediately, or after its responses are no longer held back.
pub struct ServerStub {
    /// Address of the server.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
    held: Arc<AtomicBool>,
}

impl ServerStub {
    /// Starts a server.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn start() -> std::io::Result<ServerStub> {
        let requests = Arc::new(AtomicUsize::new(0));
        let held = Arc::new(AtomicBool::new(false));
        let (received, holding) = (requests.clone(), held.clone());
        let address = listen(move |mut stream| {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            while read_head(&mut reader).is_some() {
                received.fetch_add(1, Ordering::SeqCst);
                while holding.load(Ordering::SeqCst) {
                    std::thread::sleep(HOLD_POLL);
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
            }
            Ok(())
        })?;
        Ok(ServerStub { address, requests, held })
    }

    /// Number of requests received.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Holds back all responses, or sends those held back.
    pub fn hold_responses(&self, hold: bool) {
        self.held.store(hold, Ordering::SeqCst);
    }
}
