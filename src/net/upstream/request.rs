//! The request that an attempt sends to a server.

use crate::ids::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Method, Request, Uri};
use std::net::SocketAddr;

/// Header with the time, in seconds, for which the gateway still waits for the attempt's response. This time
/// is never longer than the time for which the client still waits.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// The parts of a client's request that every attempt forwards unchanged.
pub struct ForwardedRequest {
    /// Method of the client's request, `GET` or `POST`.
    pub method: Method,
    /// Path and query of the client's request.
    pub uri: Uri,
    /// The client's headers to forward; `Host` and `X-Time-Left` are set separately for each attempt.
    pub headers: HeaderMap,
    /// Complete body of the client's request; may be empty.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Builds the request that one attempt sends, with the server's address as its `Host` header and the time
    /// that the attempt has left. `time_left` is in ms; a negative value is sent as 0.
    pub(super) fn to_upstream(&self, address: SocketAddr, time_left: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let seconds = time_left.max(0.0) / 1000.0;
        if let Ok(time_left) = HeaderValue::try_from(format!("{seconds:.3}")) {
            request.headers_mut().insert(TIME_LEFT, time_left);
        }
        request
    }
}
