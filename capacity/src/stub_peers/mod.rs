//! Stubs of a real gateway's peers on loopback: a discovery agent, a counter, a server and a client. They return
//! errors and do no more than they must, unlike the stubs of the tests, so that they cost little beside the gateway.

mod client;
mod discovery;
mod server;

pub use client::{Client, ClientRequest};
pub use discovery::DiscoveryStub;
pub use server::ServerStub;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Serves each connection of a new listener in a thread of its own.
fn listen(
    serve: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // A connection that is lost ends its thread and concerns nobody else.
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Reads the head of an HTTP message; none at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    Some(text)
}

/// Starts a counter that answers every call at once with the same total.
///
/// # Errors
/// If no port is free.
pub fn start_counter() -> std::io::Result<SocketAddr> {
    listen(|mut stream| {
        stream.set_nodelay(true)?;
        for line in BufReader::new(stream.try_clone()?).lines() {
            let reply: &[u8] = if line?.starts_with("ping") { b"pong\r\n" } else { b"ok 1\r\n" };
            stream.write_all(reply)?;
        }
        Ok(())
    })
}
