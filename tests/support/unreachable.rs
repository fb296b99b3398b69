//! A server to which no connection can be established until the test lets it accept connections.

use super::server::{Server, StubResponse};
use super::{read_message, Message};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// If a connection is not established within this time, the accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of the number of connections that fill the queue. The shortest accept queue of any machine
/// holds fewer.
const MAX_FILLER_CONNECTIONS: usize = 50;
/// Length of the accept queue once the server serves connections.
const ACCEPT_BACKLOG: i32 = 1024;

/// A server whose accept queue is full, so that no further connection can be established until the test lets
/// the server accept connections.
pub struct UnreachableServer {
    socket: Socket,
    /// The address that the server listens on.
    pub address: SocketAddr,
    filler_connections: Vec<TcpStream>,
}

impl UnreachableServer {
    /// Listens on a free port and fills the accept queue with connections of its own.
    #[allow(clippy::new_without_default)] // opens sockets
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("no socket could be opened");
        let local: SocketAddr = "127.0.0.1:0".parse().expect("the address is invalid");
        socket.bind(&local.into()).expect("no port could be bound");
        socket.listen(0).expect("the socket could not listen");
        let address =
            socket.local_addr().expect("the socket has no address").as_socket().expect("not an IP address");
        let mut filler_connections = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            filler_connections.push(stream);
            assert!(
                filler_connections.len() < MAX_FILLER_CONNECTIONS,
                "the accept queue was not full after {MAX_FILLER_CONNECTIONS} connections"
            );
        }
        UnreachableServer { socket, address, filler_connections }
    }

    /// Serves all connections from now on. Returns the server and the connections that filled its queue.
    pub fn serve(
        self,
        respond: impl Fn(&Message) -> StubResponse + Send + Sync + 'static,
    ) -> (Server, Vec<TcpStream>) {
        // With a short queue, some connections would be established at the client's end only, and data sent
        // on them would arrive late.
        self.socket.listen(ACCEPT_BACKLOG).expect("the socket could not listen");
        (Server::start_on(self.socket.into(), respond), self.filler_connections)
    }

    /// Accepts connections up to the first one from the gateway, and returns the first message on it.
    pub fn first_message(self) -> Message {
        let filler_addresses = self.filler_addresses();
        let listener: TcpListener = self.socket.into();
        let (stream, _) = std::iter::repeat_with(|| listener.accept().expect("no connection was accepted"))
            .find(|(_, from)| !filler_addresses.contains(from))
            .expect("no connection from the gateway was accepted");
        read_message(&mut BufReader::new(stream))
            .expect("the gateway closed its connection without a request")
    }

    /// Accepts all connections from now on. Returns two counts: the bytes received on all connections, and
    /// the connections from the gateway that were accepted and have ended.
    pub fn accept_and_count(self) -> (Arc<AtomicUsize>, Arc<AtomicUsize>) {
        let bytes = Arc::new(AtomicUsize::new(0));
        let closed = Arc::new(AtomicUsize::new(0));
        let counts = (bytes.clone(), closed.clone());
        let filler_addresses = self.filler_addresses();
        std::thread::spawn(move || {
            let listener: TcpListener = self.socket.into();
            let _filler_connections = self.filler_connections;
            while let Ok((stream, from)) = listener.accept() {
                let (bytes, closed, is_from_gateway) =
                    (bytes.clone(), closed.clone(), !filler_addresses.contains(&from));
                std::thread::spawn(move || {
                    count_bytes(stream, &bytes);
                    closed.fetch_add(usize::from(is_from_gateway), Ordering::SeqCst);
                });
            }
        });
        counts
    }

    /// Client addresses of the connections that fill the queue.
    fn filler_addresses(&self) -> Vec<SocketAddr> {
        self.filler_connections
            .iter()
            .map(|stream| stream.local_addr().expect("the connection has no address"))
            .collect()
    }
}

/// Counts the bytes received on a connection until it is closed or fails.
fn count_bytes(mut stream: TcpStream, bytes: &AtomicUsize) {
    let mut buffer = [0; 1024];
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        bytes.fetch_add(n, Ordering::SeqCst);
    }
}
