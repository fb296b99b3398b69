//! Reading and checking a server's response.

use crate::event::Outcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::error::Error;

/// Maximum length of a response body, bytes.
const MAX_BODY: usize = 64 * 1024;

/// `1`: the server has not executed the request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// A response that has been read completely and found valid.
pub(super) struct ReceivedResponse {
    pub(super) outcome: Outcome,
    pub(super) body: Bytes,
    /// The server keeps the connection open.
    pub(super) keep_alive: bool,
}

/// Reads a response completely; only then is it known to be one, and its connection free.
///
/// # Errors
/// How the attempt has ended if the response is invalid or breaks off. The caller then closes the connection,
/// however much of the response is still to come.
pub(super) async fn receive(response: Response<Incoming>) -> Result<ReceivedResponse, Outcome> {
    let (head, body) = response.into_parts();
    if !has_valid_framing(&head, &body) {
        return Err(Outcome::Error);
    }
    let body = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(failure_outcome(&*error)),
    };
    Ok(ReceivedResponse { outcome: response_outcome(&head), body, keep_alive: !closes_connection(&head) })
}

/// The outcome of an attempt whose request may have been executed and that has no valid response.
///
/// A response that cannot be used is an error, not a reset: the server can be reached, any server may spoil a
/// response now and then, and resets would count against it as if it were gone.
pub(super) fn failure_outcome(error: &(dyn Error + 'static)) -> Outcome {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) if !error.is_parse() && !error.is_parse_too_large() => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// Whether the head states exactly once, and in one way, where the body ends, within [`MAX_BODY`].
fn has_valid_framing(head: &Parts, body: &Incoming) -> bool {
    let lengths = count(&head.headers, CONTENT_LENGTH);
    let encodings = count(&head.headers, TRANSFER_ENCODING);
    let is_unambiguous = matches!((lengths, encodings), (1, 0) | (0, 1));
    let is_short_enough = body.size_hint().lower() <= MAX_BODY as u64;
    is_unambiguous && !head.status.is_informational() && is_short_enough
}

fn count(headers: &HeaderMap, name: HeaderName) -> usize {
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
