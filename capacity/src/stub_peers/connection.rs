//! Connections of a stub: a thread for each, and the heads of HTTP messages on them.

use std::io::BufRead;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Serves each connection of a new listener in a thread of its own.
pub(super) fn listen(
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
pub(super) fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    Some(text)
}
