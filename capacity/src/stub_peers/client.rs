//! A client connection to a gateway, or directly to a server.

use super::connection::read_head;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time-out for reading a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The parameters in which requests differ.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Correlation id of the request.
    pub id: usize,
    /// Number of the tenant.
    pub tenant: usize,
    /// Name of the tenant's plan.
    pub plan: &'static str,
    /// Number of gateways that receive the tenant's requests.
    pub gateway_count: usize,
}

/// A client connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a gateway or server.
    ///
    /// # Errors
    /// Fails if the address does not accept the connection.
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Writes a request of an idempotent class.
    ///
    /// # Errors
    /// Fails if the connection is lost.
    pub fn send(&mut self, request: ClientRequest) -> std::io::Result<()> {
        let ClientRequest { id, tenant, plan, gateway_count } = request;
        let text = format!(
            "GET /look?customer={tenant:016x} HTTP/1.1\r\n\
             Host: x\r\n\
             X-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: look\r\n\
             X-Plan: {plan}\r\n\
             X-Time-Left: 9.0\r\n\
             X-Quota: units=1,spread={gateway_count},first=0\r\n\
             Content-Length: 0\r\n\r\n"
        );
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Reads a response and returns its status code.
    ///
    /// # Errors
    /// Fails if no valid response arrives within the time-out.
    pub fn read(&mut self) -> std::io::Result<u16> {
        let no_response = || std::io::Error::other("no response");
        let head = read_head(&mut self.0).ok_or_else(no_response)?;
        self.0.read_exact(&mut vec![0; content_length(&head)])?;
        head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(no_response)
    }

    /// Asks a gateway whether it is ready to serve requests.
    ///
    /// # Errors
    /// Fails if no valid response arrives within the time-out.
    pub fn is_ready(&mut self) -> std::io::Result<bool> {
        self.0.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")?;
        Ok(self.read()? == 200)
    }
}

/// The value of the `Content-Length` header; 0 if it is missing or invalid.
fn content_length(head: &str) -> usize {
    let head = head.to_ascii_lowercase();
    let value = head.split("content-length:").nth(1).and_then(|rest| rest.split('\r').next());
    value.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}
