//! The request that is sent to a server.

use crate::ids::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Method, Request, Uri};
use std::net::SocketAddr;

/// Tells the server how long its attempt is still waited for, in seconds: no longer than the client waits.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What each attempt of a client's request forwards unchanged.
pub struct ForwardedRequest {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// The request as one attempt sends it, with the server's address as its host and with the time left, ms.
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
