//! Accepts the connections of a stub, and reads the heads of HTTP messages.

use std::io::BufRead;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Opens a listener on loopback and serves each connection in its own thread. Returns the listener's address.
pub(super) fn listen(
    serve: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // An error on a connection ends its thread and does not affect other connections.
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Reads the head of an HTTP message. Returns `None` if the connection ends or fails.
pub(super) fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    Some(text)
}
