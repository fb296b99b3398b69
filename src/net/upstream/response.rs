//! Reads a server's response and checks whether it is valid.

use crate::event::Outcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::error::Error;

/// Maximum length of a response body, bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Response header; its value `1` in a 503 or 504 response means that the server has not executed the
/// request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// A response that has been read completely and found valid.
pub(super) struct ReceivedResponse {
    pub(super) outcome: Outcome,
    pub(super) body: Bytes,
    /// Whether the server keeps the connection open: the response has no `Connection: close`.
    pub(super) keep_alive: bool,
}

/// Reads a response completely. Until the response has been read to its end, it is unknown whether it is
/// valid, and its connection must not be used for another request.
///
/// # Errors
/// The outcome of the attempt if the response is invalid or incomplete. The caller must then close the
/// connection, because the rest of the response may still arrive on it.
pub(super) async fn receive(response: Response<Incoming>) -> Result<ReceivedResponse, Outcome> {
    let (head, body) = response.into_parts();
    if !has_valid_framing(&head, &body) {
        return Err(Outcome::Error);
    }
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(failure_outcome(&*error)),
    };
    Ok(ReceivedResponse { outcome: response_outcome(&head), body, keep_alive: !closes_connection(&head) })
}

/// The outcome of an attempt whose request may have been executed but that received no valid response.
///
/// The outcome of an invalid response is `Error` and not `Reset`: the server is reachable, and any server may
/// occasionally send an invalid response. After a `Reset`, the policy treats the server as unreachable.
pub(super) fn failure_outcome(error: &(dyn Error + 'static)) -> Outcome {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) if !error.is_parse() && !error.is_parse_too_large() => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// Whether the response is final (not 1xx), its head defines the end of the body by exactly one
/// `Content-Length` or `Transfer-Encoding` header, and the announced length is at most [`MAX_BODY_BYTES`].
fn has_valid_framing(head: &Parts, body: &Incoming) -> bool {
    let length_count = count_headers(&head.headers, CONTENT_LENGTH);
    let encoding_count = count_headers(&head.headers, TRANSFER_ENCODING);
    let is_unambiguous = matches!((length_count, encoding_count), (1, 0) | (0, 1));
    let is_short_enough = body.size_hint().lower() <= MAX_BODY_BYTES as u64;
    is_unambiguous && !head.status.is_informational() && is_short_enough
}

fn count_headers(headers: &HeaderMap, name: HeaderName) -> usize {
    headers.get_all(name).iter().count()
}

fn closes_connection(head: &Parts) -> bool {
    head.headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn response_outcome(head: &Parts) -> Outcome {
    let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|value| value.as_bytes() == b"1");
    match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
