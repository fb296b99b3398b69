//! Reads a server's response and checks whether it is valid.

use super::instrumented_stream::ExchangeState;
use crate::event::Outcome;
use crate::net::body::{read_to_end, BodyError};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
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
    /// Whether the server keeps the connection open: the response has no `Connection: close`, and the end of
    /// the connection does not mark the end of its body.
    pub(super) keep_alive: bool,
}

/// What marks the end of a response body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    /// The length in the head, or the last chunk.
    InMessage,
    /// The end of the connection, because the head gives no length (RFC 9112, section 6.3).
    ConnectionClose,
}

/// Reads a response completely. Until the response has been read to its end, it is unknown whether it is
/// valid, and its connection must not be used for another request. `exchange` is the state of the connection
/// that the response arrives on.
///
/// A body that ends with the connection is complete only if the server closed the connection in order. After
/// a reset or another failure, a part of the body may be missing.
///
/// # Errors
/// The outcome of the attempt if the response is invalid or incomplete. The caller must then close the
/// connection, because the rest of the response may still arrive on it.
pub(super) async fn receive(
    response: Response<Incoming>,
    exchange: &ExchangeState,
) -> Result<ReceivedResponse, Outcome> {
    let (head, body) = response.into_parts();
    let body_end = body_end(&head, &body).ok_or(Outcome::Error)?;
    let body = match read_to_end(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(BodyError::TooLong { .. }) => return Err(Outcome::Error),
        Err(BodyError::Read(error)) => return Err(failure_outcome(&error)),
    };
    if body_end == BodyEnd::ConnectionClose && !exchange.is_closed_in_order() {
        return Err(Outcome::Reset);
    }
    let keep_alive = body_end == BodyEnd::InMessage && !closes_connection(&head);
    Ok(ReceivedResponse { outcome: response_outcome(&head), body, keep_alive })
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

/// What marks the end of the body, or `None` if the response is invalid: it is not final (1xx), it has more
/// than one `Content-Length` or `Transfer-Encoding` header, or its announced length is more than
/// [`MAX_BODY_BYTES`]. A response that by its status has no body (204 or 304) has to say so with one of these
/// headers.
fn body_end(head: &Parts, body: &Incoming) -> Option<BodyEnd> {
    if head.status.is_informational() || body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return None;
    }
    let length_count = count_headers(&head.headers, CONTENT_LENGTH);
    let encoding_count = count_headers(&head.headers, TRANSFER_ENCODING);
    match (length_count, encoding_count) {
        (1, 0) => Some(BodyEnd::InMessage),
        (0, 1) if is_chunked(&head.headers) => Some(BodyEnd::InMessage),
        (0, 1) => Some(BodyEnd::ConnectionClose),
        (0, 0) if !body.is_end_stream() => Some(BodyEnd::ConnectionClose),
        _ => None,
    }
}

/// Whether `chunked` is the last transfer coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get(TRANSFER_ENCODING).map_or(&b""[..], HeaderValue::as_bytes);
    let last_coding = codings.rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last_coding.trim_ascii().eq_ignore_ascii_case(b"chunked")
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
