//! Builds the responses to clients.

use super::request_error::RequestError;
use crate::ids::Millis;
use crate::net::event_loop::Answer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response to a client, with its body in memory.
pub type ClientResponse = Response<Full<Bytes>>;

/// Builds the response for the event loop's answer to a request.
pub fn from_answer(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Rejected { retry_after } => rejected(retry_after),
        Answer::Failed => plain_text(StatusCode::BAD_GATEWAY, "no answer from the servers\n"),
        Answer::TimedOut => plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
    }
}

/// Builds the response to a request that failed with an error before it was submitted. The response closes
/// the connection, because it is unknown whether the bytes that follow are the start of another request.
pub fn from_error(error: RequestError) -> ClientResponse {
    let mut response = plain_text(error.status(), error.response_text());
    announce_close(&mut response);
    response
}

/// Builds the response to a health check: 200 if the gateway is ready, otherwise 503.
pub fn health(is_ready: bool) -> ClientResponse {
    if is_ready {
        plain_text(StatusCode::OK, "ok\n")
    } else {
        plain_text(StatusCode::SERVICE_UNAVAILABLE, "starting\n")
    }
}

/// Builds the response (503) to a request with a valid head that arrives when the shutdown leaves no time to
/// serve it.
pub fn shutting_down() -> ClientResponse {
    plain_text(StatusCode::SERVICE_UNAVAILABLE, "ending\n")
}

/// Builds the response (503) to a request that arrives while the gateway waits for its discovery agent.
/// `retry_after` is in ms.
pub fn starting(retry_after: Millis) -> ClientResponse {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "starting\n");
    set_retry_after(&mut response, retry_after);
    response
}

/// Adds a `Connection: close` header; the HTTP library closes the connection after a response that has one.
pub fn announce_close(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Builds the response to a rejected request. `retry_after` is in ms.
fn rejected(retry_after: Millis) -> ClientResponse {
    let mut response = plain_text(StatusCode::TOO_MANY_REQUESTS, "over the quota or too busy\n");
    set_retry_after(&mut response, retry_after);
    response
}

/// Adds a `Retry-After` header unless `retry_after`, ms, is 0. HTTP allows only whole seconds in this header,
/// but the clients of this protocol accept fractions.
fn set_retry_after(response: &mut ClientResponse, retry_after: Millis) {
    if retry_after > 0.0 {
        if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
}

fn plain_text(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
