//! A server to which no connection comes up until it is told to accept.

use super::server::{Server, StubResponse};
use super::{read_message, Message};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A connection that has not come up within this finds the queue full.
const FULL_AFTER: Duration = Duration::from_millis(300);
/// More connections than the shortest queue of any machine holds.
const MAX_FILL: usize = 50;
/// Length of the queue once connections are served.
const BACKLOG: i32 = 1024;

/// A server whose connections come up only once it is told to: its queue of connections is full until then.
pub struct UnreachableServer {
    socket: Socket,
    /// Where it will listen.
    pub address: SocketAddr,
    fill: Vec<TcpStream>,
}

impl UnreachableServer {
    /// Listens, and fills the queue.
    #[allow(clippy::new_without_default)] // opens sockets
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&local.into()).expect("a port");
        socket.listen(0).expect("a listener");
        let address = socket.local_addr().expect("an address").as_socket().expect("an address");
        let mut fill = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, FULL_AFTER) {
            fill.push(stream);
            assert!(fill.len() < MAX_FILL, "its queue is never full");
        }
        UnreachableServer { socket, address, fill }
    }

    /// Serves all connections from now on, and gives that server and what fills its queue.
    pub fn serve(
        self,
        act: impl Fn(&Message) -> StubResponse + Send + Sync + 'static,
    ) -> (Server, Vec<TcpStream>) {
        // With a short queue some would be up at one end only, and what is sent on them come late.
        self.socket.listen(BACKLOG).expect("a listener");
        (Server::on(self.socket.into(), act), self.fill)
    }

    /// Takes one connection of the gateway's and gives its first message.
    pub fn first_message(self) -> Message {
        let own = self.own_addresses();
        let listener: TcpListener = self.socket.into();
        let (stream, _) = std::iter::repeat_with(|| listener.accept().expect("a connection"))
            .find(|(_, from)| !own.contains(from))
            .expect("a connection of the limiter's");
        read_message(&mut BufReader::new(stream)).expect("a request")
    }

    /// Takes all connections from now on. Counts the bytes that come on them, and those of the gateway's
    /// that have come up and are closed.
    pub fn accept_and_count(self) -> (Arc<AtomicUsize>, Arc<AtomicUsize>) {
        let bytes = Arc::new(AtomicUsize::new(0));
        let closed = Arc::new(AtomicUsize::new(0));
        let counts = (bytes.clone(), closed.clone());
        let own = self.own_addresses();
        std::thread::spawn(move || {
            let listener: TcpListener = self.socket.into();
            let _fill = self.fill;
            while let Ok((stream, from)) = listener.accept() {
                let (bytes, closed, is_gateways) = (bytes.clone(), closed.clone(), !own.contains(&from));
                std::thread::spawn(move || {
                    count_bytes(stream, &bytes);
                    closed.fetch_add(usize::from(is_gateways), Ordering::SeqCst);
                });
            }
        });
        counts
    }

    /// Addresses of the connections that fill the queue.
    fn own_addresses(&self) -> Vec<SocketAddr> {
        self.fill.iter().map(|stream| stream.local_addr().expect("an address")).collect()
    }
}

/// Counts what comes on a connection until it is closed.
fn count_bytes(mut stream: TcpStream, bytes: &AtomicUsize) {
    let mut piece = [0; 1024];
    while let Ok(n @ 1..) = stream.read(&mut piece) {
        bytes.fetch_add(n, Ordering::SeqCst);
    }
}
